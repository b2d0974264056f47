package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state of a VM as far as it is known here.
type State int

// The states of a VM. Unknown is the zero value: what was not heard of is not
// taken for live.
const (
	Unknown State = iota
	Live
	Leaving
)

// String returns the state's name in kebab case.
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

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	Millicores   int64
	MemoryBytes  int64
	Accelerators int
}

// VM is an entry VM.
type VM struct {
	Name   string
	Domain string
	Region string
	// Callers is the address of the callers' API, Peer that of the QUIC listener.
	CallersAddress netip.AddrPort
	PeerAddress    netip.AddrPort
	State          State
	// HeardAt is when a heartbeat last arrived; zero if none did.
	LastHeartbeatAt time.Time
	// PolicyVersion is the version in force there, as last heard.
	PolicyVersion int64
	// LeaseEpoch is the epoch of the domain lease that the VM said it holds; 0 if none.
	LeaseEpoch int64
	// Seat is the VM's seat in its failure domain, from 0; -1 if it holds none.
	// The slots of a target are divided among the seats of the target's domain.
	Seat int
	// SeatUsableAt is the instant from which the VM may use the slots of its seat.
	SeatUsableAt time.Time
}

// Target is a back end.
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

// View is an immutable picture of the fleet. Slices are sorted by name.
type View struct {
	// Self is the name of this VM.
	Self string
	// AsOf is the instant of the platform's list that the view rests on.
	ListAsOf time.Time
	// Generation numbers the stored roster that seats and claim owners come from.
	Generation int64
	VMs        []VM
	Targets    []Target
	Workers    []Worker
	// Seats is the number of seats of each failure domain.
	SeatsPerDomain int
	// Seat is the seat that this instance holds, -1 if none. Its slots may be
	// used from SeatUsableAt, and until SeatLapsesAt, which moves on as long as
	// this VM is running: a VM that was paused must not act on an old view.
	Seat          int
	SeatUsableAt  time.Time
	SeatExpiresAt time.Time
	// seatHolders has the seats of each failure domain that VMs hold, by number.
	seatHolders map[string][]Seat
}

// Seat is a seat of a failure domain as the stored roster has it.
type Seat struct {
	Number int
	// VM is the holder; empty if the seat is free.
	VM string
	// UsableAt is the instant from which the holder may use the seat, or, of a
	// free seat, from which its slots may be granted to others.
	UsableAt time.Time
}

// OwnSeat returns the seat whose slots this VM may use at now.
func (v *View) OwnSeat(now time.Time) (int, bool) {
	wall := now.Round(0)
	usable := v.Seat >= 0 && !wall.Before(v.SeatUsableAt) && wall.Before(v.SeatExpiresAt)
	return v.Seat, usable
}

// SeatsOf returns all seats of a failure domain, by number. It returns nil while
// the stored roster of the domain is not known: then no seat counts as free.
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

// FreeSeats returns the seats of a failure domain that no VM holds.
func (v *View) FreeSeats(domain string) []Seat {
	var free []Seat
	for _, s := range v.SeatsOf(domain) {
		if s.VM == "" {
			free = append(free, s)
		}
	}
	return free
}

// VM returns the entry VM with the name.
func (v *View) VM(name string) (VM, bool) {
	at, found := slices.BinarySearchFunc(v.VMs, name, func(vm VM, name string) int { return strings.Compare(vm.Name, name) })
	if !found {
		return VM{}, false
	}
	return v.VMs[at], true
}
