package engine

import (
	"cmp"
	"slices"
	"time"
)

// Stragglers are tasks that make no progress or take many times as long as others because of
// their worker. If a straggler would be done sooner elsewhere, its run is stopped, and the task
// starts on another worker from its last checkpoint.

const (
	// stragglerCheckInterval is the time between two checks for stragglers, which are judged by
	// their progress over most of a second.
	stragglerCheckInterval = 200 * time.Millisecond
	// stalledAfter is the minimum time without progress after which a run is stalled. A longer
	// run reports progress less often, so stalledShare of its predicted duration is allowed in
	// addition.
	stalledAfter = 1500 * time.Millisecond
	stalledShare = 0.15
	// minMoveGain is the minimum ratio of a run's remaining time to the time that the task would
	// take elsewhere.
	minMoveGain = 1.6
	// minStragglerAge is the minimum age of a run whose progress is judged.
	minStragglerAge = 700 * time.Millisecond
	// gangRestartTime is the time that a stopped gang takes to start again: all its members must
	// end, and find capacity and tickets at once (2 s at the median with the load large quiet-1).
	// A gang that would still end in time is not stopped for one member.
	gangRestartTime = 2 * time.Second
	// maxMovesPerTask bounds how often one task is moved.
	maxMovesPerTask = 2
)

// moveStragglers stops runs that would be done sooner elsewhere, while runs may start.
func (e *Engine) moveStragglers(now time.Time) {
	if !e.mayStartSomewhere(now) {
		return
	}
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

// stragglerReason returns why a run should be moved, or an empty string if it should not.
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
	stalledFor := r.worker.lastSeen.Sub(r.progressAt)
	if stalledFor > stalledAfter+time.Duration(stalledShare*float64(predicted)) && now.Sub(r.progressAt) > stalledAfter {
		return "it makes no progress"
	}
	if r.owner.counted().crashes > 0 {
		return "" // a move costs one of the starts that are left after crashes
	}
	duration, known := r.projectedDuration()
	if !known || !e.slowDueToWorker(now, r, duration, predicted) {
		return ""
	}
	timeElsewhere := predicted
	if median, found := s.medianElsewhere(now, r.worker); found {
		timeElsewhere = median
	}
	if s.SavesCheckpoints && r.owner.checkpoint != "" {
		timeElsewhere = timeElsewhere * time.Duration(100-r.percent) / 100
	}
	timeElsewhere += e.opts.StopTime / 2
	if s.Gang {
		if e.rankOf(now, s.occ, s.job) == onTime {
			return ""
		}
		timeElsewhere += gangRestartTime
	}
	if float64(r.remaining(now, predicted)) > minMoveGain*float64(timeElsewhere) {
		return "it is slow"
	}
	return ""
}

// projectedDuration returns the total duration of a run at its rate of progress so far, and
// whether there is enough progress to tell.
func (r *run) projectedDuration() (time.Duration, bool) {
	gained := r.percent - r.startPercent
	if gained < minProgressPercent {
		return 0, false
	}
	return r.progressAt.Sub(r.startSentAt) * 100 / time.Duration(gained), true
}

// slowDueToWorker reports whether a run is slow because of its worker: tasks of its step are much
// quicker elsewhere or, if there are none, the tasks of several jobs on the worker are slow. One
// job is no evidence, since its tasks are alike.
func (e *Engine) slowDueToWorker(now time.Time, r *run, duration, predicted time.Duration) bool {
	if median, found := r.owner.step.medianElsewhere(now, r.worker); found {
		return float64(duration) > slowdownLimit*float64(median)
	}
	return float64(duration) > e.stragglerLimit(r, predicted) && e.workerSlow(r.worker)
}

// medianElsewhere returns the median duration of the step's tasks on other workers, and whether
// there is one. The durations are collected once for all runs that are judged at the same time.
func (s *step) medianElsewhere(now time.Time, except *worker) (time.Duration, bool) {
	if !s.taskDurationsAt.Equal(now) {
		s.taskDurationsAt, s.taskDurations = now, s.collectTaskDurations(s.taskDurations[:0])
	}
	others := 0
	for _, d := range s.taskDurations {
		if d.worker != except {
			others++
		}
	}
	middle := others / 2
	for _, d := range s.taskDurations {
		if d.worker == except {
			continue
		}
		if middle == 0 {
			return d.duration, true
		}
		middle--
	}
	return 0, false
}

// taskDuration is the duration of one of a step's tasks and the worker that it ran on.
type taskDuration struct {
	worker   *worker
	duration time.Duration
}

// collectTaskDurations appends the known durations of the step's tasks to list, and sorts it with
// the shortest first.
func (s *step) collectTaskDurations(list []taskDuration) []taskDuration {
	for _, t := range s.tasks {
		if t.done && t.duration > 0 {
			list = append(list, taskDuration{t.completedOn, t.duration})
		}
		if t.run != nil && t.run.phase == confirmed {
			if duration, known := t.run.projectedDuration(); known {
				list = append(list, taskDuration{t.run.worker, duration})
			}
		}
	}
	slices.SortFunc(list, func(a, b taskDuration) int { return cmp.Compare(a.duration, b.duration) })
	return list
}

// workerSlow reports whether the current tasks of several jobs on a worker take much longer than
// predicted.
func (e *Engine) workerSlow(w *worker) bool {
	var current slowdown
	for _, r := range w.sortedRuns() {
		if r.owner == nil || r.phase != confirmed {
			continue
		}
		if duration, known := r.projectedDuration(); known {
			current.observe(r.task.Job, duration, e.predictStep(&r.owner.step.job.Job, r.owner.step.id.Step, w))
		}
	}
	return current.excessive()
}

// moveAway stops a run so that its task starts elsewhere. The other members of its gang are
// stopped as well.
func (e *Engine) moveAway(now time.Time, r *run, reason string) {
	t := r.owner
	e.log("moving straggler", "task", r.task, "run", r.number, "worker", r.worker.ID, "why", reason, "percent", r.percent,
		"still-for", now.Sub(r.progressAt), "age", now.Sub(r.startSentAt), "predicted", e.predict(t.step))
	t.moves++
	t.avoid = append(t.avoid, r.worker.ID)
	r.worker.health.quarantine(now)
	e.stopFor(now, r, WasteMoved)
	if t.step.Gang {
		e.stopAll(now, t.step, WasteGang)
	}
}
