package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// ackMark says which commit an end waits for.
type ackMark struct {
	sequence int64
	job      *job
	revision int
	// orphan is the end, while its job has not been heard of.
	orphan *orphan
}

// advanceMarks moves the last end that may be confirmed.
func (w *worker) advanceMarks() {
	n := 0
	for n < len(w.marks) && w.marks[n].committed() {
		w.confirmable = w.marks[n].sequence
		n++
	}
	w.marks = w.marks[n:]
}

func (m ackMark) committed() bool {
	return m.orphan == nil && (m.job == nil || m.job.committed >= m.revision)
}

// checkLapse ends all runs on a worker whose lease must have run out.
func (e *Engine) checkLapse(now time.Time, w *worker) {
	lost := e.opts.unsafe.forgetLost && now.Sub(w.lastSeen) > freshFor
	if len(w.runs) == 0 || w.clock.at.IsZero() || w.clock.atLeast(now) < w.leased && !lost {
		e.checkGhosts(now, w)
		return
	}
	e.log("lease of worker has lapsed", "worker", w.ID, "runs", len(w.runs), "last-seen", now.Sub(w.lastSeen))
	w.synced = false
	for _, r := range w.sortedRuns() {
		if !r.ghost {
			e.presume(now, r, jobs.EndExpired, "the worker's lease has lapsed")
		}
	}
}

// checkGhosts ends orders to an earlier life that are too old to arrive.
func (e *Engine) checkGhosts(now time.Time, w *worker) {
	if w.synced {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.ghost && now.Sub(r.orderedAt) > ghostTime+e.opts.MaxLease {
			e.presume(now, r, jobs.EndExpired, "an order to an earlier life of the worker is too old to arrive")
		}
	}
}

// Look returns what a look at a worker is to carry: the lease to give, and the
// last end to confirm. It reports false for workers that need no look.
func (e *Engine) NextPoll(now time.Time, id string) (PollRequest, bool) {
	w := e.workers[id]
	if w == nil || e.superseded {
		return PollRequest{}, false
	}
	order := PollRequest{
		Destination: w.target(),
		Fence:       e.fence(w),
		AckedUpTo:   w.confirmable,
		AcksPending: w.seen > w.confirmable,
	}
	// A look that is not answered may still be executed. A worker that has not
	// answered for a while gets no further lease, or its runs would never be
	// known to have ended.
	if w.synced && now.Sub(w.lastSeen) < freshFor {
		order.LeaseUntil = e.lease(now, w)
	}
	return order, true
}

// LookOrder is what a look carries.
type PollRequest struct {
	Destination
	Fence int64
	// Until is the lease for all that runs there, or zero for none.
	LeaseUntil time.Duration
	// Confirmed is the last end that the worker may forget.
	AckedUpTo int64
	// Uncertain says that ends wait for their commit.
	AcksPending bool
}

// lease gives a worker the longest lease from now on.
func (e *Engine) lease(now time.Time, w *worker) time.Duration {
	until := w.clock.estimate(now) + e.opts.MaxLease
	w.leased = max(w.leased, until)
	return until
}
