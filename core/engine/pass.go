package engine

import (
	"time"

	"tanagerstack.org/core/ledger"
)

// schedule makes one pass over all steps that have tasks to start.
func (e *Engine) schedule(now time.Time) {
	e.releaseHelpers(now)
	pass := &pass{now: now, full: make(map[string]bool), ticketed: make(map[string]int), held: make(map[string]*step)}
	for _, s := range e.readySteps(now) {
		e.scheduleStep(pass, s)
	}
	e.askAhead(pass)
}

// pass is what one pass over the steps has found out.
type pass struct {
	now time.Time
	// full are the queues for which no VM is free to ask the adviser.
	full map[string]bool
	// ticketed counts the steps of a queue that hold tickets and wait for room.
	ticketed map[string]int
	// held are the workers whose room is kept for a gang.
	held map[string]*step
}

func (e *Engine) scheduleStep(p *pass, s *step) {
	tasks := s.waiting()
	if len(tasks) == 0 {
		return
	}
	if s.Gang && len(tasks) < s.left {
		return // members of the last run are not all gone yet
	}
	missing := len(tasks) - e.place(p, s, tasks)
	if missing == 0 {
		return
	}
	if s.Gang {
		e.holdRoom(p, s, missing)
	}
	queue := s.job.Queue.Name
	if s.job.Queue.Advice == nil || p.full[queue] {
		return
	}
	if s.advice.anyTicket(p.now) {
		p.ticketed[queue]++
		if p.ticketed[queue] >= liveTickets {
			p.full[queue] = true
		}
	}
	if !e.requestAdvice(p.now, s, missing) {
		p.full[queue] = true
	}
}

// heldShare is the part of the workers whose room may be kept for gangs. The first
// gang in the order may have more: it would wait for good otherwise.
const heldShare = 0.5

// holdRoom keeps the room of workers for a gang that has to wait for it: those
// that may run it and have the most room, until they would take all of it if
// they were empty. Steps after it in the order get nothing there, or small ones
// would keep a wide gang waiting for good.
func (e *Engine) holdRoom(p *pass, s *step, missing int) {
	if s.job.Queue.Advice != nil && len(s.advice.good) == 0 || s.rank == hopeless {
		return
	}
	var list []candidate
	for _, w := range e.order {
		if p.held[w.ID] != nil || !e.suits(p.now, s, w) || s.job.Queue.Advice != nil && !s.advice.good[w.ID] {
			continue
		}
		list = append(list, candidate{worker: w, room: w.free(), fits: ledger.Count(s.room(), w.Capacity, missing)})
	}
	limit := int(heldShare * float64(len(e.order)))
	if len(p.held) == 0 {
		limit = len(e.order)
	}
	for _, c := range roomiest(list, float64(missing), 1, len(list)) {
		if len(p.held) >= limit {
			return
		}
		p.held[c.worker.ID] = s
	}
}
