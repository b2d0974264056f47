package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/roster"
)

// schedule makes one pass over all steps that have tasks to start.
func (e *Engine) schedule(now time.Time) {
	e.expireProxyRequests(now)
	e.expireReservations(now)
	e.updateOrganizations(now)
	e.updateHealth(now)
	e.releaseKeptWorkers(now)
	e.passes++
	pass := &pass{
		now: now, number: e.passes, noProxyFor: make(map[string]bool), ticketedSteps: make(map[string]int), dedicated: make(map[*worker]*step),
	}
	pass.open = e.openWorkers(now)
	for _, w := range pass.open {
		pass.capacity += w.Capacity.Millicores
	}
	e.scheduleSteps(pass, e.readySteps(now))
	e.requestAdviceAhead(pass)
}

// pass is the state of one scheduling pass over the steps.
type pass struct {
	now    time.Time
	number int64
	// open holds the workers that may get work, sorted by ID.
	open []*worker
	// capacity is the total processor capacity of the open workers, in millicores.
	capacity int64
	// total is the capacity of the open workers, if shares are in use.
	total roster.Resources
	// excessRooms holds, for each service with waiting gangs that are not excess, what excess may take.
	excessRooms map[string]*excessRoom
	// noProxyFor holds the queues for which no proxy is available, or that have maxTicketedSteps
	// steps with tickets.
	noProxyFor map[string]bool
	// ticketedSteps counts the steps of each queue that have valid tickets and wait for capacity.
	ticketedSteps map[string]int
	// dedicated holds the workers that get no further work in this pass, because they are kept
	// free for a gang, with the gang's step.
	dedicated map[*worker]*step
	// byFree holds the open workers with the most free capacity first, as of the first advice
	// request of the pass.
	byFree []freeWorker
	// bounds holds the results of mostWithEvictions for steps of boundsPriority and the first workers
	// of byFree. Gangs look through all workers of a full fleet, most of which have too little.
	bounds         []int64
	boundsPriority int
	// vacant holds the vacant workers once vacantKnown is set.
	vacant      []*worker
	vacantKnown bool
	// tasks is the space for the waiting tasks of the step that is being scheduled.
	tasks []*task
}

// withoutDedicated returns a copy of the pass without dedicated workers.
func (p *pass) withoutDedicated() *pass { return &pass{now: p.now, number: p.number, open: p.open} }

// dedicatedToOther reports whether a worker is dedicated to a step other than s.
func (p *pass) dedicatedToOther(w *worker, s *step) bool {
	owner := p.dedicated[w]
	return owner != nil && owner != s
}

// isOpen reports whether a worker may get work in this pass.
func (p *pass) isOpen(w *worker) bool { return w.openInPass == p.number }

// freeWorker is a worker with its expected free processor capacity at the first advice request of
// a pass. That capacity only shrinks during a pass.
type freeWorker struct {
	worker     *worker
	number     int
	millicores int64
}

// workersByFree returns the open workers, those with the most free capacity first.
func (p *pass) workersByFree() []freeWorker {
	if p.byFree == nil {
		p.byFree = make([]freeWorker, 0, len(p.open))
		for _, w := range p.open {
			p.byFree = append(p.byFree, freeWorker{w, w.number, w.expectedFree().Millicores})
		}
		slices.SortFunc(p.byFree, func(a, b freeWorker) int {
			if a.millicores != b.millicores {
				return cmp.Compare(b.millicores, a.millicores)
			}
			return cmp.Compare(a.worker.ID, b.worker.ID)
		})
	}
	return p.byFree
}

// resetBounds drops the bounds of steps of another priority than that of s.
func (p *pass) resetBounds(s *step) {
	if priority := s.job.Queue.Priority; p.boundsPriority != priority {
		p.bounds, p.boundsPriority = p.bounds[:0], priority
	}
}

// scheduleStep starts at most limit tasks of a step, and requests advice if it finds too little
// capacity for these. It reports whether only the limit keeps the step from starting more. Such a step
// is to be scheduled again in the pass; any other must not be, since its tickets would count twice.
func (e *Engine) scheduleStep(p *pass, s *step, limit int) (limited bool) {
	if p.now.Before(s.retryAt) {
		if !s.unfit {
			p.addOwed(s, s.tasksLeft)
		}
		e.noteWait(p.now, s.job, s.job.wait.reason)
		return false
	}
	p.tasks = s.waiting(p.tasks[:0])
	tasks := p.tasks
	if len(tasks) == 0 {
		return false
	}
	if s.Gang && len(tasks) < s.tasksLeft {
		e.noteWait(p.now, s.job, waitsForEarlierRuns)
		return false // some members of the previous run have not ended yet
	}
	if e.waitsForCap(s, len(tasks)) {
		s.waitingSince = time.Time{}
		e.releaseReservation(s)
		e.noteWait(p.now, s.job, e.capReason(s))
		return false
	}
	if !s.Gang {
		tasks = tasks[:e.capRoom(s, len(tasks))]
	}
	if s.job.excess {
		if tasks = tasks[:p.excessTasks(s, len(tasks))]; len(tasks) == 0 {
			e.noteWait(p.now, s.job, waitsForShare)
			return false
		}
	}
	if !s.Gang && limit < len(tasks) {
		tasks, limited = tasks[:limit], true
	}
	started := e.place(p, s, tasks)
	p.useExcessRoom(s, started)
	missing := len(tasks) - started
	if missing == 0 {
		return limited
	}
	if limited && slices.ContainsFunc(tasks, (*task).isolated) {
		return true // the tasks beyond the limit may have capacity that isolated ones cannot use
	}
	e.waitForCapacity(p, s, missing)
	return false
}

// waitForCapacity handles a step that found too little capacity for a number of tasks.
func (e *Engine) waitForCapacity(p *pass, s *step, missing int) {
	if s.waitingSince.IsZero() {
		s.waitingSince = p.now
	}
	e.noteFit(s, missing)
	if s.unfit {
		e.noteWait(p.now, s.job, waitsForWorkers)
		e.releaseReservation(s)
		s.retryAt = p.now.Add(gangRetryDelay)
		return
	}
	e.noteWait(p.now, s.job, e.reasonOf(p, s))
	p.addOwed(s, missing)
	if s.Gang {
		e.dedicateWorkers(p, s, missing)
	}
	queue := s.job.Queue.Name
	if s.job.Queue.Advice == nil || p.noProxyFor[queue] {
		return
	}
	if e.awaitsVacancy(p, s, missing) {
		s.retryAt = p.now.Add(gangRetryDelay)
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

// gangRetryDelay is the pause before a gang is tried again that found too little capacity and had
// no request to send, or a step that does not fit: each try considers all workers.
const gangRetryDelay = 30 * time.Millisecond

// openWorkers returns the workers that may get work now.
func (e *Engine) openWorkers(now time.Time) []*worker {
	list := make([]*worker, 0, len(e.sortedWorkers))
	for _, w := range e.sortedWorkers {
		if w.usable(now) && e.entryCurrent(now, w) && !e.withheld(now, w) && e.inRecordedRoster(w.ID) {
			w.openInPass = e.passes
			list = append(list, w)
		}
	}
	return list
}

// dedicateAfter is the time for which a gang looks for free capacity before workers are dedicated
// to it. Most gangs find it, since a fifth of the processors is free on a calm day. Dedicating
// workers earlier cost more than it gained in the model (docs/CAPACITY.md).
const dedicateAfter = 2 * time.Second

// dedicateWorkers keeps workers free for a gang that has waited for long: those that may run it
// and have the most free capacity, as many as would fit the missing tasks if they were empty.
// Otherwise small steps that come later in the order would keep a wide gang waiting forever.
// Workers are dedicated to one gang at a time.
func (e *Engine) dedicateWorkers(p *pass, s *step, missing int) {
	advised := s.job.Queue.Advice != nil
	switch {
	case e.opts.Policy.NoDedicatedWorkers, len(p.dedicated) > 0, p.now.Sub(s.waitingSince) < dedicateAfter:
		return
	case s.job.excess, s.rank == worthless, advised && len(s.advice.permittedWorkers) == 0:
		return
	}
	var list []candidate
	for _, w := range p.open {
		if !s.mayRunOn(w) || advised && !s.advice.permitted.has(w) {
			continue
		}
		if fits := s.fitsIfEmpty(w, missing); fits > 0 {
			list = append(list, candidate{worker: w, free: w.free(), fits: fits})
		}
	}
	for _, c := range mostFree(list, float64(missing), 1, len(list)) {
		p.dedicated[c.worker] = s
	}
}
