package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// The load that preemption answers: a fleet that is nearly full, gangs of a hundred tasks
// that need all their room at once, and work of less urgent queues that saves its
// progress and could still end in time if it went on later. Such work is stopped for a
// gang while the adviser is asked about the workers, so that room and tickets are there
// together. Letting workers run empty for a gang instead cost more than the gang won.

const (
	// preemptAfter is how long a gang looks for room among what is free before work is
	// stopped for it.
	preemptAfter = 300 * time.Millisecond
	// preemptSlack is how much later than predicted work that is stopped must be able to
	// end: it waits for a stop, tickets and room, and runs on from its checkpoint.
	preemptSlack = 3 * time.Second
	// preemptsPerTask bounds how often a task is stopped for others, and preemptsPerStep
	// how often work is stopped for a gang.
	preemptsPerTask = 2
	preemptsPerStep = 3
	// preemptShare is the part of the processors that may be kept for gangs whose room
	// is being made.
	preemptShare = 0.1
)

// eviction is a worker on which runs are to be stopped for a step.
type eviction struct {
	candidate
	// ready is how many tasks have room without that, once the question is answered.
	ready int
	runs  []*run
	// cost is how many millicores are stopped for each task that they make room for.
	cost float64
}

// evict stops work for a gang that finds too little room on workers that are known to be
// good, and keeps the room. It returns these workers, or nil if that does not make enough.
func (e *Engine) evict(p *pass, s *step, missing int) []candidate {
	if !e.mayEvict(p, s, missing) {
		return nil
	}
	advice := s.job.Queue.Advice
	horizon := max(e.opts.StopTime, advice.RequestTime+time.Duration(min(len(s.advice.good), mostAsked))*advice.PerWorkerTime)
	var options []eviction
	ready := 0
	for _, w := range s.advice.good {
		if !p.isOpen(w) || p.heldForOthers(w, s) || !s.suits(w) {
			continue
		}
		if o := e.evictionOn(p.now, s, w, missing, horizon); o.fits > 0 {
			options = append(options, o)
			ready += o.ready
		}
	}
	chosen, ok := chooseEvictions(options, missing-ready)
	if !ok {
		return nil
	}
	e.carryOutEvictions(p.now, s, chosen, missing)
	list := make([]candidate, 0, len(chosen))
	for _, o := range chosen {
		list = append(list, o.candidate)
	}
	e.reserve(s, list, p.now.Add(horizon))
	return slices.DeleteFunc(list, func(c candidate) bool { return s.advice.allows(p.now.Add(horizon), c.worker) })
}

// mayEvict reports whether work may be stopped for a step now.
func (e *Engine) mayEvict(p *pass, s *step, missing int) bool {
	if e.opts.Policy.NoPreemption || !s.Gang || s.SameRack || s.rank != onTime || s.evictions >= preemptsPerStep ||
		s.waitingSince.IsZero() || p.now.Sub(s.waitingSince) < preemptAfter {
		return false
	}
	kept := s.room().Millicores * int64(missing)
	for _, other := range e.reserving {
		if other.reserved != nil {
			kept += other.room().Millicores * int64(other.left)
		}
	}
	return float64(kept) <= preemptShare*float64(p.capacity) || kept == s.room().Millicores*int64(missing)
}

// evictionOn returns what a worker can give a step: what has room after a horizon, and
// what stopping some of its runs adds.
func (e *Engine) evictionOn(now time.Time, s *step, w *worker, limit int, horizon time.Duration) eviction {
	room := w.freeFor(s)
	var victims []*run
	for _, r := range w.runs {
		switch {
		case r.owner == nil:
		case r.phase == stopping || r.remaining(now, e.predict(r.owner.step)) <= horizon/2:
			room = ledger.Sum(room, r.each)
		case e.evictable(now, s, r):
			victims = append(victims, r)
		}
	}
	o := eviction{candidate: candidate{worker: w, room: room}, ready: ledger.FitCount(s.room(), room, limit)}
	o.fits = o.ready
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.each.Millicores, a.each.Millicores), compareRuns(a.runKey, b.runKey))
	})
	var stopped int64
	for i, r := range victims {
		room = ledger.Sum(room, r.each)
		stopped += r.each.Millicores
		if fits := ledger.FitCount(s.room(), room, limit); fits > o.fits {
			o.fits, o.runs = fits, victims[:i+1]
			o.cost = float64(stopped) / float64(fits-o.ready)
		}
	}
	return o
}

// evictable reports whether a run may be stopped for a step: work of a less urgent queue
// that saves its progress and can still end in time afterwards.
func (e *Engine) evictable(now time.Time, s *step, r *run) bool {
	other := r.owner.step
	if r.phase != present || other.Gang || other.Service || !other.SavesCheckpoints || r.owner.evictions >= preemptsPerTask ||
		other.job.Queue.Priority <= s.job.Queue.Priority || other.job.final() {
		return false
	}
	return !e.endsAt(now, other.occ, other.job).Add(preemptSlack).After(other.job.deadline)
}

// roomWithEvictions returns the room that a worker would have for a step if what may be
// stopped for it were, without saying that it may be now.
func (e *Engine) roomWithEvictions(p *pass, s *step, w *worker) roster.Resources {
	room := w.freeFor(s)
	if e.opts.Policy.NoPreemption {
		return room
	}
	return ledger.Sum(room, e.evictableRoom(p, s, w))
}

// evictableRoom returns what runs take that may be stopped for steps of a priority. It is
// found out once in a pass.
func (e *Engine) evictableRoom(p *pass, s *step, w *worker) roster.Resources {
	known := &w.evictable
	if known.pass == p.number && known.priority == s.job.Queue.Priority {
		return known.room
	}
	*known = evictableRoom{pass: p.number, priority: s.job.Queue.Priority}
	for _, r := range w.runs {
		if r.phase == stopping || r.owner != nil && e.evictable(p.now, s, r) {
			known.room = ledger.Sum(known.room, r.each)
		}
	}
	return known.room
}

// evictableRoom is what may be stopped on a worker, as of a pass.
type evictableRoom struct {
	pass     int64
	priority int
	room     roster.Resources
}

// chooseEvictions returns the workers that give a step its room: all that have some
// anyway, and of the others those where the least is stopped, until the shortfall is made
// good. It reports false if it cannot be.
func chooseEvictions(options []eviction, shortfall int) ([]eviction, bool) {
	slices.SortFunc(options, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	chosen := make([]eviction, 0, len(options))
	for _, o := range options {
		switch {
		case len(o.runs) > 0 && shortfall > 0:
			shortfall -= o.fits - o.ready
		case o.ready > 0:
			o.fits, o.runs = o.ready, nil
		default:
			continue
		}
		chosen = append(chosen, o)
	}
	return chosen, shortfall <= 0
}

// carryOutEvictions stops the runs.
func (e *Engine) carryOutEvictions(now time.Time, s *step, chosen []eviction, missing int) {
	s.evictions++
	count := 0
	for _, o := range chosen {
		for _, r := range o.runs {
			r.owner.evictions++
			e.log("run stopped for another", "task", r.task, "run", r.run, "worker", r.worker.ID, "percent", r.percent, "for", s.id)
			e.stop(now, r)
			count++
		}
	}
	e.log("room made", "step", s.id, "missing", missing, "workers", len(chosen), "stopped", count, "waited", now.Sub(s.waitingSince))
}
