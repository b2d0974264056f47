package faults

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	api "tanagerstack.org/core/api/fault"
)

// Observer learns of each change of the fault in force.
type Observer interface {
	FaultChanged(f api.Fault)
}

// Switch holds the fault in force.
type Switch struct {
	mu        sync.Mutex
	fault     api.Fault
	setAt     time.Time
	random    *rand.Rand
	changed   chan struct{}
	observers []Observer
}

// NewSwitch returns a Switch without a fault.
func NewSwitch() *Switch {
	return &Switch{
		fault:   api.Fault{Kind: api.FaultKindNone},
		random:  rand.New(rand.NewSource(1)),
		changed: make(chan struct{}),
	}
}

// Observe adds an observer. It is called without a lock held.
func (s *Switch) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, o)
}

// Set puts f in force at the instant now.
func (s *Switch) Set(f api.Fault, now time.Time) {
	s.mu.Lock()
	s.fault = f
	s.setAt = now
	s.random = rand.New(rand.NewSource(f.Seed.Or(1)))
	close(s.changed)
	s.changed = make(chan struct{})
	observers := append([]Observer(nil), s.observers...)
	s.mu.Unlock()
	for _, o := range observers {
		o.FaultChanged(f)
	}
}

// Fault returns the fault in force.
func (s *Switch) Fault() api.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Active reports whether a fault of the kind is in force for the VM, and since when.
func (s *Switch) Active(kind api.FaultKind, member string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setAt, s.fault.Kind == kind && Matches(s.fault, member)
}

// Matches reports whether f is meant for the VM.
func Matches(f api.Fault, member string) bool {
	only, set := f.Member.Get()
	return !set || only == "" || only == member
}

// Wrap returns next behind the faults of the VM.
func (s *Switch) Wrap(member string, next http.Handler) http.Handler {
	return &filter{faults: s, member: member, next: next}
}

// strike decides whether the fault in force strikes one request of the VM. The
// channel is closed when the fault changes.
func (s *Switch) strike(member string) (api.Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := api.Fault{Kind: api.FaultKindNone}
	if !Matches(s.fault, member) {
		return none, s.changed
	}
	if s.random.Float64() >= s.fault.Probability.Or(1) {
		return none, s.changed
	}
	return s.fault, s.changed
}
