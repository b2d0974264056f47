package engine

import (
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// Reservations protect gangs for which other work was stopped from the constant stream of small
// tasks. The capacity is reserved for the gang until the adviser has answered, and no longer,
// since reserved capacity is idle.

// reservationMargin is the time for which a reservation outlasts the time at which the answer is
// due. It covers the round trip to a VM in another region and a scheduling pass.
const reservationMargin = 300 * time.Millisecond

// reservation is the capacity reserved for a step while work is stopped for it and a request is
// outstanding. tasks holds the number of tasks per worker.
type reservation struct {
	tasks map[*worker]int
	until time.Time
}

// reserveCapacity reserves capacity for a step until the given time, in place of an earlier
// reservation.
func (e *Engine) reserveCapacity(s *step, workers []candidate, until time.Time) {
	e.releaseReservation(s)
	r := &reservation{tasks: make(map[*worker]int, len(workers)), until: until}
	for _, c := range workers {
		r.tasks[c.worker] = c.fits
		c.worker.reserved = ledger.Sum(c.worker.reserved, ledger.Scale(s.demand(), c.fits))
	}
	s.reservation = r
	if !slices.Contains(e.reservingSteps, s) {
		e.reservingSteps = append(e.reservingSteps, s)
	}
}

// releaseReservation releases a step's reservation, if there is one.
func (e *Engine) releaseReservation(s *step) {
	if s.reservation == nil {
		return
	}
	for w, count := range s.reservation.tasks {
		w.reserved = ledger.Difference(w.reserved, ledger.Scale(s.demand(), count))
	}
	s.reservation = nil
}

// expireReservations releases reservations whose answer did not arrive in time, and those of
// completed steps.
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
