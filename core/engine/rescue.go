package engine

import (
	"cmp"
	"slices"
	"time"
)

// The load that rescue answers: workers on which tasks stand still or take many
// times as long, while other workers have room. A run there is stopped, and its
// task starts elsewhere from its last checkpoint.

const (
	// rescueEvery is the time between two looks for runs to move: they are judged by
	// progress over most of a second.
	rescueEvery = 200 * time.Millisecond
	// stalledAfter is how long a run may show no progress, at least; a run that is
	// predicted to take longer shows less of it, so stalledShare of its predicted
	// time is allowed as well.
	stalledAfter = 1500 * time.Millisecond
	stalledShare = 0.15
	// rescueGain is how many times longer the rest of a run must take than the
	// whole task would elsewhere.
	rescueGain = 1.6
	// rescueAge is how old a run must be before its pace is judged.
	rescueAge = 700 * time.Millisecond
	// gangMoveTime is how long a gang that was stopped takes to start again: all of its
	// members must end, and find room and tickets at once (2 s at the median on large
	// quiet-1). A gang that would still end in time is not stopped for one member.
	gangMoveTime = 2 * time.Second
	// rescuesPerTask bounds how often one task is moved.
	rescuesPerTask = 2
)

// rescue stops runs that would be done sooner elsewhere.
func (e *Engine) rescue(now time.Time) {
	for _, w := range e.order {
		if !w.usable(now) && !w.Leaving {
			continue
		}
		for _, r := range w.sortedRuns() {
			if reason := e.lagging(now, r); reason != "" {
				e.moveAway(now, r, reason)
			}
		}
	}
}

// lagging returns why a run should be moved, or nothing.
func (e *Engine) lagging(now time.Time, r *run) string {
	if r.owner == nil || r.phase != present || r.owner.step.Service || r.owner.rescues >= rescuesPerTask || r.percent >= 100 {
		return ""
	}
	s := r.owner.step
	age := now.Sub(r.orderedAt)
	if age < rescueAge {
		return ""
	}
	predicted := e.predict(s)
	still := r.worker.lastSeen.Sub(r.movedAt)
	if still > stalledAfter+time.Duration(stalledShare*float64(predicted)) && now.Sub(r.movedAt) > stalledAfter {
		return "stands still"
	}
	whole, known := r.whole()
	if !known || !e.slowFor(now, r, whole, predicted) {
		return ""
	}
	fresh := predicted
	if reference, any := s.peerDuration(now, r.worker); any {
		fresh = reference
	}
	if s.SavesCheckpoints && r.owner.saved != "" {
		fresh = fresh * time.Duration(100-r.percent) / 100
	}
	fresh += e.opts.StopTime / 2
	if s.Gang {
		if e.rankOf(now, s.occ, s.job) == onTime {
			return ""
		}
		fresh += gangMoveTime
	}
	if float64(r.remaining(now, predicted)) > rescueGain*float64(fresh) {
		return "is slow"
	}
	return ""
}

// whole returns how long all of a run's work takes at its pace so far.
func (r *run) whole() (time.Duration, bool) {
	gained := r.percent - r.startPercent
	if gained < paceMinPercent {
		return 0, false
	}
	return r.movedAt.Sub(r.orderedAt) * 100 / time.Duration(gained), true
}

// slowFor reports whether a run is slow because of its worker: like tasks of its
// step are much quicker elsewhere or, where there are none, several jobs' tasks
// on the worker are slow. A job's tasks are alike, so one job proves nothing.
func (e *Engine) slowFor(now time.Time, r *run, whole, predicted time.Duration) bool {
	if reference, any := r.owner.step.peerDuration(now, r.worker); any {
		return float64(whole) > slowPace*float64(reference)
	}
	return float64(whole) > slowPace*float64(predicted) && e.slowNow(r.worker)
}

// peerDuration returns how long the step's tasks take on other workers: the middle
// one. The durations are gathered once for all runs that are judged at an instant.
func (s *step) peerDuration(now time.Time, except *worker) (time.Duration, bool) {
	if !s.peersAt.Equal(now) {
		s.peersAt, s.peers = now, s.gatherPeers(s.peers[:0])
	}
	others := 0
	for _, p := range s.peers {
		if p.worker != except {
			others++
		}
	}
	middle := others / 2
	for _, p := range s.peers {
		if p.worker == except {
			continue
		}
		if middle == 0 {
			return p.whole, true
		}
		middle--
	}
	return 0, false
}

// peer is how long one of a step's tasks takes, and where.
type peer struct {
	worker *worker
	whole  time.Duration
}

// gatherPeers returns the durations that are known, the shortest first.
func (s *step) gatherPeers(list []peer) []peer {
	for _, t := range s.tasks {
		if t.done && t.took > 0 {
			list = append(list, peer{t.tookOn, t.took})
		}
		if t.run != nil && t.run.phase == present {
			if whole, known := t.run.whole(); known {
				list = append(list, peer{t.run.worker, whole})
			}
		}
	}
	slices.SortFunc(list, func(a, b peer) int { return cmp.Compare(a.whole, b.whole) })
	return list
}

// slowNow reports whether the tasks of several jobs on a worker take much longer
// than predicted.
func (e *Engine) slowNow(w *worker) bool {
	var judged pace
	for _, r := range w.sortedRuns() {
		if r.owner == nil || r.phase != present {
			continue
		}
		if whole, known := r.whole(); known {
			judged.observe(r.task.Job, whole, e.predict(r.owner.step))
		}
	}
	return judged.slow()
}

// moveAway stops a run so that its task starts elsewhere; a gang moves as a whole.
func (e *Engine) moveAway(now time.Time, r *run, reason string) {
	t := r.owner
	e.log("run moved away", "task", r.task, "run", r.run, "worker", r.worker.ID, "why", reason, "percent", r.percent,
		"still-for", now.Sub(r.movedAt), "age", now.Sub(r.orderedAt), "predicted", e.predict(t.step))
	t.rescues++
	t.avoid = append(t.avoid, r.worker.ID)
	r.worker.health.suspect(now)
	e.stop(now, r)
	if t.step.Gang {
		e.stopAll(now, t.step)
	}
}
