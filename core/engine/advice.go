package engine

import (
	"cmp"
	"slices"
	"time"
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
	// gangSpareRoom is the same for steps that need all their room at once.
	gangSpareRoom = 2.5
	// reservedRoom is the same where the room is kept until the answer is there: a
	// worker may be lost meanwhile.
	reservedRoom = 1.15
	// questionsPerStep is how many questions about a step may be out at once, through
	// different VMs: tickets hold for little longer than a question takes, so those
	// of one after the other would not hold together.
	questionsPerStep = 3
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
	// good and bad are the workers that may and may not run the step for good.
	good, bad map[string]bool
	tickets   map[string]heldTicket
	// lastTicket is when the last ticket lapses.
	lastTicket time.Time
	// open is how many questions are out, and askedAt since when.
	open     int
	askedAt  time.Time
	askAfter time.Time
}

// asking reports whether an answer may still come.
func (a *stepAdvice) asking(now time.Time) bool {
	return a.open > 0 && now.Sub(a.askedAt) < questionTimeout
}

type heldTicket struct {
	value string
	until time.Time
}

// allows reports whether a ticket holds long enough for a start.
func (a *stepAdvice) allows(now time.Time, worker string) bool {
	ticket, ok := a.tickets[worker]
	return ok && now.Add(ticketMargin).Before(ticket.until)
}

// anyTicket reports whether there is a ticket that allows something.
func (a *stepAdvice) anyTicket(now time.Time) bool {
	return now.Add(ticketMargin).Before(a.lastTicket)
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
	list := e.workersToAsk(p, s, missing)
	if len(list) == 0 {
		return true
	}
	a.open, a.askedAt = 0, now
	var longest time.Duration
	for h := first; len(list) > 0 && h != nil; h = e.nextHelper(now, s, h) {
		n := min(len(list), mostAsked)
		longest = max(longest, e.ask(now, s, h, list[:n], missing))
		list = list[n:]
	}
	if s.reserved != nil {
		s.reserved.until = now.Add(longest + reservationMargin)
	}
	return true
}

// nextHelper returns another VM for a further question about a step, or nil. Only a
// gang's tickets are needed all at once, and only VMs that are idle are used.
func (e *Engine) nextHelper(now time.Time, s *step, last *helper) *helper {
	if !s.Gang || e.opts.Policy.OneQuestion || s.advice.open >= questionsPerStep {
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
	cost := s.job.Queue.Advice.Decide + time.Duration(len(list))*s.job.Queue.Advice.Each
	h.questions++
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	h.freeAt = h.freeAt.Add(cost)
	s.advice.open++
	e.counters.Asks++
	e.log("advice asked", "step", s.id, "helper", h.name, "workers", len(list), "missing", missing,
		"known-good", len(s.advice.good), "reserved", s.reserved != nil, "cost", cost)
	e.emit(Ask{Step: s.id, Helper: h.name, Workers: names(list), Cost: cost})
	return h.freeAt.Sub(now)
}

// workersToAsk returns the workers to name in questions: known good ones with room
// now, where they are enough, or else ones that were not asked yet.
func (e *Engine) workersToAsk(p *pass, s *step, missing int) []candidate {
	a := &s.advice
	var good, fresh []candidate
	for _, w := range p.open {
		if !s.suits(w) || a.bad[w.ID] || a.allows(p.now, w.ID) {
			continue
		}
		c := candidate{worker: w, room: w.freeFor(s), fits: s.fits(w, missing)}
		switch {
		case !a.good[w.ID]:
			fresh = append(fresh, c)
		case c.fits > 0:
			good = append(good, c)
		}
	}
	needed := missing
	if !s.Gang {
		needed = 1
	}
	if len(good) > 0 && totalFits(good)+e.ticketedFits(p, s, missing) >= needed {
		return e.knownToAsk(p, s, good, missing)
	}
	return e.freshToAsk(s, fresh, missing)
}

// knownToAsk picks workers that are known to be good. For a gang their room is kept
// until the answer is there.
func (e *Engine) knownToAsk(p *pass, s *step, good []candidate, missing int) []candidate {
	if !s.Gang || e.opts.Policy.NoReservations {
		return roomiest(good, spareRoom*float64(missing), 1, len(good))
	}
	list := roomiest(good, reservedRoom*float64(missing), 1, len(good))
	e.reserve(s, slices.Concat(list, e.candidates(p.unheld(), s, missing)), p.now)
	return list
}

// ticketedFits returns how many tasks fit where tickets hold.
func (e *Engine) ticketedFits(p *pass, s *step, limit int) int {
	return totalFits(e.candidates(p.unheld(), s, limit))
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
	lead := advice.Decide + advice.Decide/2 + askAheadSlack
	for _, before := range s.After {
		b := s.occ.steps[before]
		if b.left > 0 && (len(b.waiting()) > 0 || e.leftOfStep(now, b) > lead) {
			return false
		}
	}
	return true
}

// freshToAsk picks workers that were not asked yet.
func (e *Engine) freshToAsk(s *step, fresh []candidate, missing int) []candidate {
	advice := s.job.Queue.Advice
	most := mostAsked
	if advice.Each > 0 && !s.Gang {
		// Naming workers should not take longer than half of the decision.
		most = max(fewestAsked, int(advice.Decide/(2*advice.Each)))
	}
	room := spareRoom
	if s.Gang {
		// A gang needs all its room at once, and asking again costs a whole decision.
		room = gangSpareRoom
	}
	wanted := room * float64(missing) / max(e.statsOf(s.job.Queue.Name).goodShare, 0.05)
	if s.Gang && !e.opts.Policy.OneQuestion {
		return roomiest(fresh, wanted, fewestAsked, questionsPerStep*mostAsked)
	}
	return roomiest(fresh, wanted, fewestAsked, min(most, mostAsked))
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
	e.log("advice answered", "step", ev.Step, "helper", ev.Helper, "asked", len(ev.Asked), "good", len(ev.Tickets),
		"failed", ev.Failed, "overloaded", ev.Overloaded, "took", now.Sub(a.askedAt))
	if ev.Failed {
		a.askAfter = now.Add(askAgainAfter)
		return
	}
	good, fresh := a.learn(now, ev)
	if fresh > 0 {
		stats := e.statsOf(s.job.Queue.Name)
		stats.goodShare += goodShareWeight * (float64(good)/float64(fresh) - stats.goodShare)
	}
}

// learn takes in which workers are good and their tickets. It returns how many
// of the workers that it had not heard of are good, and how many there were.
func (a *stepAdvice) learn(now time.Time, ev AdviceAnswered) (good, fresh int) {
	if a.good == nil {
		a.good, a.bad, a.tickets = make(map[string]bool), make(map[string]bool), make(map[string]heldTicket)
	}
	before := len(a.good) + len(a.bad)
	goodBefore := len(a.good)
	for _, ticket := range ev.Tickets {
		a.good[ticket.Worker] = true
		a.lastTicket = now.Add(ev.Valid)
		a.tickets[ticket.Worker] = heldTicket{value: ticket.Value, until: a.lastTicket}
	}
	for _, id := range ev.Asked {
		if !a.good[id] {
			a.bad[id] = true
		}
	}
	return len(a.good) - goodBefore, len(a.good) + len(a.bad) - before
}
