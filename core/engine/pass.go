package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// schedule makes one pass over all steps that have tasks to start.
func (e *Engine) schedule(now time.Time) {
	e.expireProxyRequests(now)
	e.expireReservations(now)
	e.passes++
	pass := &pass{
		now: now, number: e.passes, noProxyFor: make(map[string]bool), ticketedSteps: make(map[string]int), dedicated: make(map[*worker]*step),
	}
	pass.open = e.openWorkers(now)
	for _, w := range pass.open {
		pass.capacity += w.Capacity.Millicores
	}
	for _, s := range e.readySteps(now) {
		e.scheduleStep(pass, s)
	}
	e.requestAdviceAhead(pass)
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
	noProxyFor map[string]bool
	// ticketed counts the steps of a queue that hold tickets and wait for room.
	ticketedSteps map[string]int
	// held are the workers whose room is kept for a gang.
	dedicated map[*worker]*step
	// byRoom are the open workers with the most room first, as of the first question.
	byFree []freeWorker
}

// unheld returns the pass without the workers that are held for gangs.
func (p *pass) withoutDedicated() *pass { return &pass{now: p.now, number: p.number, open: p.open} }

// heldForOthers reports whether a worker runs empty for another step than s.
func (p *pass) dedicatedToOther(w *worker, s *step) bool {
	holder := p.dedicated[w]
	return holder != nil && holder != s
}

// isOpen reports whether a worker may get work in this pass.
func (p *pass) isOpen(w *worker) bool { return w.openInPass == p.number }

// roomyWorker is a worker, and its free processors that were not expected to be used
// when the first question of a pass was asked. They only become fewer in a pass.
type freeWorker struct {
	*worker
	millicores int64
}

// roomiest returns the open workers with the most room first.
func (p *pass) workersByFree() []freeWorker {
	if p.byFree == nil {
		p.byFree = make([]freeWorker, 0, len(p.open))
		for _, w := range p.open {
			p.byFree = append(p.byFree, freeWorker{w, w.expectedFree().Millicores})
		}
		slices.SortFunc(p.byFree, func(a, b freeWorker) int {
			return cmp.Or(cmp.Compare(b.millicores, a.millicores), cmp.Compare(a.ID, b.ID))
		})
	}
	return p.byFree
}

func (e *Engine) scheduleStep(p *pass, s *step) {
	if p.now.Before(s.retryAt) {
		return
	}
	tasks := s.waiting()
	if len(tasks) == 0 {
		return
	}
	if s.Gang && len(tasks) < s.tasksLeft {
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
		e.dedicateWorkers(p, s, missing)
	}
	queue := s.job.Queue.Name
	if s.job.Queue.Advice == nil || p.noProxyFor[queue] {
		return
	}
	if s.advice.hasTicket(p.now) {
		p.ticketedSteps[queue]++
		if p.ticketedSteps[queue] >= maxTicketedSteps {
			p.noProxyFor[queue] = true
		}
	}
	if !e.requestAdvice(p, s, missing) {
		p.noProxyFor[queue] = true
	}
	if s.Gang && s.advice.pending == 0 {
		s.retryAt = p.now.Add(gangRetryDelay)
	}
}

// gangRetry is the pause before a gang that found too little room, and nobody to ask,
// is tried again: each try looks at all workers, and gangs wait for seconds.
const gangRetryDelay = 30 * time.Millisecond

// openWorkers returns the workers that may get work now.
func (e *Engine) openWorkers(now time.Time) []*worker {
	list := make([]*worker, 0, len(e.sortedWorkers))
	for _, w := range e.sortedWorkers {
		if w.usable(now) && !w.health.quarantined(now) && e.inRecordedRoster(w.ID) {
			w.openInPass = e.passes
			list = append(list, w)
		}
	}
	return list
}

// holdAfter is how long a gang looks for room among what is free before room is held
// for it. Most gangs find it: a fifth of the processors is free on a calm day. Holding
// room earlier cost more than it gave in the model (docs/CAPACITY.md).
const dedicateAfter = 2 * time.Second

// holdRoom lets workers run empty for a gang that has long waited for room: those
// that may run it and have the most room, until they would take all of it if they
// were empty. Steps after it in the order get nothing there, or small ones would keep
// a wide gang waiting for good. It is done for one gang at a time.
func (e *Engine) dedicateWorkers(p *pass, s *step, missing int) {
	advised := s.job.Queue.Advice != nil
	switch {
	case e.opts.Policy.NoHeldRoom, len(p.dedicated) > 0, p.now.Sub(s.waitingSince) < dedicateAfter:
		return
	case s.rank == worthless, advised && len(s.advice.good) == 0:
		return
	}
	var list []candidate
	for _, w := range p.open {
		if !s.mayRunOn(w) || advised && !s.advice.known[w] {
			continue
		}
		list = append(list, candidate{worker: w, free: w.free(), fits: ledger.Count(s.demand(), w.Capacity, missing)})
	}
	for _, c := range mostFree(list, float64(missing), 1, len(list)) {
		p.dedicated[c.worker] = s
	}
}
