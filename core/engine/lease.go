package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// pendingAck is a result that can be acknowledged once a commit is known.
type pendingAck struct {
	sequence int64
	// listedAt is the time of the first report that listed the result. settled is set once a later
	// report proves that the worker has no unread result with a lower number.
	listedAt time.Time
	settled  bool
	job      *job
	revision int
	// orphan is the result while its job is not known, otherwise nil.
	orphan *orphanedResult
}

// advanceAcks acknowledges results in sequence, up to the first one that waits for a commit, or
// that follows a result that may not have been read.
func (w *worker) advanceAcks() {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].committed() && (w.pendingAcks[n].settled || w.pendingAcks[n].sequence == w.ackedUpTo+1) {
		w.ackedUpTo = w.pendingAcks[n].sequence
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
}

// settleGaps handles the gaps in the numbers of a report's results, which answers a poll sent at the
// given time. A worker may list a result later than one with a higher number, or in a row that cannot
// be decoded, and forgets it once the higher one is acknowledged. So two reports in a row must lack
// a number.
func (w *worker) settleGaps(sent time.Time) {
	for i := range w.pendingAcks {
		w.pendingAcks[i].settled = w.pendingAcks[i].settled || sent.After(w.pendingAcks[i].listedAt)
	}
}

// findAck returns the index in pendingAcks of a result, or of the one that follows it, and whether
// the result was handled before.
func (w *worker) findAck(sequence int64) (i int, handled bool) {
	i, handled = slices.BinarySearchFunc(w.pendingAcks, sequence, func(a pendingAck, sequence int64) int {
		return cmp.Compare(a.sequence, sequence)
	})
	return i, handled || sequence <= w.ackedUpTo
}

func (a pendingAck) committed() bool {
	return a.orphan == nil && (a.job == nil || a.job.committed >= a.revision)
}

// leaseExpired reports whether the lease that this leader granted must have expired at a time. It
// reports false for a time before the last reading of the worker's clock.
func (w *worker) leaseExpired(at time.Time) bool {
	return !w.clock.at.IsZero() && !at.Before(w.clock.at) && w.clock.lowerBound(at) >= w.leasedUntil
}

// expireLease ends all runs on a worker whose lease must have expired, except those that an
// incarnation may have accepted that has not answered yet.
func (e *Engine) expireLease(now time.Time, w *worker) {
	proved := e.provedUntil(now)
	e.expireCommandsBeforeRestart(now, proved, w)
	lost := e.opts.unsafe.forgetLost && now.Sub(w.lastSeen) > maxReportAge && !w.clock.at.IsZero()
	if len(w.runs) == 0 || !w.leaseExpired(proved) && !lost {
		return
	}
	expired := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return r.sentBeforeRestart })
	if len(expired) == 0 {
		return
	}
	e.log("worker lease expired", "worker", w.ID, "runs", len(expired), "last-seen", now.Sub(w.lastSeen), "born", w.StartedAt,
		"epoch", e.opts.Epoch, "confirmed-before", now.Sub(e.confirmed.At),
		"clock-at-least", w.clock.lowerBound(now), "clock-read", w.clock.reading, "clock-read-before", now.Sub(w.clock.at), "leased-until", w.leasedUntil)
	w.synced, w.resultsKnown = false, false
	for _, r := range expired {
		r.suspectCrash(presumedCrash)
		e.presumeEnded(now, r, jobs.EndExpired, "the worker's lease has expired")
	}
}

// expireCommandsBeforeRestart ends runs whose start command went to an earlier incarnation and is
// too old to arrive. Polls that were sent until the restart was known may have renewed the lease
// of the new incarnation.
func (e *Engine) expireCommandsBeforeRestart(now, proved time.Time, w *worker) {
	if w.synced {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.sentBeforeRestart && proved.Sub(r.phaseSince) > maxCommandDelay+LongestLease(e.opts.MaxLease) {
			r.suspectCrash(presumedCrash)
			e.presumeEnded(now, r, jobs.EndExpired, "the start command to an earlier incarnation of the worker is too old to arrive")
		}
	}
}

// NextPoll returns the next poll request for a worker, with the lease to grant and the results to
// acknowledge. It reports false if the worker is not to be polled.
func (e *Engine) NextPoll(now time.Time, id string) (PollRequest, bool) {
	w := e.workers[id]
	if w == nil || e.superseded {
		return PollRequest{}, false
	}
	request := PollRequest{
		Destination: w.destination(),
		Fence:       e.fence(w),
		AckedUpTo:   w.ackedUpTo,
		AcksPending: len(w.pendingAcks) > 0,
		Recheck:     w.recheck,
	}
	// The results of a new incarnation are numbered from 1 again. It would forget them unseen.
	if w.mayHaveRestarted {
		request.AckedUpTo = 0
	}
	// A poll may be executed although it is not answered. A worker that has not answered for a
	// while gets no further lease, since its runs could otherwise never be assumed to have ended.
	// Neither does any worker once the term has ended: a later leader waits for the leases.
	if w.synced && now.Sub(w.lastSeen) < maxReportAge && e.mayLead(now) {
		request.LeaseUntil = e.extendLease(now, w)
	}
	return request, true
}

// PollRequest is a poll of a worker.
type PollRequest struct {
	Destination
	Fence int64
	// LeaseUntil is the lease for all runs on the worker, as a reading of its clock, or zero for
	// none.
	LeaseUntil time.Duration
	// AckedUpTo is the sequence number of the last result that the worker may forget.
	AckedUpTo int64
	// AcksPending is set if results wait for a commit, or a report, before they can be acknowledged.
	AcksPending bool
	// Recheck is set if the worker is to answer at once, because the last report lacked runs.
	Recheck bool
}

// extendLease grants a worker a lease of LeaseTerm from now on, and returns its deadline as a
// reading of the worker's clock. It counts from the lowest reading that the clock can have: on a
// slow clock a lease from a higher one would last longer than LeaseTerm, by more each time.
func (e *Engine) extendLease(now time.Time, w *worker) time.Duration {
	until := w.clock.lowerBound(now) + e.opts.LeaseTerm
	w.leasedUntil = max(w.leasedUntil, until)
	return until
}
