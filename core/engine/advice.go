package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// The load that asking for advice answers: the adviser serves one question at a
// time for each VM, and some queues' questions take a hundred times as long as
// others'. Questions are spread over the VMs, those of slow queues over VMs that
// quick ones do not use, and each names about as few workers as will do.

const (
	// firstGoodShare is the share of workers taken to be allowed until answers
	// tell more.
	initialGoodShare = 0.4
	// goodShareWeight is how much one answer moves the known share.
	goodShareWeight = 0.05
	// spareRoom is how much more room than needed a question looks for, since
	// other steps take some of it before the answer is there.
	capacityMargin = 2.0
	// gangSpareRoom is the same for steps that need all their room at once, and
	// gangSpareEvictions for room that is there once less urgent work is stopped.
	gangCapacityMargin = 2.5
	gangEvictionMargin = 3.0
	// leastGoodShare is the least share of workers taken to be allowed, whatever the
	// answers so far say.
	minGoodShare = 0.05
	// questionsPerStep is how many questions about a step may be out at once, through
	// different VMs: tickets hold for little longer than a question takes, so those
	// of one after the other would not hold together. A gang of 105 members looks for
	// room for 800 of them among 1,100 workers, each of which has room for one or two.
	maxRequestsPerStep = 10
	// fewestAsked is the least number of workers in a first question.
	minWorkersPerRequest = 8
	// mostAsked is the most that the adviser takes in a question.
	maxWorkersPerRequest = 100
	// questionsPerHelper is how many questions may be out through one VM: one
	// that is served, and one on its way.
	maxRequestsPerProxy = 2
	// ownHelperShare is the part of the VMs that only one queue with advice uses.
	ownProxyShare = 0.23
	// liveTickets is how many steps of a queue may hold tickets that they have no
	// room for: tickets lapse, and more of them would be asked for in vain.
	maxTicketedSteps = 12
	// askAheadSlack is how much earlier than needed an answer is asked for.
	adviceAheadMargin = 150 * time.Millisecond
	// askAgainAfter is the pause after a question without an answer.
	adviceRetryDelay = 200 * time.Millisecond
	// questionTimeout is how long after its cost an answer is given up.
	adviceTimeout = 3 * time.Second
)

// stepAdvice is what is known of the adviser's answers for a step.
type stepAdvice struct {
	// known has the workers that were asked about: those that may run the step are
	// true. That never changes. good has the latter.
	known   map[*worker]bool
	good    []*worker
	tickets map[*worker]cachedTicket
	// lastTicket is when the last ticket lapses.
	lastTicketExpiry time.Time
	// expected is the room that questions which are out may lead to the use of.
	expectedUse []workerUse
	// open is how many questions are out, and askedAt since when.
	pending     int
	requestedAt time.Time
	retryAfter  time.Time
}

// expectation is the part of a worker's processors that a question may lead to the use of.
type workerUse struct {
	worker     *worker
	millicores int64
}

// asking reports whether an answer may still come.
func (a *stepAdvice) awaitingAnswer(now time.Time) bool {
	return a.pending > 0 && now.Sub(a.requestedAt) < adviceTimeout
}

type cachedTicket struct {
	value string
	until time.Time
}

// holds reports whether the ticket holds long enough for a start.
func (t cachedTicket) usable(now time.Time) bool { return now.Add(ticketMargin).Before(t.until) }

// allows reports whether a ticket for a worker holds long enough for a start.
func (a *stepAdvice) hasTicketFor(now time.Time, w *worker) bool { return a.tickets[w].usable(now) }

// anyTicket reports whether there is a ticket that allows something.
func (a *stepAdvice) hasTicket(now time.Time) bool {
	return now.Add(ticketMargin).Before(a.lastTicketExpiry)
}

// expect notes that questions about a step lead to the use of the workers named: each
// is as likely to get one of the missing tasks. Questions about other steps look for
// other workers meanwhile, or all would find their room taken.
func (s *step) addExpectedUse(list []candidate, missing int) {
	each := s.demand().Millicores * int64(missing) / int64(len(list))
	for _, c := range list {
		c.worker.expectedMillicores += each
		s.advice.expectedUse = append(s.advice.expectedUse, workerUse{c.worker, each})
	}
}

// forgetExpected gives up what questions about a step may have led to.
func (s *step) clearExpectedUse() {
	for _, e := range s.advice.expectedUse {
		e.worker.expectedMillicores -= e.millicores
	}
	s.advice.expectedUse = s.advice.expectedUse[:0]
}

// requestAdvice asks for workers that may run the step's waiting tasks. It
// reports false if no VM is free to ask for the step's queue.
func (e *Engine) requestAdvice(p *pass, s *step, missing int) bool {
	now := p.now
	a := &s.advice
	if now.Before(a.retryAfter) || a.awaitingAnswer(now) {
		return true
	}
	first := e.proxyFor(now, s.job.Queue)
	if first == nil {
		return false
	}
	s.clearExpectedUse()
	list := e.adviceCandidates(p, s, missing)
	if len(list) == 0 {
		return true
	}
	a.pending, a.requestedAt = 0, now
	s.addExpectedUse(list, missing)
	var longest time.Duration
	for h := first; len(list) > 0 && h != nil; h = e.nextProxy(now, s, h) {
		n := min(len(list), maxWorkersPerRequest)
		longest = max(longest, e.sendAdviceRequest(now, s, h, list[:n], missing))
		list = list[n:]
	}
	if s.reservation != nil {
		s.reservation.until = now.Add(max(longest, e.opts.StopTime) + reservationMargin)
	}
	return true
}

// nextHelper returns another VM for a further question about a step, or nil. Only a
// gang's tickets are needed all at once, and only VMs that are idle are used.
func (e *Engine) nextProxy(now time.Time, s *step, last *adviceProxy) *adviceProxy {
	if !s.Gang || e.opts.Policy.OneQuestion || s.advice.pending >= maxRequestsPerStep {
		return nil
	}
	h := e.proxyFor(now, s.job.Queue)
	if h == nil || h == last || h.pending > 0 {
		return nil
	}
	return h
}

// ask sends one question through a VM and returns what it costs.
func (e *Engine) sendAdviceRequest(now time.Time, s *step, h *adviceProxy, list []candidate, missing int) time.Duration {
	cost := s.job.Queue.Advice.Decide + time.Duration(len(list))*s.job.Queue.Advice.Each
	h.pending++
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	h.freeAt = h.freeAt.Add(cost)
	s.advice.pending++
	e.counters.Asks++
	e.log("advice asked", "step", s.id, "helper", h.name, "workers", len(list), "missing", missing,
		"known-good", len(s.advice.good), "reserved", s.reservation != nil, "cost", cost)
	e.emit(Ask{Step: s.id, Helper: h.name, Workers: workerIDs(list), Cost: cost})
	return h.freeAt.Sub(now)
}

// workersToAsk returns the workers to name in questions: known good ones with room
// now, where they are enough, or else ones that were not asked yet.
func (e *Engine) adviceCandidates(p *pass, s *step, missing int) []candidate {
	a := &s.advice
	var good []candidate
	for _, w := range a.good {
		if !p.isOpen(w) || !s.mayRunOn(w) || a.hasTicketFor(p.now, w) {
			continue
		}
		if fits := s.fits(w, missing); fits > 0 {
			good = append(good, candidate{worker: w, free: w.freeFor(s), fits: fits})
		}
	}
	needed := missing
	if !s.Gang {
		needed = 1
	}
	if s.reservation != nil {
		return nil // the room is not all there yet
	}
	if len(good) > 0 && totalFits(good)+totalFits(e.candidates(p.withoutDedicated(), s, missing)) >= needed {
		return mostFree(good, capacityMargin*float64(missing), 1, len(good))
	}
	if list := e.evict(p, s, missing); list != nil {
		return list
	}
	return e.unaskedCandidates(p, s, missing)
}

// askAhead asks for steps whose turn comes when the tasks that run now are done,
// so that the answer is there by then.
func (e *Engine) requestAdviceAhead(p *pass) {
	for _, j := range e.active {
		if j.Queue.Advice == nil || len(j.Steps) < 2 || p.noProxyFor[j.Queue.Name] || !e.previousRunsResolved(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if e.readySoon(p.now, s) && !e.requestAdvice(p, s, s.tasksLeft) {
					p.noProxyFor[j.Queue.Name] = true
				}
			}
		}
	}
}

// nearlyReady reports whether a step's turn comes about when an answer would.
func (e *Engine) readySoon(now time.Time, s *step) bool {
	if s.tasksLeft < s.Count || s.ready(now) || s.advice.hasTicket(now) || s.advice.awaitingAnswer(now) {
		return false
	}
	advice := s.job.Queue.Advice
	lead := advice.Decide + advice.Decide/2 + adviceAheadMargin
	for _, before := range s.After {
		b := s.occ.steps[before]
		if b.tasksLeft > 0 && (len(b.waiting()) > 0 || e.remainingStepTime(now, b) > lead) {
			return false
		}
	}
	return true
}

// freshToAsk picks workers that were not asked yet, those with the most room first.
func (e *Engine) unaskedCandidates(p *pass, s *step, missing int) []candidate {
	if s.Gang {
		return e.unaskedForGang(p, s, missing)
	}
	advice := s.job.Queue.Advice
	most := maxWorkersPerRequest
	if advice.Each > 0 {
		// Naming workers should not take longer than half of the decision.
		most = min(maxWorkersPerRequest, max(minWorkersPerRequest, int(advice.Decide/(2*advice.Each))))
	}
	wanted := capacityMargin * float64(missing) / e.estimatedGoodShare(s)
	list := make([]candidate, 0, minWorkersPerRequest)
	var full []*worker
	total := 0.0
	for _, roomy := range p.workersByFree() {
		w := roomy.worker
		if len(list) >= most || len(list) >= minWorkersPerRequest && total >= wanted {
			return list
		}
		if roomy.millicores < s.demand().Millicores && len(list)+len(full) >= minWorkersPerRequest {
			break // nor has any worker after it room
		}
		if !s.mayRequest(p, w) {
			continue
		}
		likely := ledger.Count(s.demand(), w.expectedFree(), missing)
		if likely == 0 {
			if len(full) < minWorkersPerRequest {
				full = append(full, w)
			}
			continue
		}
		list = append(list, candidate{worker: w, free: w.freeFor(s), fits: s.fits(w, missing)})
		total += float64(likely)
	}
	// Where no room is to be had now, an answer is of use when there is some.
	for _, w := range full[:min(len(full), max(0, minWorkersPerRequest-len(list)))] {
		list = append(list, candidate{worker: w, free: w.freeFor(s), fits: s.fits(w, missing)})
	}
	return list
}

// likelyGood returns the share of workers that the adviser is likely to allow.
func (e *Engine) estimatedGoodShare(s *step) float64 {
	return max(e.statsOf(s.job.Queue.Name).goodShare, minGoodShare)
}

// mayAsk reports whether a worker may be named in a first question about the step.
func (s *step) mayRequest(p *pass, w *worker) bool {
	_, asked := s.advice.known[w]
	return !asked && !p.dedicatedToOther(w, s) && s.mayRunOn(w)
}

// freshForGang picks workers for a gang, which needs all its room at once: asking again
// costs a whole decision. Those with room now come first. Where that is too little, the
// answers should name enough workers on which room can be made, so that it is known at
// once where.
func (e *Engine) unaskedForGang(p *pass, s *step, missing int) []candidate {
	most := maxRequestsPerStep * maxWorkersPerRequest
	if e.opts.Policy.OneQuestion {
		most = maxWorkersPerRequest
	}
	share := e.estimatedGoodShare(s)
	free, possible := 0.0, 0.0
	var list []candidate
	for _, roomy := range p.workersByFree() {
		w := roomy.worker
		enough := free >= gangCapacityMargin*float64(missing)/share || possible >= gangEvictionMargin*float64(missing)/share
		if len(list) >= most || len(list) >= minWorkersPerRequest && enough {
			break
		}
		fits := ledger.Count(s.demand(), e.capacityWithEvictions(p, s, w), missing)
		if fits > 0 && s.mayRequest(p, w) {
			list = append(list, candidate{worker: w, free: w.freeFor(s), fits: fits})
			free += float64(ledger.Count(s.demand(), w.expectedFree(), missing))
			possible += float64(fits)
		}
	}
	return list
}

// roomiest returns the candidates with the most room until they take the wanted
// number of tasks; least and most bound how many.
func mostFree(list []candidate, wanted float64, least, most int) []candidate {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.free.Millicores, a.free.Millicores), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	total := 0.0
	for i, c := range list {
		if i >= most || i >= least && total >= wanted {
			return list[:i]
		}
		total += float64(c.fits)
	}
	return list
}

func workerIDs(list []candidate) []string {
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.worker.ID)
	}
	return ids
}

// adviceAnswered takes in an answer.
func (e *Engine) adviceAnswered(now time.Time, ev AdviceAnswered) {
	e.proxyAnswered(now, ev)
	j := e.jobs[ev.Step.Job]
	if j == nil || ev.Step.Occurrence >= len(j.occurrences) || ev.Step.Step >= len(j.Steps) {
		return
	}
	s := j.occurrences[ev.Step.Occurrence].steps[ev.Step.Step]
	a := &s.advice
	a.pending = max(0, a.pending-1)
	if a.pending == 0 {
		s.clearExpectedUse()
	}
	e.log("advice answered", "step", ev.Step, "helper", ev.Helper, "asked", len(ev.Asked), "good", len(ev.Tickets),
		"failed", ev.Failed, "overloaded", ev.Overloaded, "took", now.Sub(a.requestedAt))
	if ev.Failed {
		a.retryAfter = now.Add(adviceRetryDelay)
		return
	}
	good, fresh := e.applyAdvice(now, a, ev)
	if fresh > 0 {
		stats := e.statsOf(s.job.Queue.Name)
		stats.goodShare += goodShareWeight * (float64(good)/float64(fresh) - stats.goodShare)
	}
}

// learnAdvice takes in which workers are good and their tickets. It returns how many
// of the workers that the step had not heard of are good, and how many there were.
func (e *Engine) applyAdvice(now time.Time, a *stepAdvice, ev AdviceAnswered) (good, fresh int) {
	if a.known == nil {
		a.known, a.tickets = make(map[*worker]bool), make(map[*worker]cachedTicket)
	}
	before, goodBefore := len(a.known), len(a.good)
	for _, ticket := range ev.Tickets {
		w := e.workers[ticket.Worker]
		if w == nil {
			continue
		}
		if !a.known[w] {
			a.known[w] = true
			a.good = append(a.good, w)
		}
		a.lastTicketExpiry = now.Add(ev.Valid)
		a.tickets[w] = cachedTicket{value: ticket.Value, until: a.lastTicketExpiry}
	}
	for _, id := range ev.Asked {
		if w := e.workers[id]; w != nil && !a.known[w] {
			a.known[w] = false
		}
	}
	return len(a.good) - goodBefore, len(a.known) - before
}
