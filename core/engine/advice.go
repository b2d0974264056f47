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
	firstGoodShare = 0.4
	// goodShareWeight is how much one answer moves the known share.
	goodShareWeight = 0.05
	// spareRoom is how much more room than needed a question looks for, since
	// other steps take some of it before the answer is there.
	spareRoom = 2.0
	// gangSpareRoom is the same for steps that need all their room at once, and
	// gangSpareEvictions for room that is there once less urgent work is stopped.
	gangSpareRoom      = 2.5
	gangSpareEvictions = 3.0
	// leastGoodShare is the least share of workers taken to be allowed, whatever the
	// answers so far say.
	leastGoodShare = 0.05
	// questionsPerStep is how many questions about a step may be out at once, through
	// different VMs: tickets hold for little longer than a question takes, so those
	// of one after the other would not hold together. A gang of 105 members looks for
	// room for 800 of them among 1,100 workers, each of which has room for one or two.
	questionsPerStep = 10
	// fewestAsked is the least number of workers in a first question.
	fewestAsked = 8
	// mostAsked is the most that the adviser takes in a question.
	mostAsked = 100
	// questionsPerHelper is how many questions may be out through one VM: one
	// that is served, and one on its way.
	questionsPerHelper = 2
	// ownHelperShare is the part of the VMs that only one queue with advice uses.
	ownHelperShare = 0.23
	// liveTickets is how many steps of a queue may hold tickets that they have no
	// room for: tickets lapse, and more of them would be asked for in vain.
	liveTickets = 12
	// askAheadSlack is how much earlier than needed an answer is asked for.
	askAheadSlack = 150 * time.Millisecond
	// askAgainAfter is the pause after a question without an answer.
	askAgainAfter = 200 * time.Millisecond
	// questionTimeout is how long after its cost an answer is given up.
	questionTimeout = 3 * time.Second
)

// stepAdvice is what is known of the adviser's answers for a step.
type stepAdvice struct {
	// known has the workers that were asked about: those that may run the step are
	// true. That never changes. good has the latter.
	known   map[*worker]bool
	good    []*worker
	tickets map[*worker]heldTicket
	// lastTicket is when the last ticket lapses.
	lastTicket time.Time
	// expected is the room that questions which are out may lead to the use of.
	expected []expectation
	// open is how many questions are out, and askedAt since when.
	open     int
	askedAt  time.Time
	askAfter time.Time
}

// expectation is the part of a worker's processors that a question may lead to the use of.
type expectation struct {
	worker     *worker
	millicores int64
}

// asking reports whether an answer may still come.
func (a *stepAdvice) asking(now time.Time) bool {
	return a.open > 0 && now.Sub(a.askedAt) < questionTimeout
}

type heldTicket struct {
	value string
	until time.Time
}

// holds reports whether the ticket holds long enough for a start.
func (t heldTicket) holds(now time.Time) bool { return now.Add(ticketMargin).Before(t.until) }

// allows reports whether a ticket for a worker holds long enough for a start.
func (a *stepAdvice) allows(now time.Time, w *worker) bool { return a.tickets[w].holds(now) }

// anyTicket reports whether there is a ticket that allows something.
func (a *stepAdvice) anyTicket(now time.Time) bool {
	return now.Add(ticketMargin).Before(a.lastTicket)
}

// expect notes that questions about a step lead to the use of the workers named: each
// is as likely to get one of the missing tasks. Questions about other steps look for
// other workers meanwhile, or all would find their room taken.
func (s *step) expect(list []candidate, missing int) {
	each := s.room().Millicores * int64(missing) / int64(len(list))
	for _, c := range list {
		c.worker.expected += each
		s.advice.expected = append(s.advice.expected, expectation{c.worker, each})
	}
}

// forgetExpected gives up what questions about a step may have led to.
func (s *step) forgetExpected() {
	for _, e := range s.advice.expected {
		e.worker.expected -= e.millicores
	}
	s.advice.expected = s.advice.expected[:0]
}

// requestAdvice asks for workers that may run the step's waiting tasks. It
// reports false if no VM is free to ask for the step's queue.
func (e *Engine) requestAdvice(p *pass, s *step, missing int) bool {
	now := p.now
	a := &s.advice
	if now.Before(a.askAfter) || a.asking(now) {
		return true
	}
	first := e.helperFor(now, s.job.Queue)
	if first == nil {
		return false
	}
	s.forgetExpected()
	list := e.workersToAsk(p, s, missing)
	if len(list) == 0 {
		return true
	}
	a.open, a.askedAt = 0, now
	s.expect(list, missing)
	var longest time.Duration
	for h := first; len(list) > 0 && h != nil; h = e.nextHelper(now, s, h) {
		n := min(len(list), mostAsked)
		longest = max(longest, e.ask(now, s, h, list[:n], missing))
		list = list[n:]
	}
	if s.reserved != nil {
		s.reserved.until = now.Add(max(longest, e.opts.StopTime) + reservationMargin)
	}
	return true
}

// nextHelper returns another VM for a further question about a step, or nil. Only a
// gang's tickets are needed all at once, and only VMs that are idle are used.
func (e *Engine) nextHelper(now time.Time, s *step, last *helper) *helper {
	if !s.Gang || e.opts.Policy.SingleAdviceRequest || s.advice.open >= questionsPerStep {
		return nil
	}
	h := e.helperFor(now, s.job.Queue)
	if h == nil || h == last || h.questions > 0 {
		return nil
	}
	return h
}

// ask sends one question through a VM and returns what it costs.
func (e *Engine) ask(now time.Time, s *step, h *helper, list []candidate, missing int) time.Duration {
	cost := s.job.Queue.Advice.RequestTime + time.Duration(len(list))*s.job.Queue.Advice.PerWorkerTime
	h.questions++
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	h.freeAt = h.freeAt.Add(cost)
	s.advice.open++
	e.counters.AdviceRequests++
	e.log("advice asked", "step", s.id, "helper", h.name, "workers", len(list), "missing", missing,
		"known-good", len(s.advice.good), "reserved", s.reserved != nil, "cost", cost)
	e.emit(AdviceRequest{Step: s.id, Proxy: h.name, Workers: names(list), Cost: cost})
	return h.freeAt.Sub(now)
}

// workersToAsk returns the workers to name in questions: known good ones with room
// now, where they are enough, or else ones that were not asked yet.
func (e *Engine) workersToAsk(p *pass, s *step, missing int) []candidate {
	a := &s.advice
	var good []candidate
	for _, w := range a.good {
		if !p.isOpen(w) || !s.suits(w) || a.allows(p.now, w) {
			continue
		}
		if fits := s.fits(w, missing); fits > 0 {
			good = append(good, candidate{worker: w, room: w.freeFor(s), fits: fits})
		}
	}
	needed := missing
	if !s.Gang {
		needed = 1
	}
	if s.reserved != nil {
		return nil // the room is not all there yet
	}
	if len(good) > 0 && totalFits(good)+totalFits(e.candidates(p.unheld(), s, missing)) >= needed {
		return roomiest(good, spareRoom*float64(missing), 1, len(good))
	}
	if list := e.evict(p, s, missing); list != nil {
		return list
	}
	return e.freshToAsk(p, s, missing)
}

// askAhead asks for steps whose turn comes when the tasks that run now are done,
// so that the answer is there by then.
func (e *Engine) askAhead(p *pass) {
	for _, j := range e.active {
		if j.Queue.Advice == nil || len(j.Steps) < 2 || p.full[j.Queue.Name] || !e.settled(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if e.nearlyReady(p.now, s) && !e.requestAdvice(p, s, s.left) {
					p.full[j.Queue.Name] = true
				}
			}
		}
	}
}

// nearlyReady reports whether a step's turn comes about when an answer would.
func (e *Engine) nearlyReady(now time.Time, s *step) bool {
	if s.left < s.Count || s.ready(now) || s.advice.anyTicket(now) || s.advice.asking(now) {
		return false
	}
	advice := s.job.Queue.Advice
	lead := advice.RequestTime + advice.RequestTime/2 + askAheadSlack
	for _, before := range s.After {
		b := s.occ.steps[before]
		if b.left > 0 && (len(b.waiting()) > 0 || e.leftOfStep(now, b) > lead) {
			return false
		}
	}
	return true
}

// freshToAsk picks workers that were not asked yet, those with the most room first.
func (e *Engine) freshToAsk(p *pass, s *step, missing int) []candidate {
	if s.Gang {
		return e.freshForGang(p, s, missing)
	}
	advice := s.job.Queue.Advice
	most := mostAsked
	if advice.PerWorkerTime > 0 {
		// Naming workers should not take longer than half of the decision.
		most = min(mostAsked, max(fewestAsked, int(advice.RequestTime/(2*advice.PerWorkerTime))))
	}
	wanted := spareRoom * float64(missing) / e.likelyGood(s)
	list := make([]candidate, 0, fewestAsked)
	var full []*worker
	total := 0.0
	for _, roomy := range p.roomiest() {
		w := roomy.worker
		if len(list) >= most || len(list) >= fewestAsked && total >= wanted {
			return list
		}
		if roomy.millicores < s.room().Millicores && len(list)+len(full) >= fewestAsked {
			break // nor has any worker after it room
		}
		if !s.mayAsk(p, w) {
			continue
		}
		likely := ledger.FitCount(s.room(), w.likelyFree(), missing)
		if likely == 0 {
			if len(full) < fewestAsked {
				full = append(full, w)
			}
			continue
		}
		list = append(list, candidate{worker: w, room: w.freeFor(s), fits: s.fits(w, missing)})
		total += float64(likely)
	}
	// Where no room is to be had now, an answer is of use when there is some.
	for _, w := range full[:min(len(full), max(0, fewestAsked-len(list)))] {
		list = append(list, candidate{worker: w, room: w.freeFor(s), fits: s.fits(w, missing)})
	}
	return list
}

// likelyGood returns the share of workers that the adviser is likely to allow.
func (e *Engine) likelyGood(s *step) float64 {
	return max(e.statsOf(s.job.Queue.Name).goodShare, leastGoodShare)
}

// mayAsk reports whether a worker may be named in a first question about the step.
func (s *step) mayAsk(p *pass, w *worker) bool {
	_, asked := s.advice.known[w]
	return !asked && !p.heldForOthers(w, s) && s.suits(w)
}

// freshForGang picks workers for a gang, which needs all its room at once: asking again
// costs a whole decision. Those with room now come first. Where that is too little, the
// answers should name enough workers on which room can be made, so that it is known at
// once where.
func (e *Engine) freshForGang(p *pass, s *step, missing int) []candidate {
	most := questionsPerStep * mostAsked
	if e.opts.Policy.SingleAdviceRequest {
		most = mostAsked
	}
	share := e.likelyGood(s)
	free, possible := 0.0, 0.0
	var list []candidate
	for _, roomy := range p.roomiest() {
		w := roomy.worker
		enough := free >= gangSpareRoom*float64(missing)/share || possible >= gangSpareEvictions*float64(missing)/share
		if len(list) >= most || len(list) >= fewestAsked && enough {
			break
		}
		fits := ledger.FitCount(s.room(), e.roomWithEvictions(p, s, w), missing)
		if fits > 0 && s.mayAsk(p, w) {
			list = append(list, candidate{worker: w, room: w.freeFor(s), fits: fits})
			free += float64(ledger.FitCount(s.room(), w.likelyFree(), missing))
			possible += float64(fits)
		}
	}
	return list
}

// roomiest returns the candidates with the most room until they take the wanted
// number of tasks; least and most bound how many.
func roomiest(list []candidate, wanted float64, least, most int) []candidate {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.room.Millicores, a.room.Millicores), cmp.Compare(a.worker.ID, b.worker.ID))
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

func names(list []candidate) []string {
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.worker.ID)
	}
	return ids
}

// adviceAnswered takes in an answer.
func (e *Engine) adviceAnswered(now time.Time, ev AdviceAnswered) {
	e.releaseHelper(now, ev)
	j := e.jobs[ev.Step.Job]
	if j == nil || ev.Step.Occurrence >= len(j.occurrences) || ev.Step.Step >= len(j.Steps) {
		return
	}
	s := j.occurrences[ev.Step.Occurrence].steps[ev.Step.Step]
	a := &s.advice
	a.open = max(0, a.open-1)
	if a.open == 0 {
		s.forgetExpected()
	}
	e.log("advice answered", "step", ev.Step, "helper", ev.Proxy, "asked", len(ev.Workers), "good", len(ev.Tickets),
		"failed", ev.Failed, "overloaded", ev.Overloaded, "took", now.Sub(a.askedAt))
	if ev.Failed {
		a.askAfter = now.Add(askAgainAfter)
		return
	}
	good, fresh := e.learnAdvice(now, a, ev)
	if fresh > 0 {
		stats := e.statsOf(s.job.Queue.Name)
		stats.goodShare += goodShareWeight * (float64(good)/float64(fresh) - stats.goodShare)
	}
}

// learnAdvice takes in which workers are good and their tickets. It returns how many
// of the workers that the step had not heard of are good, and how many there were.
func (e *Engine) learnAdvice(now time.Time, a *stepAdvice, ev AdviceAnswered) (good, fresh int) {
	if a.known == nil {
		a.known, a.tickets = make(map[*worker]bool), make(map[*worker]heldTicket)
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
		a.lastTicket = now.Add(ev.Valid)
		a.tickets[w] = heldTicket{value: ticket.Value, until: a.lastTicket}
	}
	for _, id := range ev.Workers {
		if w := e.workers[id]; w != nil && !a.known[w] {
			a.known[w] = false
		}
	}
	return len(a.good) - goodBefore, len(a.known) - before
}
