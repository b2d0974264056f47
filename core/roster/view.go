package roster

import (
	"net/netip"
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
	Callers netip.AddrPort
	Peer    netip.AddrPort
	State   State
	// HeardAt is when a heartbeat last arrived; zero if none did.
	HeardAt time.Time
	// PolicyVersion is the version in force there, as last heard.
	PolicyVersion int64
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
	// AsOf is the instant of the platform's list that the view rests on.
	AsOf time.Time
	// Generation numbers the stored roster that seats and claim owners come from.
	Generation int64
	VMs        []VM
	Targets    []Target
	Workers    []Worker
	// Seats is the number of seats of each failure domain.
	Seats int
}
