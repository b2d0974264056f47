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
	PerWorker map[string]roster.Resources
	// ReadyAt is when the gang is expected to fit; zero if that is not known.
	ReadyAt time.Time
	// MadeAt is when it was made, or made anew.
	UpdatedAt time.Time
	// Until ends the reservation, so that the next gang gets its turn.
	Until time.Time
}

// Release is a running task that is expected to end.
type ExpectedRelease struct {
	Amount roster.Resources
	// EndsAt is the expected end; zero if the task is long-lived or none is known.
	EndsAt time.Time
}

// Reserve chooses the workers on which a gang would fit first, given when the
// tasks on them are expected to end. It returns false if the gang would not fit
// even then.
func Reserve(l *ledger.Ledger, job string, d Demand, releases map[string][]ExpectedRelease) (Reservation, bool) {
	var options []opening
	for _, w := range l.Workers() {
		if _, out := excluded(w, d.Avoid); !out {
			options = append(options, openings(w, d, releases[w.Name])...)
		}
	}
	slices.SortStableFunc(options, func(a, b opening) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	r := Reservation{Job: job, PerWorker: make(map[string]roster.Resources)}
	left := d.Count
	for _, o := range options {
		if left == 0 {
			break
		}
		n := min(left, o.tasks)
		r.PerWorker[o.worker] = ledger.Sum(r.PerWorker[o.worker], ledger.Scale(d.PerTask, n))
		r.ReadyAt = o.at
		left -= n
	}
	return r, left == 0
}

// opening is room for some tasks that falls free on a worker at an instant.
type opening struct {
	worker string
	at     time.Time
	tasks  int
}

// openings lists when room for further tasks falls free on a worker, the room
// that is free now first.
func openings(w *ledger.Worker, d Demand, releases []ExpectedRelease) []opening {
	ending := slices.DeleteFunc(slices.Clone(releases), func(r ExpectedRelease) bool { return r.EndsAt.IsZero() })
	slices.SortFunc(ending, func(a, b ExpectedRelease) int { return a.EndsAt.Compare(b.EndsAt) })
	room := w.Free
	fits := ledger.FitCount(d.PerTask, room, d.Count)
	var found []opening
	if fits > 0 {
		found = append(found, opening{worker: w.Name, tasks: fits})
	}
	for _, r := range ending {
		room = ledger.Sum(room, r.Amount)
		if n := ledger.FitCount(d.PerTask, room, d.Count); n > fits {
			found = append(found, opening{worker: w.Name, at: r.EndsAt, tasks: n - fits})
			fits = n
		}
	}
	return found
}
