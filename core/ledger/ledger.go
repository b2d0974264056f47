package ledger

import (
	"sort"
	"time"

	"tanagerstack.org/core/roster"
)

// Condition tells whether a worker accepts new tasks.
type Condition int

// The conditions of a worker. Only a Usable worker accepts tasks.
const (
	// Unreachable means that the worker did not answer lately, or was not polled yet.
	Unreachable Condition = iota
	// Usable means that the worker accepts tasks.
	Usable
	// Leaving means that the platform is removing the worker.
	Leaving
	// Quarantined means that the tasks started on the worker fail.
	Quarantined
)

// Worker is a worker with its free capacity.
type Worker struct {
	Name      string
	Rack      string
	Capacity  roster.Resources
	Free      roster.Resources
	Condition Condition
	charges   map[Task]Charge
}

// ChargeCount returns the number of charges.
func (w *Worker) ChargeCount() int { return len(w.charges) }

// Ledger holds the workers of one failure domain, sorted by name. The zero value is an empty
// ledger.
type Ledger struct {
	workers []*Worker
	byName  map[string]*Worker
	// capacityVersion rises whenever a capacity or condition of a worker changes or a charge is
	// released, so that a failed decision is only repeated when it may come out differently.
	capacityVersion uint64
}

// Workers returns all workers, sorted by name. The caller must not modify the slice.
func (l *Ledger) Workers() []*Worker { return l.workers }

// Worker returns the worker with the given name, or nil.
func (l *Ledger) Worker(name string) *Worker { return l.byName[name] }

// CapacityVersion returns a number that rises whenever capacity may have become free.
func (l *Ledger) CapacityVersion() uint64 { return l.capacityVersion }

// SetWorker adds a worker, or changes its rack and capacity. Free becomes negative if the
// capacity shrinks below the sum of the charges.
func (l *Ledger) SetWorker(name, rack string, capacity roster.Resources) *Worker {
	w := l.byName[name]
	if w == nil {
		w = &Worker{Name: name, charges: make(map[Task]Charge)}
		l.insert(w)
	}
	w.Rack = rack
	if w.Capacity != capacity {
		w.Free = Sum(w.Free, Difference(capacity, w.Capacity))
		w.Capacity = capacity
		l.capacityVersion++
	}
	return w
}

// SetCondition sets the condition of a worker, if the worker exists.
func (l *Ledger) SetCondition(name string, condition Condition) {
	w := l.byName[name]
	if w == nil || w.Condition == condition {
		return
	}
	w.Condition = condition
	l.capacityVersion++
}

// RemoveWorker removes a worker without charges and reports whether it did.
func (l *Ledger) RemoveWorker(name string) bool {
	w := l.byName[name]
	if w == nil || len(w.charges) > 0 {
		return false
	}
	delete(l.byName, name)
	at := l.position(name)
	l.workers = append(l.workers[:at], l.workers[at+1:]...)
	return true
}

// Charge adds c to a worker, in place of an earlier charge of the same task. It does not check
// the free capacity: a task that may run is counted whether it fits or not.
func (l *Ledger) Charge(worker string, c Charge) {
	w := l.byName[worker]
	if w == nil {
		return
	}
	if old, ok := w.charges[c.Task]; ok {
		w.Free = Sum(w.Free, old.Amount)
	}
	w.charges[c.Task] = c
	w.Free = Difference(w.Free, c.Amount)
}

// Find returns the charge of a task on a worker, and whether there is one.
func (l *Ledger) Find(worker string, task Task) (Charge, bool) {
	w := l.byName[worker]
	if w == nil {
		return Charge{}, false
	}
	c, ok := w.charges[task]
	return c, ok
}

// Release removes the charge of a task from a worker if the proof is sufficient. It reports
// whether the worker now has no charge of the task.
func (l *Ledger) Release(worker string, task Task, p Proof) bool {
	w := l.byName[worker]
	if w == nil {
		return true
	}
	c, ok := w.charges[task]
	if !ok {
		return true
	}
	if !proves(p, c) {
		return false
	}
	delete(w.charges, task)
	w.Free = Sum(w.Free, c.Amount)
	l.capacityVersion++
	return true
}

// Expired returns the charges of a worker whose lease has expired by every clock, in no
// particular order.
func (l *Ledger) Expired(worker string, now time.Time, skew time.Duration) []Charge {
	w := l.byName[worker]
	if w == nil {
		return nil
	}
	var expired []Charge
	for _, c := range w.charges {
		if proves(LeaseExpired{Now: now, Skew: skew}, c) {
			expired = append(expired, c)
		}
	}
	return expired
}

// ChargesOf returns the charges of a worker in no particular order.
func (l *Ledger) ChargesOf(worker string) []Charge {
	w := l.byName[worker]
	if w == nil {
		return nil
	}
	charges := make([]Charge, 0, len(w.charges))
	for _, c := range w.charges {
		charges = append(charges, c)
	}
	return charges
}

func (l *Ledger) insert(w *Worker) {
	if l.byName == nil {
		l.byName = make(map[string]*Worker)
	}
	l.byName[w.Name] = w
	at := l.position(w.Name)
	l.workers = append(l.workers, nil)
	copy(l.workers[at+1:], l.workers[at:])
	l.workers[at] = w
}

func (l *Ledger) position(name string) int {
	return sort.Search(len(l.workers), func(i int) bool { return l.workers[i].Name >= name })
}
