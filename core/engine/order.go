package engine

import (
	"cmp"
	"slices"
	"time"
)

// The load that the order answers: bursts that ask for more than the workers
// have. Work that can still meet its objective goes first, since late work is
// worth a fifth, and among it the urgent queues, whose small jobs are worth the
// most for a second of a processor. Within a queue, deadline order alone would
// start each job of a burst just too late, one after the other: jobs that have
// little chance left wait behind those that have a good one.

// lateness is the rank of a job by what it is still worth.
type lateness int

const (
	onTime lateness = iota
	late
	hopeless
)

// tolerance is the part of its predicted rest by which a job may seem to miss its
// deadline and still count as on time: predictions are rough.
const tolerance = 0.25

// doubtShare is the part of its predicted rest that a job must have to spare to be
// likely to end in time. Of the slot holds of large scale-1, which ran for a second, 0.8
// ended in time if they started 1.3 s before their deadline, and 0.3 if 0.8 s before it.
const doubtShare = 0.3

// lateness ranks an occurrence by when it would be done if it went on now.
func (e *Engine) lateness(now time.Time, o *occurrence, j *job) lateness {
	left := e.left(now, o)
	o.endsAt = now.Add(left)
	done := now.Add(left - time.Duration(tolerance*float64(left)))
	deadline, hopelessAt := j.deadline, j.hopeless
	if !o.due.IsZero() {
		deadline = o.due.Add(j.deadline.Sub(j.ArrivedAt))
		hopelessAt = o.due.Add(j.hopeless.Sub(j.ArrivedAt))
	}
	rank, limit := hopeless, hopelessAt
	switch {
	case done.Before(deadline):
		rank, limit = onTime, deadline
	case done.Before(hopelessAt):
		rank = late
	}
	sure := o.endsAt.Add(time.Duration(doubtShare * float64(left)))
	o.doubtful = !e.opts.Policy.DeadlineOrder && !sure.Before(limit)
	return rank
}

// readySteps returns the steps with tasks to start, the most urgent first.
func (e *Engine) readySteps(now time.Time) []*step {
	var list []*step
	for _, j := range e.active {
		if !e.settled(j) {
			continue
		}
		for _, o := range j.occurrences {
			if o.left == 0 || now.Before(o.due) {
				continue
			}
			for _, s := range o.steps {
				if s.ready(now) && s.anyWaiting() {
					s.rank = e.rankOf(now, o, j)
					list = append(list, s)
				}
			}
		}
	}
	if !e.opts.Policy.ArrivalOrder {
		slices.SortStableFunc(list, compareSteps)
	}
	return list
}

// rankEvery is how long the rank of an occurrence holds: objectives are a second
// long or more.
const rankEvery = 50 * time.Millisecond

// rankOf returns the rank of an occurrence, anew only once in a while.
func (e *Engine) rankOf(now time.Time, o *occurrence, j *job) lateness {
	if o.rankedAt.IsZero() || now.Sub(o.rankedAt) > rankEvery {
		o.rank, o.rankedAt = e.lateness(now, o, j), now
	}
	return o.rank
}

// endsAt returns when an occurrence is predicted to be done if it went on now, as of its
// last ranking.
func (e *Engine) endsAt(now time.Time, o *occurrence, j *job) time.Time {
	e.rankOf(now, o, j)
	return o.endsAt
}

// compareChances puts what is likely to end in time before what is not. The former
// goes by deadline; of the latter those with the most time left have the best chance.
func compareChances(a, b *step) int {
	if a.occ.doubtful != b.occ.doubtful {
		return compareFirst(b.occ.doubtful, a.occ.doubtful)
	}
	if a.occ.doubtful {
		a, b = b, a
	}
	return a.job.deadline.Compare(b.job.deadline)
}

func compareSteps(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority),
		compareChances(a, b),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}
