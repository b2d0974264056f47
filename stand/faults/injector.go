package faults

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	api "tanagerstack.org/core/api/fault"
)

// Observer is notified of each change of the active fault.
type Observer interface {
	FaultChanged(f api.Fault)
}

// Injector holds the active fault of a group of fake VMs and applies it to their requests. It is safe
// for concurrent use.
type Injector struct {
	mu        sync.Mutex
	fault     api.Fault
	setAt     time.Time
	random    *rand.Rand
	changed   chan struct{}
	observers []Observer
}

// NewInjector returns an Injector with no active fault.
func NewInjector() *Injector {
	return &Injector{
		fault:   api.Fault{Kind: api.FaultKindNone},
		random:  rand.New(rand.NewSource(1)),
		changed: make(chan struct{}),
	}
}

// AddObserver registers an observer. Observers are called without a lock held.
func (i *Injector) AddObserver(o Observer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observers = append(i.observers, o)
}

// Set makes f the active fault as of now, seeds its random choices and notifies the observers.
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

// Fault returns the active fault, of kind none if there is none.
func (i *Injector) Fault() api.Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// Active reports whether a fault of this kind is active for the VM. The time is when the active fault,
// whatever its kind, was set.
func (i *Injector) Active(kind api.FaultKind, member string) (time.Time, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.setAt, i.fault.Kind == kind && Matches(i.fault, member)
}

// Matches reports whether f applies to the VM. A fault that names no VM applies to all.
func Matches(f api.Fault, member string) bool {
	only, set := f.Member.Get()
	return !set || only == "" || only == member
}

// Wrap returns a handler that applies the faults of the VM and otherwise calls next.
func (i *Injector) Wrap(member string, next http.Handler) http.Handler {
	return &filter{injector: i, member: member, next: next}
}

// drawFault returns the fault to apply to one request of the VM: the active fault with its
// probability, otherwise none. The channel is closed when the active fault changes.
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
