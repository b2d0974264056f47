package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// schedule makes one pass over all steps that have tasks to start.
func (e *Engine) schedule(now time.Time) {
	e.releaseHelpers(now)
	pass := &pass{now: now, full: make(map[string]bool), ticketed: make(map[string]int), held: make(map[string]*step)}
	for _, s := range e.readySteps(now) {
		e.scheduleStep(pass, s)
	}
	e.askAhead(pass)
}

// pass is what one pass over the steps has found out.
type pass struct {
	now time.Time
	// full are the queues for which no VM is free to ask the adviser.
	full map[string]bool
	// ticketed counts the steps of a queue that hold tickets and wait for room.
	ticketed map[string]int
	// held are the workers whose room is kept for a gang.
	held map[string]*step
}

func (e *Engine) scheduleStep(p *pass, s *step) {
	tasks := s.waiting()
	if len(tasks) == 0 {
		return
	}
	if s.Gang && len(tasks) < s.left {
		return // members of the last run are not all gone yet
	}
	missing := len(tasks) - e.place(p, s, tasks)
	if missing == 0 {
		return
	}
	if s.Gang {
		e.holdRoom(p, s, missing)
	}
	queue := s.job.Queue.Name
	if s.job.Queue.Advice == nil || p.full[queue] {
		return
	}
	if s.advice.anyTicket(p.now) {
		p.ticketed[queue]++
		if p.ticketed[queue] >= liveTickets {
			p.full[queue] = true
		}
	}
	if !e.requestAdvice(p.now, s, missing) {
		p.full[queue] = true
	}
}

// heldShare is the part of the workers whose room may be kept for gangs. The first
// gang in the order may have more: it would wait for good otherwise.
const heldShare = 0.5

// holdRoom keeps the room of workers for a gang that has to wait for it: those
// that may run it and have the most room, until they would take all of it if
// they were empty. Steps after it in the order get nothing there, or small ones
// would keep a wide gang waiting for good.
func (e *Engine) holdRoom(p *pass, s *step, missing int) {
	if s.job.Queue.Advice != nil && len(s.advice.good) == 0 || s.rank == hopeless {
		return
	}
	var list []candidate
	for _, w := range e.order {
		if p.held[w.ID] != nil || !e.suits(p.now, s, w) || s.job.Queue.Advice != nil && !s.advice.good[w.ID] {
			continue
		}
		list = append(list, candidate{worker: w, room: w.free(), fits: ledger.Count(s.room(), w.Capacity, missing)})
	}
	limit := int(heldShare * float64(len(e.order)))
	if len(p.held) == 0 {
		limit = len(e.order)
	}
	for _, c := range roomiest(list, float64(missing), 1, len(list)) {
		if len(p.held) >= limit {
			return
		}
		p.held[c.worker.ID] = s
	}
}

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
	for _, w := range e.order {
		if s.job.Queue.Advice != nil && !s.advice.allows(now, w.ID) {
			continue
		}
		if !e.suits(now, s, w) || !e.onRecord(w.ID) || p.held[w.ID] != nil {
			continue
		}
		fits := s.fits(w, limit)
		if fits > 0 {
			list = append(list, candidate{worker: w, room: w.free(), fits: fits, near: s.DataRack == "" || w.Rack == s.DataRack})
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

// suits reports whether a worker may ever run tasks of the step, as it is now.
func (e *Engine) suits(now time.Time, s *step, w *worker) bool {
	return w.usable(now) && w.Service == s.job.Queue.Service && w.hasLabel(s.Label) && !w.health.quarantined(now) && !w.disturbs(s)
}

// disturbs reports whether tasks of the step must not share a worker with what
// runs there: fillers slow down tasks that serve users under a latency objective,
// by amounts that nobody knows before.
func (w *worker) disturbs(s *step) bool {
	if !s.Filler && s.TailTarget == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.owner == nil {
			continue
		}
		other := r.owner.step
		if s.Filler && other.TailTarget > 0 || s.TailTarget > 0 && other.Filler {
			return true
		}
	}
	return false
}

// fits returns how many more tasks of the step the worker takes, at most limit.
func (s *step) fits(w *worker, limit int) int {
	n := ledger.Count(s.room(), w.free(), limit)
	if s.PerWorker <= 0 || n == 0 {
		return n
	}
	present := 0
	for _, r := range w.runs {
		if r.task.StepID == s.id {
			present++
		}
	}
	return min(n, max(0, s.PerWorker-present))
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

// runsPerEpoch leaves each leader run numbers of its own, so that none repeats
// one that it has not heard of.
const runsPerEpoch = 1000

// nextRun returns a run number that no task of the step has had.
func (e *Engine) nextRun(s *step) int {
	return max(s.lastRun, int(e.opts.Epoch-1)*runsPerEpoch) + 1
}

// start orders a run.
func (e *Engine) start(now time.Time, t *task, w *worker, number int) {
	s := t.step
	r := &run{
		runKey: runKey{t.id, number}, worker: w, each: s.room(), owner: t,
		phase: starting, fence: e.fence(w), since: now, orderedAt: now, movedAt: now,
	}
	w.add(r)
	t.run = r
	t.startedAt = now
	e.counters.Starts++
	ticket := s.advice.tickets[w.ID].value
	checkpoint := t.saved
	if s.Gang {
		checkpoint = s.gangCheckpoint()
	}
	r.resumed = checkpoint != ""
	e.log("run started", "task", t.id, "run", number, "worker", w.ID, "seen-before", now.Sub(w.lastSeen),
		"free-millicores", w.free().Millicores, "waited", now.Sub(s.job.Arrived), "late-by", now.Sub(s.job.deadline), "saved", checkpoint)
	e.emit(Start{
		Target: w.target(), Task: t.id, Run: number, Spec: s.job.Spec, Until: e.lease(now, w),
		Fence: r.fence, Ticket: ticket, Checkpoint: checkpoint,
	})
}

// gangCheckpoint returns the newest checkpoint of any member: all of a gang's
// tasks must start from the same one.
func (s *step) gangCheckpoint() string {
	newest := ""
	for _, t := range s.tasks {
		newest = max(newest, t.saved)
	}
	return newest
}

// startAnswered settles what is known of a start.
func (e *Engine) startAnswered(now time.Time, ev StartAnswered) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{ev.Task, ev.Run}]
	if ev.Outcome != StartAccepted {
		e.log("start answered", "task", ev.Task, "run", ev.Run, "worker", ev.Worker, "outcome", ev.Outcome)
	}
	if r == nil {
		return
	}
	if ev.Outcome == StartFenced && r.fence == e.fence(w) {
		e.supersede("start", ev.Worker)
	}
	switch ev.Outcome {
	case StartUnknown:
		e.counters.Unknown++
		if e.opts.unsafe.forgetUnanswered {
			e.startRefused(now, r, ev.Outcome)
			return
		}
		if r.phase == starting {
			r.phase, r.since = doubtful, now
		}
	case StartAccepted:
		r.arrive()
		if r.phase == starting {
			r.phase, r.since = present, now
		}
	default:
		e.startRefused(now, r, ev.Outcome)
	}
}

// startRefused takes in that a start did nothing.
func (e *Engine) startRefused(now time.Time, r *run, outcome StartOutcome) {
	w, t := r.worker, r.owner
	switch outcome {
	case StartNoTicket:
		e.counters.NoTicket++
		if t != nil {
			delete(t.step.advice.tickets, w.ID)
		}
	case StartNoRoom:
		e.counters.NoRoom++
	case StartUnhealthy:
		w.health.until = now.Add(firstQuarantine)
	}
	w.remove(r)
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.step.lastRun = max(t.step.lastRun, r.run)
	if t.step.Gang {
		e.stopAll(now, t.step)
	}
}

// stopAnswered settles what is known of a stop.
func (e *Engine) stopAnswered(now time.Time, ev StopAnswered) {
	w := e.workers[ev.Worker]
	if w == nil || !ev.Confirmed {
		return
	}
	if r := w.runs[runKey{ev.Task, ev.Run}]; r != nil && r.phase == stopping {
		r.stoppedAt = now
	}
}
