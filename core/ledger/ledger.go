package ledger

import (
	"sort"
	"time"

	"tanagerstack.org/core/roster"
)

// Condition says whether a worker takes new tasks.
type Condition int

// The conditions of a worker. The zero value takes no tasks.
const (
	// Unreachable: the worker did not answer lately, or was not asked yet.
	Unreachable Condition = iota
	// Usable: the worker takes tasks.
	Usable
	// Leaving: the platform takes the worker away.
	Leaving
	// Quarantined: the worker fails what it starts.
	Quarantined
)

// Worker is a worker and what is free on it.
type Worker struct {
	Name      string
	Rack      string
	Capacity  roster.Resources
	Free      roster.Resources
	Condition Condition
	charges   map[Task]Charge
}

// Charges returns the number of charges.
func (w *Worker) ChargeCount() int { return len(w.charges) }

// Ledger holds the workers of one failure domain, sorted by name. The zero value
// has none.
type Ledger struct {
	workers []*Worker
	byName  map[string]*Worker
	// freed grows whenever room appears, so that a failed decision is only
	// repeated when it may come out differently.
	freed uint64
}

// Workers returns all workers, sorted by name. The slice must not be changed.
func (l *Ledger) Workers() []*Worker { return l.workers }

// Worker returns the worker of a name, or nil.
func (l *Ledger) Worker(name string) *Worker { return l.byName[name] }

// Freed is a number that grows whenever room appears.
func (l *Ledger) CapacityVersion() uint64 { return l.freed }

// SetWorker adds a worker, or changes its rack and capacity. Free may become
// negative if a capacity shrinks below what is charged.
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
		l.freed++
	}
	return w
}

// SetCondition says whether a worker takes tasks.
func (l *Ledger) SetCondition(name string, condition Condition) {
	w := l.byName[name]
	if w == nil || w.Condition == condition {
		return
	}
	w.Condition = condition
	l.freed++
}

// RemoveWorker forgets a worker without charges and reports whether it did.
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

// Charge puts c on a worker, in place of an earlier charge of the same task. It
// does not ask whether there is room: what may run is counted, fit or not.
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

// Find returns the charge of a task on a worker.
func (l *Ledger) Find(worker string, task Task) (Charge, bool) {
	w := l.byName[worker]
	if w == nil {
		return Charge{}, false
	}
	c, ok := w.charges[task]
	return c, ok
}

// Release takes the charge of a task off a worker if the proof is enough, and
// reports whether the task is off the worker.
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
	l.freed++
	return true
}

// Lapsed returns the charges of a worker whose lease lapsed on every clock.
func (l *Ledger) Expired(worker string, now time.Time, skew time.Duration) []Charge {
	w := l.byName[worker]
	if w == nil {
		return nil
	}
	var lapsed []Charge
	for _, c := range w.charges {
		if proves(LeaseExpired{Now: now, Skew: skew}, c) {
			lapsed = append(lapsed, c)
		}
	}
	return lapsed
}

// ChargesOf returns the charges of a worker in no order.
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
