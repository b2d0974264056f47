package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// presumeEnded ends a run for which the worker reports no result.
func (e *Engine) presumeEnded(now time.Time, r *run, end jobs.End, why string) {
	w := r.worker
	e.log("run presumed ended", "task", r.task, "run", r.number, "worker", w.ID, "why", why, "end", end, "epoch", e.opts.Epoch,
		"confirmed-before", now.Sub(e.confirmed.At),
		"age", now.Sub(r.startSentAt), "phase", r.phase, "phase-age", now.Sub(r.phaseSince), "listed", r.listed, "repeated", r.repeated,
		"sent-before-restart", r.sentBeforeRestart, "crash", r.crash, "worker-seen-before", now.Sub(w.lastSeen), "born", w.StartedAt, "entry-born", w.entryStartedAt,
		"fence", r.fence, "fence-now", e.fence(w), "last-sequence", w.lastSequence, "acked-up-to", w.ackedUpTo,
		"clock-at-least", w.clock.lowerBound(now), "clock-read-before", now.Sub(w.clock.at), "leased-until", w.leasedUntil)
	e.endRun(now, r, end, "")
}

// endRun removes a run from its worker and applies its end.
func (e *Engine) endRun(now time.Time, r *run, end jobs.End, checkpoint string) {
	r.worker.remove(r)
	e.releaseCharge(r)
	e.noteWaste(now, r, end)
	switch end {
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
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if end == jobs.EndDone {
		e.recordDuration(now, r)
	}
	e.learnStopped(now, r, end)
	if end == jobs.EndFailed {
		t.avoid = append(t.avoid, r.worker.ID)
	}
	if r.crash != noCrash {
		e.runCrashed(now, r)
	}
	e.applyEnd(now, t, r.number, end)
}

// applyEnd updates a task and its job for the end of a run.
func (e *Engine) applyEnd(now time.Time, t *task, number int, end jobs.End) {
	s, j := t.step, t.step.job
	if j.final() || t.done {
		return
	}
	switch {
	case s.Service:
	case end == jobs.EndDone:
		e.taskDone(now, t)
	case end == jobs.EndFailed:
		e.taskFailed(now, t, number)
	}
	if s.Gang && !t.done && !j.final() {
		e.stopAll(now, s, WasteGang)
	}
}

func (e *Engine) taskDone(now time.Time, t *task) {
	s, j := t.step, t.step.job
	s.markDone(t)
	e.markChanged(j)
	if !s.Gang && t.run != nil {
		e.stopFor(now, t.run, WasteDuplicate)
	}
	if s.tasksLeft == 0 {
		e.stepDone(now, s)
	}
}

// stepDone closes the occurrence of a step if no step of it is left, and finalizes the job if no
// occurrence is left.
func (e *Engine) stepDone(now time.Time, s *step) {
	j := s.job
	if s.occ.stepsLeft == 0 && j.done.Len()+1 == j.Occurrences() {
		e.finalize(now, j, jobs.Done)
		return
	}
	j.closeIfDone(s.occ)
}

func (e *Engine) taskFailed(now time.Time, t *task, number int) {
	s, j := t.step, t.step.job
	if !s.addFailure(t, number) {
		return
	}
	e.markChanged(j)
	failures := s.tasks[t.id.Index].failures
	if s.Gang {
		failures = s.tasks[0].failures
	}
	if failures >= max(j.Queue.Attempts, 1) {
		e.finalize(now, j, jobs.Failed)
	}
}
