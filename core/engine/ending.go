package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// presume takes a run as over that its worker does not list as ended.
func (e *Engine) presume(now time.Time, r *run, how jobs.End, why string) {
	e.log("run taken as over", "task", r.task, "run", r.run, "worker", r.worker.ID, "why", why,
		"age", now.Sub(r.orderedAt), "worker-seen-before", now.Sub(r.worker.lastSeen))
	e.finish(now, r, how, "")
}

// finish takes a run off its worker and settles how it ended.
func (e *Engine) finish(now time.Time, r *run, how jobs.End, saved string) {
	r.worker.remove(r)
	switch how {
	case jobs.EndDone:
		e.counters.EndsDone++
	case jobs.EndFailed:
		e.counters.EndsFailed++
	case jobs.EndExpired:
		e.counters.EndsExpired++
	default:
		e.counters.EndsOther++
	}
	t := r.owner
	if t == nil {
		return
	}
	if t.run == r {
		t.run = nil
	}
	if saved != "" {
		t.saved = saved
	}
	if how == jobs.EndDone {
		e.learn(now, r)
	}
	if how == jobs.EndFailed {
		t.avoid = append(t.avoid, r.worker.ID)
	}
	e.settleEnd(now, t, r.run, how)
}

// settleEnd notes what the end of a run means for its task and job.
func (e *Engine) settleEnd(now time.Time, t *task, number int, how jobs.End) {
	s, j := t.step, t.step.job
	if j.final() || t.done {
		return
	}
	switch {
	case s.Service:
	case how == jobs.EndDone:
		e.taskDone(now, t)
	case how == jobs.EndFailed:
		e.taskFailed(now, t, number)
	}
	if s.Gang && !t.done && !j.final() {
		e.stopAll(now, s)
	}
}

func (e *Engine) taskDone(now time.Time, t *task) {
	s, j := t.step, t.step.job
	s.markDone(t)
	e.touch(j)
	if !s.Gang && t.run != nil {
		e.stop(now, t.run)
	}
	if s.left == 0 {
		e.stepDone(now, s)
	}
}

// stepDone ends the job if it was the last step.
func (e *Engine) stepDone(now time.Time, s *step) {
	for _, o := range s.job.occurrences {
		if o.left > 0 {
			return
		}
	}
	e.conclude(now, s.job, jobs.Done)
}

func (e *Engine) taskFailed(now time.Time, t *task, number int) {
	s, j := t.step, t.step.job
	if !s.addFailure(t, number) {
		return
	}
	e.touch(j)
	failures := s.tasks[t.id.Index].failures
	if s.Gang {
		failures = s.tasks[0].failures
	}
	if failures >= max(j.Queue.Attempts, 1) {
		e.conclude(now, j, jobs.Failed)
	}
}
