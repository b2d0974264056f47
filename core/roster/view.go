package roster

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state of an entry VM, target or worker as known to this VM.
type State int

// The states of a member. Unknown is the zero value, so that a VM without a heartbeat does not
// count as live.
const (
	Unknown State = iota
	Live
	Leaving
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Resources is an amount of processor time (in thousandths of a processor), memory (in bytes) and
// accelerators.
type Resources struct {
	Millicores   int64
	MemoryBytes  int64
	Accelerators int
}

// Limits of the resources of one task or one worker. Sums over all tasks of a job, or over all
// workers of a cell, do not overflow.
const (
	MaxMillicores   = 1_000_000_000
	MaxMemoryBytes  = 1 << 48
	MaxAccelerators = 1_000_000
)

// Validate returns an error if an amount is negative or beyond its limit.
func (r Resources) Validate() error {
	switch {
	case r.Millicores < 0 || r.Millicores > MaxMillicores:
		return fmt.Errorf("%d millicores, not between 0 and %d", r.Millicores, MaxMillicores)
	case r.MemoryBytes < 0 || r.MemoryBytes > MaxMemoryBytes:
		return fmt.Errorf("%d bytes of memory, not between 0 and %d", r.MemoryBytes, MaxMemoryBytes)
	case r.Accelerators < 0 || r.Accelerators > MaxAccelerators:
		return fmt.Errorf("%d accelerators, not between 0 and %d", r.Accelerators, MaxAccelerators)
	default:
		return nil
	}
}

// VM is an entry VM.
type VM struct {
	Name   string
	Domain string
	Region string
	// CallersAddress is the address of the callers' API, PeerAddress that of the QUIC listener.
	CallersAddress netip.AddrPort
	PeerAddress    netip.AddrPort
	State          State
	// LastHeartbeatAt is when the last heartbeat arrived; zero if none has.
	LastHeartbeatAt time.Time
	// PolicyVersion is the version of the policy in force on the VM, as of its last heartbeat.
	PolicyVersion int64
	// LeaseEpoch is the epoch of the domain lease that the VM holds, as of its last heartbeat; 0
	// if it holds none.
	LeaseEpoch int64
	// Seat is the number of the VM's seat in its failure domain, counted from 0; -1 if it holds
	// none. The slots of a target are divided among the seats of the target's domain.
	Seat int
	// SeatUsableAt is when the VM may start to use the slots of its seat.
	SeatUsableAt time.Time
}

// Target is a back end that serves requests of a service.
type Target struct {
	Name    string
	Domain  string
	Region  string
	Service string
	Address netip.AddrPort
	Slots   int
	State   State
}

// Worker is a VM that runs tasks.
type Worker struct {
	Name     string
	Domain   string
	Region   string
	Rack     string
	Address  netip.AddrPort
	Capacity Resources
	State    State
}

// View is an immutable snapshot of the fleet. Slices are sorted by name.
type View struct {
	// Self is the name of this VM.
	Self string
	// ListAsOf is the time of the platform's list in this view; zero before the first list.
	ListAsOf time.Time
	// UnreadableMembers is the number of its entries that could not be decoded. Each may be that
	// of any VM, so such a list does not prove that a VM was removed.
	UnreadableMembers int
	// ListedVMs has the names of all entry VMs on the platform's list, including those that VMs
	// lacks because they have no usable peer address. It must not be changed.
	ListedVMs map[string]bool
	// Generation is a number that increases with each change of the stored roster, from which
	// seats and claim owners derive.
	Generation int64
	VMs        []VM
	Targets    []Target
	Workers    []Worker
	// SeatsPerDomain is the number of seats of each failure domain.
	SeatsPerDomain int
	// Seat is the seat that this instance holds; -1 if none. Its slots may be used from
	// SeatUsableAt until SeatExpiresAt. Each new view has a later SeatExpiresAt while this VM
	// is running, so that a VM that was paused does not act on an old view.
	Seat          int
	SeatUsableAt  time.Time
	SeatExpiresAt time.Time
	// seatHolders maps each failure domain to its seats that VMs hold, sorted by number.
	seatHolders map[string][]Seat
}

// Seat is a seat of a failure domain according to the stored roster.
type Seat struct {
	Number int
	// VM is the holder; empty if the seat is free.
	VM string
	// UsableAt is when the holder may start to use the seat; zero for a free seat.
	UsableAt time.Time
}

// OwnSeat returns this VM's seat and reports whether the VM may use its slots at now.
func (v *View) OwnSeat(now time.Time) (int, bool) {
	wall := now.Round(0)
	usable := v.Seat >= 0 && !wall.Before(v.SeatUsableAt) && wall.Before(v.SeatExpiresAt)
	return v.Seat, usable
}

// SeatsOf returns all seats of a failure domain, sorted by number. It returns nil while the
// stored roster of the domain is not known, so that no seat counts as free.
func (v *View) SeatsOf(domain string) []Seat {
	held, known := v.seatHolders[domain]
	if !known {
		return nil
	}
	seats := make([]Seat, v.SeatsPerDomain)
	for number := range seats {
		seats[number].Number = number
	}
	for _, s := range held {
		if s.Number < len(seats) {
			seats[s.Number] = s
		}
	}
	return seats
}

// FreeSeats returns the seats of a failure domain that no VM holds; nil while the stored roster
// of the domain is not known.
func (v *View) FreeSeats(domain string) []Seat {
	var free []Seat
	for _, s := range v.SeatsOf(domain) {
		if s.VM == "" {
			free = append(free, s)
		}
	}
	return free
}

// VM returns the entry VM called name and reports whether there is one.
func (v *View) VM(name string) (VM, bool) {
	at, found := slices.BinarySearchFunc(v.VMs, name, func(vm VM, name string) int { return strings.Compare(vm.Name, name) })
	if !found {
		return VM{}, false
	}
	return v.VMs[at], true
}
