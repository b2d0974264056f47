package engine

import (
	"cmp"
	"slices"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// candidate is a worker that may take tasks of a step.
type candidate struct {
	worker *worker
	room   roster.Resources
	fits   int
	near   bool
}

// candidates returns the workers that may take tasks of the step now, those that
// suit it best first.
func (e *Engine) candidates(p *pass, s *step, limit int) []candidate {
	now := p.now
	if s.job.Queue.Advice != nil && !s.advice.anyTicket(now) {
		return nil
	}
	var list []candidate
	consider := func(w *worker) {
		if p.held[w] != nil || !s.suits(w) {
			return
		}
		if fits := s.fits(w, limit); fits > 0 {
			list = append(list, candidate{worker: w, room: w.freeFor(s), fits: fits, near: s.DataRack == "" || w.Rack == s.DataRack})
		}
	}
	if s.job.Queue.Advice == nil {
		for _, w := range p.open {
			consider(w)
		}
	}
	for w, ticket := range s.advice.tickets {
		if p.isOpen(w) && ticket.holds(now) {
			consider(w)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// compareCandidates prefers sound workers, then the data's rack, then the fullest worker, so that
// room stays together for wide gangs.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareFirst(!a.worker.pace.slow(), !b.worker.pace.slow()),
		compareFirst(a.near, b.near),
		cmp.Compare(a.room.Millicores, b.room.Millicores),
		cmp.Compare(a.worker.ID, b.worker.ID),
	)
}

// compareFirst puts what is true first.
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

// suits reports whether a worker that gets work may run tasks of the step, as it is now.
func (s *step) suits(w *worker) bool {
	return w.Service == s.job.Queue.Service && w.hasLabel(s.RequiredLabel) && !w.disturbs(s)
}

// disturbs reports whether tasks of the step must not share a worker with what
// runs there: fillers slow down tasks that serve users under a latency objective,
// by amounts that nobody knows before.
func (w *worker) disturbs(s *step) bool {
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

// fits returns how many more tasks of the step the worker takes, at most limit.
func (s *step) fits(w *worker, limit int) int {
	n := ledger.FitCount(s.room(), w.freeFor(s), limit)
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

// place starts what it can of the tasks and returns how many it started.
func (e *Engine) place(p *pass, s *step, tasks []*task) int {
	list := e.candidates(p, s, len(tasks))
	if s.SameRack {
		list = oneRack(list, len(tasks))
	}
	if s.Gang && totalFits(list) < len(tasks) {
		return 0
	}
	number := e.nextRun(s)
	placed := 0
	for _, t := range tasks {
		c := pick(list, t)
		if c == nil {
			break
		}
		c.fits--
		e.start(p.now, t, c.worker, number)
		placed++
	}
	if placed > 0 {
		s.lastRun = number
		e.unreserve(s)
		e.logStarts(p.now, s, tasks[:placed], number)
	}
	return placed
}

// pick returns the first candidate with room that the task has not failed on, or
// any with room if there is none else.
func pick(list []candidate, t *task) *candidate {
	var other *candidate
	for i := range list {
		c := &list[i]
		if c.fits == 0 {
			continue
		}
		if !slices.Contains(t.avoid, c.worker.ID) {
			return c
		}
		other = c
	}
	return other
}

func totalFits(list []candidate) int {
	total := 0
	for _, c := range list {
		total += c.fits
	}
	return total
}

// oneRack keeps the candidates of a rack that takes all tasks, or else all.
func oneRack(list []candidate, count int) []candidate {
	room := make(map[string]int)
	for _, c := range list {
		room[c.worker.Rack] += c.fits
	}
	for _, c := range list {
		if room[c.worker.Rack] >= count {
			rack := c.worker.Rack
			return slices.DeleteFunc(list, func(c candidate) bool { return c.worker.Rack != rack })
		}
	}
	return list
}
