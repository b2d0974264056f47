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
type Injector struct {
	mu        sync.Mutex
	fault     api.Fault
	setAt     time.Time
	random    *rand.Rand
	changed   chan struct{}
	observers []Observer
}

// NewSwitch returns a Switch without a fault.
func NewSwitch() *Injector {
	return &Injector{
		fault:   api.Fault{Kind: api.FaultKindNone},
		random:  rand.New(rand.NewSource(1)),
		changed: make(chan struct{}),
	}
}

// Observe adds an observer. It is called without a lock held.
func (i *Injector) AddObserver(o Observer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observers = append(i.observers, o)
}

// Set puts f in force at the instant now.
func (i *Injector) Set(f api.Fault, now time.Time) {
	i.mu.Lock()
	i.fault = f
	i.setAt = now
	i.random = rand.New(rand.NewSource(f.Seed.Or(1)))
	close(i.changed)
	i.changed = make(chan struct{})
	observers := append([]Observer(nil), i.observers...)
	i.mu.Unlock()
	for _, o := range observers {
		o.FaultChanged(f)
	}
}

// Fault returns the fault in force.
func (i *Injector) Fault() api.Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// Active reports whether a fault of the kind is in force for the VM, and since when.
func (i *Injector) Active(kind api.FaultKind, member string) (time.Time, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.setAt, i.fault.Kind == kind && Matches(i.fault, member)
}

// Matches reports whether f is meant for the VM.
func Matches(f api.Fault, member string) bool {
	only, set := f.Member.Get()
	return !set || only == "" || only == member
}

// Wrap returns next behind the faults of the VM.
func (i *Injector) Wrap(member string, next http.Handler) http.Handler {
	return &filter{faults: i, member: member, next: next}
}

// strike decides whether the fault in force strikes one request of the VM. The
// channel is closed when the fault changes.
func (i *Injector) drawFault(member string) (api.Fault, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	none := api.Fault{Kind: api.FaultKindNone}
	if !Matches(i.fault, member) {
		return none, i.changed
	}
	if i.random.Float64() >= i.fault.Probability.Or(1) {
		return none, i.changed
	}
	return i.fault, i.changed
}
