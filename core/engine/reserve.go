package engine

import (
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// The load that reservations answer: gangs for which other work was stopped, while
// small tasks come all the time. The room that this makes is kept for the gang until
// the adviser has answered, and no longer: room that is kept empty serves nobody.

// reservationMargin is how long after its cost the answer to a question keeps room:
// the way to a VM in another region and back, and a pass of the engine.
const reservationMargin = 300 * time.Millisecond

// reservation is the room that is kept for a step while work is stopped for it and a
// question is out.
type reservation struct {
	tasks map[*worker]int
	until time.Time
}

// reserve keeps room for a step on workers until an instant.
func (e *Engine) reserve(s *step, workers []candidate, until time.Time) {
	e.unreserve(s)
	r := &reservation{tasks: make(map[*worker]int, len(workers)), until: until}
	for _, c := range workers {
		r.tasks[c.worker] = c.fits
		c.worker.reserved = ledger.Sum(c.worker.reserved, ledger.Scale(s.room(), c.fits))
	}
	s.reserved = r
	if !slices.Contains(e.reserving, s) {
		e.reserving = append(e.reserving, s)
	}
}

// unreserve gives up what is kept for a step.
func (e *Engine) unreserve(s *step) {
	if s.reserved == nil {
		return
	}
	for w, count := range s.reserved.tasks {
		w.reserved = ledger.Difference(w.reserved, ledger.Scale(s.room(), count))
	}
	s.reserved = nil
}

// expireReservations gives up reservations whose answer did not come, and those of
// steps that are over.
func (e *Engine) expireReservations(now time.Time) {
	kept := e.reserving[:0]
	for _, s := range e.reserving {
		if s.reserved != nil && (now.After(s.reserved.until) || s.job.final() || s.left == 0) {
			e.unreserve(s)
		}
		if s.reserved != nil {
			kept = append(kept, s)
		}
	}
	clear(e.reserving[len(kept):])
	e.reserving = kept
}
