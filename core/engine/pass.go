package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// schedule makes one pass over all steps that have tasks to start.
func (e *Engine) schedule(now time.Time) {
	e.releaseHelpers(now)
	e.expireReservations(now)
	e.passes++
	pass := &pass{
		now: now, number: e.passes, full: make(map[string]bool), ticketed: make(map[string]int), held: make(map[*worker]*step),
	}
	pass.open = e.openWorkers(now)
	for _, w := range pass.open {
		pass.capacity += w.Capacity.Millicores
	}
	for _, s := range e.readySteps(now) {
		e.scheduleStep(pass, s)
	}
	e.askAhead(pass)
}

// pass is what one pass over the steps has found out.
type pass struct {
	now    time.Time
	number int64
	// open are the workers that may get work, by ID.
	open []*worker
	// capacity is what the open workers have, in millicores.
	capacity int64
	// full are the queues for which no VM is free to ask the adviser.
	full map[string]bool
	// ticketed counts the steps of a queue that hold tickets and wait for room.
	ticketed map[string]int
	// held are the workers whose room is kept for a gang.
	held map[*worker]*step
	// byRoom are the open workers with the most room first, as of the first question.
	byRoom []roomyWorker
}

// unheld returns the pass without the workers that are held for gangs.
func (p *pass) unheld() *pass { return &pass{now: p.now, number: p.number, open: p.open} }

// heldForOthers reports whether a worker runs empty for another step than s.
func (p *pass) heldForOthers(w *worker, s *step) bool {
	holder := p.held[w]
	return holder != nil && holder != s
}

// isOpen reports whether a worker may get work in this pass.
func (p *pass) isOpen(w *worker) bool { return w.openIn == p.number }

// roomyWorker is a worker, and its free processors that were not expected to be used
// when the first question of a pass was asked. They only become fewer in a pass.
type roomyWorker struct {
	*worker
	millicores int64
}

// roomiest returns the open workers with the most room first.
func (p *pass) roomiest() []roomyWorker {
	if p.byRoom == nil {
		p.byRoom = make([]roomyWorker, 0, len(p.open))
		for _, w := range p.open {
			p.byRoom = append(p.byRoom, roomyWorker{w, w.likelyFree().Millicores})
		}
		slices.SortFunc(p.byRoom, func(a, b roomyWorker) int {
			return cmp.Or(cmp.Compare(b.millicores, a.millicores), cmp.Compare(a.ID, b.ID))
		})
	}
	return p.byRoom
}

func (e *Engine) scheduleStep(p *pass, s *step) {
	if p.now.Before(s.tryAt) {
		return
	}
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
	if s.waitingSince.IsZero() {
		s.waitingSince = p.now
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
	if !e.requestAdvice(p, s, missing) {
		p.full[queue] = true
	}
	if s.Gang && s.advice.open == 0 {
		s.tryAt = p.now.Add(gangRetry)
	}
}

// gangRetry is the pause before a gang that found too little room, and nobody to ask,
// is tried again: each try looks at all workers, and gangs wait for seconds.
const gangRetry = 30 * time.Millisecond

// openWorkers returns the workers that may get work now.
func (e *Engine) openWorkers(now time.Time) []*worker {
	list := make([]*worker, 0, len(e.order))
	for _, w := range e.order {
		if w.usable(now) && !w.health.quarantined(now) && e.onRecord(w.ID) {
			w.openIn = e.passes
			list = append(list, w)
		}
	}
	return list
}

// holdAfter is how long a gang looks for room among what is free before room is held
// for it. Most gangs find it: a fifth of the processors is free on a calm day. Holding
// room earlier cost more than it gave in the model (docs/CAPACITY.md).
const holdAfter = 2 * time.Second

// holdRoom lets workers run empty for a gang that has long waited for room: those
// that may run it and have the most room, until they would take all of it if they
// were empty. Steps after it in the order get nothing there, or small ones would keep
// a wide gang waiting for good. It is done for one gang at a time.
func (e *Engine) holdRoom(p *pass, s *step, missing int) {
	advised := s.job.Queue.Advice != nil
	switch {
	case e.opts.Policy.NoDedicatedWorkers, len(p.held) > 0, p.now.Sub(s.waitingSince) < holdAfter:
		return
	case s.rank == hopeless, advised && len(s.advice.good) == 0:
		return
	}
	var list []candidate
	for _, w := range p.open {
		if !s.suits(w) || advised && !s.advice.known[w] {
			continue
		}
		list = append(list, candidate{worker: w, room: w.free(), fits: ledger.FitCount(s.room(), w.Capacity, missing)})
	}
	for _, c := range roomiest(list, float64(missing), 1, len(list)) {
		p.held[c.worker] = s
	}
}
