package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Preemption serves gangs of a hundred tasks that need all their capacity at once on a fleet that
// is nearly full, together with work of less urgent queues that saves its progress and could
// still end in time if it continued later. Such work is stopped for a gang while the adviser is
// asked about the workers, so that capacity and tickets are available together. Keeping workers
// free for a gang instead cost more than the gang gained.

const (
	// preemptAfter is the time for which a gang looks for free capacity before work is stopped
	// for it.
	preemptAfter = 300 * time.Millisecond
	// preemptSlack is the margin that stopped work must have before its deadline: it waits for
	// the stop, tickets and capacity, and continues from its checkpoint.
	preemptSlack = 3 * time.Second
	// maxPreemptionsPerTask bounds how often a task is stopped in favor of others, and
	// maxPreemptionsPerStep how often work is stopped for a gang.
	maxPreemptionsPerTask = 2
	maxPreemptionsPerStep = 3
	// maxReservedShare is the share of the processors that may be reserved for gangs for which
	// work is being stopped. A gang may exceed it if nothing is reserved for others.
	maxReservedShare = 0.1
)

// eviction is a worker with the runs to stop there for a step. The candidate's fits counts the
// tasks that fit once these runs have ended.
type eviction struct {
	candidate
	// fitsWithout is the number of tasks that fit without stopping runs, by the time the answer
	// arrives.
	fitsWithout int
	runs        []*run
	// cost is the stopped processor capacity for each additional task that fits, in millicores.
	cost float64
}

// evict stops work for a gang that finds too little capacity, on workers that the adviser
// permits, and reserves the capacity. It returns those of the workers that need a new ticket, or
// nil if the gang would still not fit.
func (e *Engine) evict(p *pass, s *step, missing int) []candidate {
	if !e.mayEvictFor(p, s, missing) {
		return nil
	}
	advice := s.job.Queue.Advice
	horizon := max(e.opts.StopTime, advice.RequestTime+time.Duration(min(len(s.advice.permittedWorkers), maxWorkersPerRequest))*advice.PerWorkerTime)
	var options []eviction
	fitsWithout := 0
	for i := range s.advice.permittedWorkers {
		w := s.advice.permittedWorkers[i].worker
		if !p.isOpen(w) || p.dedicatedToOther(w, s) || !s.mayRunOn(w) {
			continue
		}
		if o := e.planEviction(p.now, s, w, missing, horizon); o.fits > 0 {
			options = append(options, o)
			fitsWithout += o.fitsWithout
		}
	}
	chosen, ok := chooseEvictions(options, missing-fitsWithout)
	if !ok {
		return nil
	}
	e.executeEvictions(p.now, s, chosen, missing)
	list := make([]candidate, 0, len(chosen))
	for _, o := range chosen {
		list = append(list, o.candidate)
	}
	e.reserveCapacity(s, list, p.now.Add(horizon))
	return slices.DeleteFunc(list, func(c candidate) bool { return s.advice.ticketFor(c.worker).usable(p.now.Add(horizon)) })
}

// mayEvictFor reports whether work can be stopped for a step now.
func (e *Engine) mayEvictFor(p *pass, s *step, missing int) bool {
	if e.opts.Policy.NoPreemption || !s.Gang || s.SameRack || s.rank != onTime || s.job.excess || s.evictions >= maxPreemptionsPerStep ||
		s.waitingSince.IsZero() || p.now.Sub(s.waitingSince) < preemptAfter {
		return false
	}
	reserved := s.demand().Millicores * int64(missing)
	for _, other := range e.reservingSteps {
		if other.reservation != nil {
			reserved += other.demand().Millicores * int64(other.tasksLeft)
		}
	}
	return float64(reserved) <= maxReservedShare*float64(p.capacity) || reserved == s.demand().Millicores*int64(missing)
}

// planEviction returns what a worker can offer a step: the tasks that fit once the runs have
// ended that are stopping or need at most half of the horizon, and how many more fit if other
// runs are stopped.
func (e *Engine) planEviction(now time.Time, s *step, w *worker, limit int, horizon time.Duration) eviction {
	free := w.freeFor(s)
	var victims []*run
	for _, r := range w.runs {
		switch {
		case r.owner == nil:
		case r.phase == stopping || r.remaining(now, e.predict(r.owner.step)) <= horizon/2:
			free = ledger.Sum(free, r.demand)
		case e.evictable(now, s, r):
			victims = append(victims, r)
		}
	}
	o := eviction{candidate: candidate{worker: w, free: free}, fitsWithout: ledger.FitCount(s.demand(), free, limit)}
	o.fits = o.fitsWithout
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.demand.Millicores, a.demand.Millicores), compareRuns(a.runKey, b.runKey))
	})
	var stopped int64
	for i, r := range victims {
		free = ledger.Sum(free, r.demand)
		stopped += r.demand.Millicores
		if fits := ledger.FitCount(s.demand(), free, limit); fits > o.fits {
			o.fits, o.runs = fits, victims[:i+1]
			o.cost = float64(stopped) / float64(fits-o.fitsWithout)
		}
	}
	return o
}

// evictable reports whether a run can be stopped for a step. Its work must belong to a less
// urgent queue, save its progress, and still be able to end in time afterwards.
func (e *Engine) evictable(now time.Time, s *step, r *run) bool {
	other := r.owner.step
	if r.phase != confirmed || other.Gang || other.Service || !other.SavesCheckpoints || r.owner.evictions >= maxPreemptionsPerTask ||
		other.job.Queue.Priority <= s.job.Queue.Priority || other.job.final() {
		return false
	}
	return !e.endsAt(now, other.occ, other.job).Add(preemptSlack).After(other.job.deadline)
}

// capacityWithEvictions returns the capacity that a worker would have for a step if everything
// were stopped that could be. It does not check whether work can be stopped for the step now.
func (e *Engine) capacityWithEvictions(p *pass, s *step, w *worker) roster.Resources {
	free := w.freeFor(s)
	if e.opts.Policy.NoPreemption {
		return free
	}
	return ledger.Sum(free, e.evictableCapacity(p, s, w))
}

// mostWithEvictions returns a bound on the processor capacity that capacityWithEvictions returns for a
// worker for the rest of the pass: work that starts only lowers what is free.
func (e *Engine) mostWithEvictions(p *pass, s *step, w *worker) int64 {
	if e.opts.Policy.NoPreemption {
		return w.free().Millicores
	}
	return w.free().Millicores + e.evictableCapacity(p, s, w).Millicores
}

// evictableCapacity returns the capacity used by runs that are stopping or can be stopped for
// steps of the priority of s. It is computed once per pass and priority.
func (e *Engine) evictableCapacity(p *pass, s *step, w *worker) roster.Resources {
	cached := &w.evictable
	if cached.pass == p.number && cached.priority == s.job.Queue.Priority {
		return cached.capacity
	}
	*cached = evictableCapacity{pass: p.number, priority: s.job.Queue.Priority}
	if len(w.runs) == 0 {
		return cached.capacity
	}
	for _, r := range w.runs {
		if r.phase == stopping || r.owner != nil && e.evictable(p.now, s, r) {
			cached.capacity = ledger.Sum(cached.capacity, r.demand)
		}
	}
	return cached.capacity
}

// evictableCapacity is the cached capacity that can be freed on a worker, as of a pass.
type evictableCapacity struct {
	pass     int64
	priority int
	capacity roster.Resources
}

// chooseEvictions returns the workers to use for a step: all those where tasks fit anyway, and of
// the others those with the lowest cost until the shortfall is covered. It reports false if the
// shortfall cannot be covered.
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

// executeEvictions stops the runs of the chosen evictions.
func (e *Engine) executeEvictions(now time.Time, s *step, chosen []eviction, missing int) {
	s.evictions++
	count := 0
	for _, o := range chosen {
		for _, r := range o.runs {
			r.owner.evictions++
			e.log("run preempted", "task", r.task, "run", r.number, "worker", r.worker.ID, "percent", r.percent, "for", s.id)
			e.stopFor(now, r, WastePreempted)
			count++
		}
	}
	e.log("work preempted for a gang", "step", s.id, "missing", missing, "workers", len(chosen), "stopped", count, "waited", now.Sub(s.waitingSince))
}
