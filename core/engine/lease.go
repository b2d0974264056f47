package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// ackMark says which commit an end waits for.
type pendingAck struct {
	sequence int64
	job      *job
	revision int
	// orphan is the end, while its job has not been heard of.
	orphan *orphanedResult
}

// advanceMarks moves the last end that may be confirmed.
func (w *worker) advanceAcks() {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].committed() {
		w.ackedUpTo = w.pendingAcks[n].sequence
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
}

func (m pendingAck) committed() bool {
	return m.orphan == nil && (m.job == nil || m.job.committed >= m.revision)
}

// checkLapse ends all runs on a worker whose lease must have run out.
func (e *Engine) expireLease(now time.Time, w *worker) {
	lost := e.opts.unsafe.forgetLost && now.Sub(w.lastSeen) > maxReportAge
	if len(w.runs) == 0 || w.clock.at.IsZero() || w.clock.lowerBound(now) < w.leasedUntil && !lost {
		e.expireCommandsBeforeRestart(now, w)
		return
	}
	e.log("lease of worker has lapsed", "worker", w.ID, "runs", len(w.runs), "last-seen", now.Sub(w.lastSeen))
	w.synced = false
	for _, r := range w.sortedRuns() {
		if !r.sentBeforeRestart {
			e.presumeEnded(now, r, jobs.EndLapsed, "the worker's lease has lapsed")
		}
	}
}

// checkGhosts ends orders to an earlier life that are too old to arrive.
func (e *Engine) expireCommandsBeforeRestart(now time.Time, w *worker) {
	if w.synced {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.sentBeforeRestart && now.Sub(r.startSentAt) > maxCommandDelay+e.opts.MaxLease {
			e.presumeEnded(now, r, jobs.EndLapsed, "an order to an earlier life of the worker is too old to arrive")
		}
	}
}

// Look returns what a look at a worker is to carry: the lease to give, and the
// last end to confirm. It reports false for workers that need no look.
func (e *Engine) Look(now time.Time, id string) (LookOrder, bool) {
	w := e.workers[id]
	if w == nil || e.superseded {
		return LookOrder{}, false
	}
	order := LookOrder{
		Target:    w.target(),
		Fence:     e.fence(w),
		Confirmed: w.ackedUpTo,
		Uncertain: w.lastSequence > w.ackedUpTo,
	}
	// A look that is not answered may still be executed. A worker that has not
	// answered for a while gets no further lease, or its runs would never be
	// known to have ended.
	if w.synced && now.Sub(w.lastSeen) < maxReportAge {
		order.Until = e.extendLease(now, w)
	}
	return order, true
}

// LookOrder is what a look carries.
type LookOrder struct {
	Target
	Fence int64
	// Until is the lease for all that runs there, or zero for none.
	Until time.Duration
	// Confirmed is the last end that the worker may forget.
	Confirmed int64
	// Uncertain says that ends wait for their commit.
	Uncertain bool
}

// lease gives a worker the longest lease from now on.
func (e *Engine) extendLease(now time.Time, w *worker) time.Duration {
	until := w.clock.estimate(now) + e.opts.MaxLease
	w.leasedUntil = max(w.leasedUntil, until)
	return until
}
