package place

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Reservation sets workers aside for a gang job that does not fit now. Their room
// is kept from other jobs as it falls free, until the gang fits.
type Reservation struct {
	Job string
	// Held is the room that the gang needs on each worker.
	Held map[string]roster.Resources
	// ReadyAt is when the gang is expected to fit; zero if that is not known.
	ReadyAt time.Time
	// MadeAt is when it was made, or made anew.
	MadeAt time.Time
	// Until ends the reservation, so that the next gang gets its turn.
	Until time.Time
}

// Release is a running task that is expected to end.
type Release struct {
	Amount roster.Resources
	// EndsAt is the expected end; zero if the task is long-lived or none is known.
	EndsAt time.Time
}

// Reserve chooses the workers on which a gang would fit first, given when the
// tasks on them are expected to end. It returns false if the gang would not fit
// even then.
func Reserve(l *ledger.Ledger, job string, d Demand, releases map[string][]Release) (Reservation, bool) {
	var options []availability
	for _, w := range l.Workers() {
		if _, out := excluded(w, d.Avoid); !out {
			options = append(options, availabilities(w, d, releases[w.Name])...)
		}
	}
	slices.SortStableFunc(options, func(a, b availability) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	r := Reservation{Job: job, Held: make(map[string]roster.Resources)}
	remaining := d.Count
	for _, o := range options {
		if remaining == 0 {
			break
		}
		n := min(remaining, o.tasks)
		r.Held[o.worker] = ledger.Sum(r.Held[o.worker], ledger.Times(d.Each, n))
		r.ReadyAt = o.at
		remaining -= n
	}
	return r, remaining == 0
}

// opening is room for some tasks that falls free on a worker at an instant.
type availability struct {
	worker string
	at     time.Time
	tasks  int
}

// openings lists when room for further tasks falls free on a worker, the room
// that is free now first.
func availabilities(w *ledger.Worker, d Demand, releases []Release) []availability {
	known := slices.DeleteFunc(slices.Clone(releases), func(r Release) bool { return r.EndsAt.IsZero() })
	slices.SortFunc(known, func(a, b Release) int { return a.EndsAt.Compare(b.EndsAt) })
	free := w.Free
	maxTasks := ledger.Count(d.Each, free, d.Count)
	var found []availability
	if maxTasks > 0 {
		found = append(found, availability{worker: w.Name, tasks: maxTasks})
	}
	for _, r := range known {
		free = ledger.Sum(free, r.Amount)
		if n := ledger.Count(d.Each, free, d.Count); n > maxTasks {
			found = append(found, availability{worker: w.Name, at: r.EndsAt, tasks: n - maxTasks})
			maxTasks = n
		}
	}
	return found
}
