package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// candidate is a worker that may get tasks of a step. fits is the number of tasks that fit.
type candidate struct {
	worker     *worker
	free       roster.Resources
	fits       int
	onDataRack bool
	// slowness ranks the worker's kind by the predicted duration; 0 is the quickest, or nothing is
	// known.
	slowness int
	// caution ranks the worker's health for the step; 0 is without reservation.
	caution int
}

// candidates returns the workers that can get tasks of the step now, the best first.
func (e *Engine) candidates(p *pass, s *step, limit int) []candidate {
	now := p.now
	if s.job.Queue.Advice != nil && !s.advice.hasTicket(now) {
		return nil
	}
	isolatedGang := s.Gang && s.tasks[0].isolated()
	var list []candidate
	consider := func(w *worker) {
		if p.dedicated[w] != nil || !s.mayRunOn(w) || isolatedGang && !w.vacantFor(now, s) {
			return
		}
		if fits := s.fits(w, limit); fits > 0 {
			list = append(list, candidate{worker: w, free: w.freeFor(s), fits: fits, onDataRack: s.DataRack == "" || w.Rack == s.DataRack, caution: e.caution(now, s, w)})
		}
	}
	if s.job.Queue.Advice == nil {
		for _, w := range p.open {
			consider(w)
		}
	}
	for i := range s.advice.permittedWorkers {
		if permitted := &s.advice.permittedWorkers[i]; permitted.ticket.usable(now) && p.isOpen(permitted.worker) {
			consider(permitted.worker)
		}
	}
	e.rankKinds(s, list)
	slices.SortFunc(list, compareCandidates)
	return list
}

// The ranks of a worker's health for a step.
const (
	// cautionProbe is for a worker on probation that should get a task.
	cautionProbe = -1
	// cautionAvoid is for a worker that is used if there is no other.
	cautionAvoid = 1
)

// caution ranks a worker by its health. Gangs avoid suspicious workers, since one member that fails
// wastes the work of all. A worker on probation gets tasks that are not urgent first, and urgent ones if
// it has waited for long.
func (e *Engine) caution(now time.Time, s *step, w *worker) int {
	switch {
	case e.health != HealthGraded:
		return 0
	case s.Gang && w.grade.suspicious(now):
		return cautionAvoid
	case w.restriction != onProbation:
		return 0
	case s.job.Queue.Priority > e.firstPriority || now.Sub(w.grade.changedAt) > probeAnyAfter:
		return cautionProbe
	default:
		return cautionAvoid
	}
}

// compareCandidates prefers workers that are sound, then those that are not slow, then the rack of the
// data, then the kind of worker that is quickest, then the worker with the least free capacity, to keep
// capacity together for wide gangs.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.caution, b.caution),
		compareFirst(!a.worker.slowdown.excessive(), !b.worker.slowdown.excessive()),
		compareFirst(a.onDataRack, b.onDataRack),
		cmp.Compare(a.slowness, b.slowness),
		cmp.Compare(a.free.Millicores, b.free.Millicores),
		cmp.Compare(a.worker.ID, b.worker.ID),
	)
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// mayRunOn reports whether tasks of the step may run on a worker, apart from capacity and advice.
func (s *step) mayRunOn(w *worker) bool {
	return w.Service == s.job.Queue.Service && w.hasLabel(s.RequiredLabel) && !w.interferesWith(s) && w.admits(s) &&
		(w.keptFor == nil || w.keptFor.step == s)
}

// interferesWith reports whether tasks of the step must not share the worker with its current
// runs: fillers slow down tasks that serve users under a latency objective, by amounts that are
// not known in advance.
func (w *worker) interferesWith(s *step) bool {
	if !s.Filler && s.TailLatencyTarget == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.owner == nil {
			continue
		}
		other := r.owner.step
		if s.Filler && other.TailLatencyTarget > 0 || s.TailLatencyTarget > 0 && other.Filler {
			return true
		}
	}
	return false
}

// fits returns how many more tasks of the step fit on the worker, at most limit.
func (s *step) fits(w *worker, limit int) int {
	n := ledger.FitCount(s.demand(), w.freeFor(s), w.healthRoom(limit))
	if s.MaxPerWorker <= 0 || n == 0 {
		return n
	}
	present := 0
	for _, r := range w.runs {
		if r.task.StepID == s.id {
			present++
		}
	}
	return min(n, max(0, s.MaxPerWorker-present))
}

// place starts as many of the tasks as possible and returns how many it started.
func (e *Engine) place(p *pass, s *step, tasks []*task) int {
	list := e.candidates(p, s, len(tasks))
	if s.SameRack {
		list = preferOneRack(list, len(tasks))
	}
	if s.Gang && totalFits(list) < len(tasks) {
		return 0
	}
	number := e.nextRun(s)
	started := make([]*task, 0, len(tasks))
	full := false
	for _, t := range tasks {
		isolated := t.isolated()
		if full && !isolated {
			continue
		}
		c := e.pickCandidate(p, list, t)
		switch {
		case c != nil:
			c.fits--
			e.start(p.now, t, c.worker, number)
			started = append(started, t)
			if isolated {
				e.keep(c.worker, t)
			}
		case isolated:
			e.keepWorkerFor(p, t)
		default:
			full = true
		}
	}
	if len(started) > 0 {
		s.lastRun = number
		e.releaseReservation(s)
		e.logStarts(p.now, s, started, number)
	}
	return len(started)
}

// pickCandidate returns the first candidate with free capacity that the task may use and does not
// avoid, or otherwise any that it may use.
func (e *Engine) pickCandidate(p *pass, list []candidate, t *task) *candidate {
	var fallback *candidate
	for i := range list {
		c := &list[i]
		if c.fits == 0 || !e.mayHost(p, c.worker, t) {
			continue
		}
		if !slices.Contains(t.avoid, c.worker.ID) {
			return c
		}
		fallback = c
	}
	return fallback
}

func totalFits(list []candidate) int {
	total := 0
	for _, c := range list {
		total += c.fits
	}
	return total
}

// preferOneRack returns the candidates of one rack if all tasks fit there, otherwise all
// candidates.
func preferOneRack(list []candidate, count int) []candidate {
	fitsByRack := make(map[string]int)
	for _, c := range list {
		fitsByRack[c.worker.Rack] += c.fits
	}
	for _, c := range list {
		if fitsByRack[c.worker.Rack] >= count {
			rack := c.worker.Rack
			return slices.DeleteFunc(list, func(c candidate) bool { return c.worker.Rack != rack })
		}
	}
	return list
}
