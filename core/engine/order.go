package engine

import (
	"cmp"
	"slices"
	"time"
)

// The load that the order answers: bursts that ask for more than the workers
// have. Work that can still meet its objective goes first, since late work is
// worth a fifth, and among it the urgent queues, whose small jobs are worth the
// most for a second of a processor.

// lateness is the rank of a job by what it is still worth.
type lateness int

const (
	onTime lateness = iota
	late
	hopeless
)

func (j *job) lateness(now time.Time) lateness {
	switch {
	case now.Before(j.deadline):
		return onTime
	case now.Before(j.hopeless):
		return late
	default:
		return hopeless
	}
}

// readySteps returns the steps with tasks to start, the most urgent first.
func (e *Engine) readySteps(now time.Time) []*step {
	var list []*step
	for _, j := range e.active {
		if j.inherited && !e.settled() {
			continue
		}
		for _, o := range j.occurrences {
			if o.left == 0 || now.Before(o.due) {
				continue
			}
			for _, s := range o.steps {
				if s.ready(now) {
					list = append(list, s)
				}
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int { return compareSteps(now, a, b) })
	return list
}

func compareSteps(now time.Time, a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.job.lateness(now), b.job.lateness(now)),
		cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority),
		a.job.deadline.Compare(b.job.deadline),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}
