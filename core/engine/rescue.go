package engine

import (
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
	if !known || !e.slowFor(r, whole, predicted) {
		return ""
	}
	fresh := predicted
	if reference, any := s.peerDuration(r.worker); any {
		fresh = reference
	}
	if s.Checkpoints && r.owner.saved != "" {
		fresh = fresh * time.Duration(100-r.percent) / 100
	}
	if float64(r.remaining(now, predicted)) > rescueGain*float64(fresh+e.opts.StopTime/2) {
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
func (e *Engine) slowFor(r *run, whole, predicted time.Duration) bool {
	if reference, any := r.owner.step.peerDuration(r.worker); any {
		return float64(whole) > slowPace*float64(reference)
	}
	return float64(whole) > slowPace*float64(predicted) && e.slowNow(r.worker)
}

// peerDuration returns how long the step's tasks take on other workers.
func (s *step) peerDuration(except *worker) (time.Duration, bool) {
	var list []time.Duration
	for _, t := range s.tasks {
		if t.done && t.took > 0 && t.tookOn != except {
			list = append(list, t.took)
		}
		if t.run != nil && t.run.worker != except && t.run.phase == present {
			if whole, known := t.run.whole(); known {
				list = append(list, whole)
			}
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/2], true
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
