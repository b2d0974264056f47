package intake

import (
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Request is what the decision needs to know about a submitted job.
type Request struct {
	Queue, Organization string
	Priority            int
	// Millicores is the processor capacity that the first steps of the job need to start: that of a
	// whole gang, or of one task of another step.
	Millicores int64
	// TaskMillicores is the least that a task of the first steps needs.
	TaskMillicores int64
	// CriticalPath is the duration of the longest chain of steps that few such jobs fall below, Objective
	// the time that the job may take to be on time, by the predicted duration of that chain.
	CriticalPath, Objective time.Duration
	// Recurring jobs become due later, and service tasks have no end, so nothing is predicted of them.
	Recurring, Service bool
	// ExceedsCap is set if a gang of the job is wider than the organization's cap.
	ExceedsCap bool
	// Spread is drawn at random from 0 to 1. It spreads the times at which refused callers come back.
	Spread float64
}

// NewRequest returns the request of a job whose organization has a cap; a zero amount is no limit.
// The snapshot corrects the caller's estimates; it may be nil.
func (s *Snapshot) NewRequest(job *jobs.Job, limit roster.Resources, spread float64) Request {
	r := Request{
		Queue: job.Queue.Name, Organization: job.Organization, Priority: job.Queue.Priority,
		Recurring: job.Recurrence != nil, Spread: spread,
	}
	var q *Queue
	if s != nil {
		q = s.queue(job.Queue.Name)
	}
	ends := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		step := &job.Steps[i]
		var begin time.Duration
		for _, before := range step.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + q.predict(step.Estimate)
		r.CriticalPath = max(r.CriticalPath, ends[i])
		r.Service = r.Service || step.Service
		r.ExceedsCap = r.ExceedsCap || step.Gang && !FitsCap(step.PerTask, step.Count, limit)
		if len(step.After) == 0 && !step.Filler {
			r.Millicores = max(r.Millicores, firstMillicores(step))
			if r.TaskMillicores == 0 || step.PerTask.Millicores < r.TaskMillicores {
				r.TaskMillicores = step.PerTask.Millicores
			}
		}
	}
	r.Objective = job.Queue.Objective(r.CriticalPath)
	r.CriticalPath = q.least(r.CriticalPath)
	return r
}

// firstMillicores returns the processor capacity that a step needs to start.
func firstMillicores(step *jobs.Step) int64 {
	if step.Gang {
		return ledger.Scale(step.PerTask, step.Count).Millicores
	}
	return step.PerTask.Millicores
}

// FitsCap reports whether a number of tasks fits under a cap. A zero amount of the cap is no limit.
func FitsCap(perTask roster.Resources, count int, limit roster.Resources) bool {
	fits := func(amount, limit int64) bool { return limit <= 0 || amount <= limit/int64(max(count, 1)) }
	return fits(perTask.Millicores, limit.Millicores) && fits(perTask.MemoryBytes, limit.MemoryBytes) &&
		fits(int64(perTask.Accelerators), int64(limit.Accelerators))
}
