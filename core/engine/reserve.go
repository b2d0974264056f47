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
func (e *Engine) reserveCapacity(s *step, workers []candidate, until time.Time) {
	e.releaseReservation(s)
	r := &reservation{tasks: make(map[*worker]int, len(workers)), until: until}
	for _, c := range workers {
		r.tasks[c.worker] = c.fits
		c.worker.reserved = ledger.Sum(c.worker.reserved, ledger.Times(s.demand(), c.fits))
	}
	s.reservation = r
	if !slices.Contains(e.reservingSteps, s) {
		e.reservingSteps = append(e.reservingSteps, s)
	}
}

// unreserve gives up what is kept for a step.
func (e *Engine) releaseReservation(s *step) {
	if s.reservation == nil {
		return
	}
	for w, count := range s.reservation.tasks {
		w.reserved = ledger.Difference(w.reserved, ledger.Times(s.demand(), count))
	}
	s.reservation = nil
}

// expireReservations gives up reservations whose answer did not come, and those of
// steps that are over.
func (e *Engine) expireReservations(now time.Time) {
	kept := e.reservingSteps[:0]
	for _, s := range e.reservingSteps {
		if s.reservation != nil && (now.After(s.reservation.until) || s.job.final() || s.tasksLeft == 0) {
			e.releaseReservation(s)
		}
		if s.reservation != nil {
			kept = append(kept, s)
		}
	}
	clear(e.reservingSteps[len(kept):])
	e.reservingSteps = kept
}
