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
	maxPreemptionsPerTask = 2
	maxPreemptionsPerStep = 3
	// preemptShare is the part of the processors that may be kept for gangs whose room
	// is being made.
	maxReservedShare = 0.1
)

// eviction is a worker on which runs are to be stopped for a step.
type eviction struct {
	candidate
	// ready is how many tasks have room without that, once the question is answered.
	fitsWithout int
	runs        []*run
	// cost is how many millicores are stopped for each task that they make room for.
	cost float64
}

// evict stops work for a gang that finds too little room on workers that are known to be
// good, and keeps the room. It returns these workers, or nil if that does not make enough.
func (e *Engine) evict(p *pass, s *step, missing int) []candidate {
	if !e.mayEvictFor(p, s, missing) {
		return nil
	}
	advice := s.job.Queue.Advice
	horizon := max(e.opts.StopTime, advice.Decide+time.Duration(min(len(s.advice.good), maxWorkersPerRequest))*advice.Each)
	var options []eviction
	ready := 0
	for _, w := range s.advice.good {
		if !p.isOpen(w) || p.dedicatedToOther(w, s) || !s.mayRunOn(w) {
			continue
		}
		if o := e.planEviction(p.now, s, w, missing, horizon); o.fits > 0 {
			options = append(options, o)
			ready += o.fitsWithout
		}
	}
	chosen, ok := chooseEvictions(options, missing-ready)
	if !ok {
		return nil
	}
	e.executeEvictions(p.now, s, chosen, missing)
	list := make([]candidate, 0, len(chosen))
	for _, o := range chosen {
		list = append(list, o.candidate)
	}
	e.reserveCapacity(s, list, p.now.Add(horizon))
	return slices.DeleteFunc(list, func(c candidate) bool { return s.advice.hasTicketFor(p.now.Add(horizon), c.worker) })
}

// mayEvict reports whether work may be stopped for a step now.
func (e *Engine) mayEvictFor(p *pass, s *step, missing int) bool {
	if e.opts.Policy.NoPreemption || !s.Gang || s.SameRack || s.rank != onTime || s.evictions >= maxPreemptionsPerStep ||
		s.waitingSince.IsZero() || p.now.Sub(s.waitingSince) < preemptAfter {
		return false
	}
	kept := s.demand().Millicores * int64(missing)
	for _, other := range e.reservingSteps {
		if other.reservation != nil {
			kept += other.demand().Millicores * int64(other.tasksLeft)
		}
	}
	return float64(kept) <= maxReservedShare*float64(p.capacity) || kept == s.demand().Millicores*int64(missing)
}

// evictionOn returns what a worker can give a step: what has room after a horizon, and
// what stopping some of its runs adds.
func (e *Engine) planEviction(now time.Time, s *step, w *worker, limit int, horizon time.Duration) eviction {
	room := w.freeFor(s)
	var victims []*run
	for _, r := range w.runs {
		switch {
		case r.owner == nil:
		case r.phase == stopping || r.remaining(now, e.predict(r.owner.step)) <= horizon/2:
			room = ledger.Sum(room, r.demand)
		case e.evictable(now, s, r):
			victims = append(victims, r)
		}
	}
	o := eviction{candidate: candidate{worker: w, free: room}, fitsWithout: ledger.Count(s.demand(), room, limit)}
	o.fits = o.fitsWithout
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.demand.Millicores, a.demand.Millicores), compareRuns(a.runKey, b.runKey))
	})
	var stopped int64
	for i, r := range victims {
		room = ledger.Sum(room, r.demand)
		stopped += r.demand.Millicores
		if fits := ledger.Count(s.demand(), room, limit); fits > o.fits {
			o.fits, o.runs = fits, victims[:i+1]
			o.cost = float64(stopped) / float64(fits-o.fitsWithout)
		}
	}
	return o
}

// evictable reports whether a run may be stopped for a step: work of a less urgent queue
// that saves its progress and can still end in time afterwards.
func (e *Engine) evictable(now time.Time, s *step, r *run) bool {
	other := r.owner.step
	if r.phase != confirmed || other.Gang || other.Service || !other.Checkpoints || r.owner.evictions >= maxPreemptionsPerTask ||
		other.job.Queue.Priority <= s.job.Queue.Priority || other.job.final() {
		return false
	}
	return !e.endsAt(now, other.occ, other.job).Add(preemptSlack).After(other.job.deadline)
}

// roomWithEvictions returns the room that a worker would have for a step if what may be
// stopped for it were, without saying that it may be now.
func (e *Engine) capacityWithEvictions(p *pass, s *step, w *worker) roster.Resources {
	room := w.freeFor(s)
	if e.opts.Policy.NoPreemption {
		return room
	}
	return ledger.Sum(room, e.evictableCapacity(p, s, w))
}

// evictableRoom returns what runs take that may be stopped for steps of a priority. It is
// found out once in a pass.
func (e *Engine) evictableCapacity(p *pass, s *step, w *worker) roster.Resources {
	known := &w.evictable
	if known.pass == p.number && known.priority == s.job.Queue.Priority {
		return known.capacity
	}
	*known = evictableCapacity{pass: p.number, priority: s.job.Queue.Priority}
	for _, r := range w.runs {
		if r.phase == stopping || r.owner != nil && e.evictable(p.now, s, r) {
			known.capacity = ledger.Sum(known.capacity, r.demand)
		}
	}
	return known.capacity
}

// evictableRoom is what may be stopped on a worker, as of a pass.
type evictableCapacity struct {
	pass     int64
	priority int
	capacity roster.Resources
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
			shortfall -= o.fits - o.fitsWithout
		case o.fitsWithout > 0:
			o.fits, o.runs = o.fitsWithout, nil
		default:
			continue
		}
		chosen = append(chosen, o)
	}
	return chosen, shortfall <= 0
}

// carryOutEvictions stops the runs.
func (e *Engine) executeEvictions(now time.Time, s *step, chosen []eviction, missing int) {
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
