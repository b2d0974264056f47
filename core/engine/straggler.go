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
	stragglerCheckInterval = 200 * time.Millisecond
	// stalledAfter is how long a run may show no progress, at least; a run that is
	// predicted to take longer shows less of it, so stalledShare of its predicted
	// time is allowed as well.
	stalledAfter = 1500 * time.Millisecond
	stalledShare = 0.15
	// rescueGain is how many times longer the rest of a run must take than the
	// whole task would elsewhere.
	minMoveGain = 1.6
	// rescueAge is how old a run must be before its pace is judged.
	minStragglerAge = 700 * time.Millisecond
	// gangMoveTime is how long a gang that was stopped takes to start again: all of its
	// members must end, and find room and tickets at once (2 s at the median on large
	// quiet-1). A gang that would still end in time is not stopped for one member.
	gangRestartTime = 2 * time.Second
	// rescuesPerTask bounds how often one task is moved.
	maxMovesPerTask = 2
)

// rescue stops runs that would be done sooner elsewhere.
func (e *Engine) moveStragglers(now time.Time) {
	for _, w := range e.sortedWorkers {
		if !w.usable(now) && !w.Leaving {
			continue
		}
		for _, r := range w.sortedRuns() {
			if reason := e.stragglerReason(now, r); reason != "" {
				e.moveAway(now, r, reason)
			}
		}
	}
}

// lagging returns why a run should be moved, or nothing.
func (e *Engine) stragglerReason(now time.Time, r *run) string {
	if r.owner == nil || r.phase != confirmed || r.owner.step.Service || r.owner.moves >= maxMovesPerTask || r.percent >= 100 {
		return ""
	}
	s := r.owner.step
	age := now.Sub(r.startSentAt)
	if age < minStragglerAge {
		return ""
	}
	predicted := e.predict(s)
	still := r.worker.lastSeen.Sub(r.progressAt)
	if still > stalledAfter+time.Duration(stalledShare*float64(predicted)) && now.Sub(r.progressAt) > stalledAfter {
		return "stands still"
	}
	whole, known := r.projectedDuration()
	if !known || !e.slowDueToWorker(now, r, whole, predicted) {
		return ""
	}
	fresh := predicted
	if reference, any := s.medianElsewhere(now, r.worker); any {
		fresh = reference
	}
	if s.Checkpoints && r.owner.checkpoint != "" {
		fresh = fresh * time.Duration(100-r.percent) / 100
	}
	fresh += e.opts.StopTime / 2
	if s.Gang {
		if e.rankOf(now, s.occ, s.job) == onTime {
			return ""
		}
		fresh += gangRestartTime
	}
	if float64(r.remaining(now, predicted)) > minMoveGain*float64(fresh) {
		return "is slow"
	}
	return ""
}

// whole returns how long all of a run's work takes at its pace so far.
func (r *run) projectedDuration() (time.Duration, bool) {
	gained := r.percent - r.startPercent
	if gained < minProgressPercent {
		return 0, false
	}
	return r.progressAt.Sub(r.startSentAt) * 100 / time.Duration(gained), true
}

// slowFor reports whether a run is slow because of its worker: like tasks of its
// step are much quicker elsewhere or, where there are none, several jobs' tasks
// on the worker are slow. A job's tasks are alike, so one job proves nothing.
func (e *Engine) slowDueToWorker(now time.Time, r *run, whole, predicted time.Duration) bool {
	if reference, any := r.owner.step.medianElsewhere(now, r.worker); any {
		return float64(whole) > slowdownLimit*float64(reference)
	}
	return float64(whole) > slowdownLimit*float64(predicted) && e.workerSlow(r.worker)
}

// peerDuration returns how long the step's tasks take on other workers: the middle
// one. The durations are gathered once for all runs that are judged at an instant.
func (s *step) medianElsewhere(now time.Time, except *worker) (time.Duration, bool) {
	if !s.taskDurationsAt.Equal(now) {
		s.taskDurationsAt, s.taskDurations = now, s.collectTaskDurations(s.taskDurations[:0])
	}
	others := 0
	for _, p := range s.taskDurations {
		if p.worker != except {
			others++
		}
	}
	middle := others / 2
	for _, p := range s.taskDurations {
		if p.worker == except {
			continue
		}
		if middle == 0 {
			return p.duration, true
		}
		middle--
	}
	return 0, false
}

// peer is how long one of a step's tasks takes, and where.
type taskDuration struct {
	worker   *worker
	duration time.Duration
}

// gatherPeers returns the durations that are known, the shortest first.
func (s *step) collectTaskDurations(list []taskDuration) []taskDuration {
	for _, t := range s.tasks {
		if t.done && t.duration > 0 {
			list = append(list, taskDuration{t.completedOn, t.duration})
		}
		if t.run != nil && t.run.phase == confirmed {
			if whole, known := t.run.projectedDuration(); known {
				list = append(list, taskDuration{t.run.worker, whole})
			}
		}
	}
	slices.SortFunc(list, func(a, b taskDuration) int { return cmp.Compare(a.duration, b.duration) })
	return list
}

// slowNow reports whether the tasks of several jobs on a worker take much longer
// than predicted.
func (e *Engine) workerSlow(w *worker) bool {
	var judged slowdown
	for _, r := range w.sortedRuns() {
		if r.owner == nil || r.phase != confirmed {
			continue
		}
		if whole, known := r.projectedDuration(); known {
			judged.observe(r.task.Job, whole, e.predict(r.owner.step))
		}
	}
	return judged.excessive()
}

// moveAway stops a run so that its task starts elsewhere; a gang moves as a whole.
func (e *Engine) moveAway(now time.Time, r *run, reason string) {
	t := r.owner
	e.log("run moved away", "task", r.task, "run", r.run, "worker", r.worker.ID, "why", reason, "percent", r.percent,
		"still-for", now.Sub(r.progressAt), "age", now.Sub(r.startSentAt), "predicted", e.predict(t.step))
	t.moves++
	t.avoid = append(t.avoid, r.worker.ID)
	r.worker.health.quarantine(now)
	e.stop(now, r)
	if t.step.Gang {
		e.stopAll(now, t.step)
	}
}
