package engine

import (
	"cmp"
	"slices"
	"time"
)

// The order matters in bursts that ask for more than the workers have. Work that can still meet
// its objective goes first, since late work is worth a fifth. Among that work, urgent queues go
// first, since their small jobs have the highest value per processor second. Within a queue, pure
// deadline order would start each job of a burst just too late, one after the other, so
// occurrences that are at risk wait behind those that are likely to end in time.

// valueRank ranks an occurrence by the value that completing it still has. A lower rank goes
// first.
type valueRank int

const (
	onTime valueRank = iota
	late
	worthless
)

// predictionTolerance is the fraction of its predicted remaining time by which an occurrence may
// miss its deadline and still count as on time, since predictions are rough.
const predictionTolerance = 0.25

// computeRank ranks an occurrence by its predicted end if it continued now, and updates endsAt
// and atRisk.
func (e *Engine) computeRank(now time.Time, o *occurrence, j *job) valueRank {
	remaining := e.remainingTime(now, o)
	o.endsAt = now.Add(remaining)
	tolerance, margin := e.chanceMargins(o)
	done := now.Add(remaining - time.Duration(tolerance*float64(remaining)))
	deadline, worthlessAt := j.deadline, j.worthlessAt
	if !o.due.IsZero() {
		deadline = o.due.Add(j.deadline.Sub(j.ArrivedAt))
		worthlessAt = o.due.Add(j.worthlessAt.Sub(j.ArrivedAt))
	}
	rank, limit := worthless, worthlessAt
	switch {
	case done.Before(deadline):
		rank, limit = onTime, deadline
	case done.Before(worthlessAt):
		rank = late
	}
	withMargin := o.endsAt.Add(time.Duration(margin * float64(remaining)))
	o.atRisk = !e.opts.Policy.DeadlineOrder && !withMargin.Before(limit)
	return rank
}

// readySteps returns the steps with tasks to start, the most urgent first.
func (e *Engine) readySteps(now time.Time) []*step {
	var list []*step
	for _, j := range e.active {
		if !e.previousRunsResolved(j) {
			e.noteWait(now, j, waitsForEarlierRuns)
			continue
		}
		j.openDue(now)
		for _, o := range j.open {
			for _, s := range o.steps {
				if s.ready(now) && s.hasWaiting() {
					s.rank = e.rankOf(now, o, j)
					s.class = j.classOf(s.rank)
					list = append(list, s)
				}
			}
		}
	}
	if !e.opts.Policy.ArrivalOrder {
		slices.SortFunc(list, compareSteps)
	}
	return list
}

// rankTTL is how long a computed rank is used: objectives are a second long or more.
const rankTTL = 50 * time.Millisecond

// rankOf returns the rank of an occurrence, computed anew if it is older than rankTTL.
func (e *Engine) rankOf(now time.Time, o *occurrence, j *job) valueRank {
	if o.rankedAt.IsZero() || now.Sub(o.rankedAt) > rankTTL {
		o.rank, o.rankedAt = e.computeRank(now, o, j), now
	}
	return o.rank
}

// endsAt returns the predicted end of an occurrence as of its last ranking.
func (e *Engine) endsAt(now time.Time, o *occurrence, j *job) time.Time {
	e.rankOf(now, o, j)
	return o.endsAt
}

// compareChances orders steps that are likely to end in time before those at risk. The former are
// ordered by deadline, the latter by the latest deadline first, since those have the best chance.
func compareChances(a, b *step) int {
	if a.occ.atRisk != b.occ.atRisk {
		return compareFirst(b.occ.atRisk, a.occ.atRisk)
	}
	if a.occ.atRisk {
		a, b = b, a
	}
	return a.job.deadline.Compare(b.job.deadline)
}

// compareSteps gives a total order: no two steps compare as equal.
func compareSteps(a, b *step) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.job.Queue.Priority != b.job.Queue.Priority {
		return cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority)
	}
	if c := compareChances(a, b); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}
