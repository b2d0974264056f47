package engine

import "time"

// A leader that is cut off from the store does not learn that it was replaced. Its successor adopts
// the runs on all workers that it reaches and renews their leases. Therefore an Engine takes a lease
// for expired only once it is proved that there was no later leader at that time, and it starts runs
// and grants leases only until the end of its term.

// leadershipConfirmed extends the term.
func (e *Engine) leadershipConfirmed(now time.Time, ev LeadershipConfirmed) {
	if ev.At.After(e.confirmed.At) {
		e.confirmed = ev
	}
	e.noteTerm(now)
}

// mayLead reports whether the term lasts.
func (e *Engine) mayLead(now time.Time) bool {
	return e.opts.unsafe.skipConfirmation || isBefore(now, e.confirmed.Until)
}

// provedUntil returns the latest time, now at most, until which there was no later leader.
func (e *Engine) provedUntil(now time.Time) time.Time {
	if e.opts.unsafe.skipConfirmation || now.Before(e.confirmed.At) {
		return now
	}
	return e.confirmed.At
}

// noteTerm logs when the term ends and when it is extended again.
func (e *Engine) noteTerm(now time.Time) {
	if ended := !e.mayLead(now); ended != e.unconfirmed {
		e.unconfirmed = ended
		e.log("leadership term changed", "epoch", e.opts.Epoch, "may-lead", !ended, "confirmed-before", now.Sub(e.confirmed.At))
	}
}

// awaitsConfirmation reports whether a worker has runs that end once it is confirmed that there is
// no later leader.
func (e *Engine) awaitsConfirmation(now time.Time, w *worker) bool {
	return len(w.runs) > 0 && w.leaseExpired(now) && !w.leaseExpired(e.provedUntil(now))
}
