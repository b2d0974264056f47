package place

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Reservation keeps capacity of workers for a job that does not fit yet: a gang job or
// one task of a batch job. Other jobs do not get this capacity when it becomes free,
// until the job fits or the reservation expires.
type Reservation struct {
	Job string
	// PerWorker is the reserved capacity of each worker.
	PerWorker map[string]roster.Resources
	// ReadyAt is when the job is expected to fit; zero if it fits now.
	ReadyAt time.Time
	// UpdatedAt is when the reservation was made or last renewed. Reserve leaves it
	// zero.
	UpdatedAt time.Time
	// Until is when the reservation expires, so that other jobs are not blocked for
	// longer. Reserve leaves it zero.
	Until time.Time
}

// ExpectedRelease is the capacity that a running task is expected to free.
type ExpectedRelease struct {
	Amount roster.Resources
	// EndsAt is the expected end of the task; zero if it is not known or the task is
	// long-lived.
	EndsAt time.Time
}

// Reserve chooses the workers on which all tasks of the demand are expected to fit
// earliest, given the expected ends of the running tasks on each worker. It returns
// false if they would not fit even after these tasks have ended.
func Reserve(l *ledger.Ledger, job string, d Demand, releases map[string][]ExpectedRelease) (Reservation, bool) {
	var options []availability
	for _, w := range l.Workers() {
		if _, out := excluded(w, d.Avoid); !out {
			options = append(options, availabilities(w, d, releases[w.Name])...)
		}
	}
	slices.SortStableFunc(options, func(a, b availability) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	r := Reservation{Job: job, PerWorker: make(map[string]roster.Resources)}
	remaining := d.Count
	for _, o := range options {
		if remaining == 0 {
			break
		}
		n := min(remaining, o.tasks)
		r.PerWorker[o.worker] = ledger.Sum(r.PerWorker[o.worker], ledger.Scale(d.PerTask, n))
		r.ReadyAt = o.at
		remaining -= n
	}
	return r, remaining == 0
}

// availability is capacity for a number of tasks that becomes free on a worker at an
// instant; the zero instant means now.
type availability struct {
	worker string
	at     time.Time
	tasks  int
}

// availabilities lists when capacity for further tasks becomes free on a worker, in
// order of time, beginning with the capacity that is free now.
func availabilities(w *ledger.Worker, d Demand, releases []ExpectedRelease) []availability {
	known := slices.DeleteFunc(slices.Clone(releases), func(r ExpectedRelease) bool { return r.EndsAt.IsZero() })
	slices.SortFunc(known, func(a, b ExpectedRelease) int { return a.EndsAt.Compare(b.EndsAt) })
	free := w.Free
	maxTasks := ledger.FitCount(d.PerTask, free, d.Count)
	var found []availability
	if maxTasks > 0 {
		found = append(found, availability{worker: w.Name, tasks: maxTasks})
	}
	for _, r := range known {
		free = ledger.Sum(free, r.Amount)
		if n := ledger.FitCount(d.PerTask, free, d.Count); n > maxTasks {
			found = append(found, availability{worker: w.Name, at: r.EndsAt, tasks: n - maxTasks})
			maxTasks = n
		}
	}
	return found
}
