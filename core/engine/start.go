package engine

import (
	"strconv"
	"time"
)

// runsPerEpoch is the size of the range of run numbers of each leader, so that no leader repeats
// a number of an earlier one that it does not know.
const runsPerEpoch = 1000

// nextRun returns a run number that no task of the step has had.
func (e *Engine) nextRun(s *step) int {
	return max(s.lastRun, int(e.opts.Epoch-1)*runsPerEpoch) + 1
}

// start commands a run of a task on a worker.
func (e *Engine) start(now time.Time, t *task, w *worker, number int) {
	s := t.step
	r := &run{
		runKey: runKey{t.id, number}, worker: w, demand: s.demand(), owner: t,
		phase: starting, fence: e.fence(w), phaseSince: now, startSentAt: now, progressAt: now,
	}
	w.add(r)
	e.chargeRun(r)
	t.run = r
	e.counters.Starts++
	ticket := s.advice.ticketFor(w).value
	checkpoint := t.checkpoint
	if s.Gang {
		checkpoint = s.gangCheckpoint()
	}
	r.resumed = checkpoint != ""
	e.emit(Start{
		Destination: w.destination(), Task: t.id, Run: number, Spec: s.job.Spec, LeaseUntil: e.extendLease(now, w),
		Fence: r.fence, Ticket: ticket, Checkpoint: checkpoint,
	})
}

// logStarts logs the tasks of a step that were started together in one line: their workers, the
// age of the oldest report of these workers, the shortest time for which an entry of them still
// counts, and the least processor capacity left on one of them.
func (e *Engine) logStarts(now time.Time, s *step, tasks []*task, number int) {
	if e.opts.Logger == nil {
		return
	}
	var where []byte
	var oldestReport time.Duration
	entryUntil := tasks[0].run.worker.entryUntil
	free := tasks[0].run.worker.free().Millicores
	resumed := 0
	for i, t := range tasks {
		if i > 0 {
			where = append(where, ' ')
		}
		where = strconv.AppendInt(where, int64(t.id.Index), 10)
		where = append(append(where, '@'), t.run.worker.ID...)
		oldestReport = max(oldestReport, now.Sub(t.run.worker.lastSeen))
		free = min(free, t.run.worker.free().Millicores)
		if t.run.worker.entryUntil.Before(entryUntil) {
			entryUntil = t.run.worker.entryUntil
		}
		if t.run.resumed {
			resumed++
		}
	}
	e.log("runs started", "step", s.id, "run", number, "epoch", e.opts.Epoch, "confirmed-before", now.Sub(e.confirmed.At), "tasks", len(tasks), "left", s.tasksLeft, "where", string(where), "seen-before", oldestReport, "entries-count-for", entryUntil.Sub(now),
		"free-millicores", free, "waited", now.Sub(s.job.ArrivedAt), "late-by", now.Sub(s.job.deadline), "resumed", resumed)
}

// gangCheckpoint returns the newest checkpoint of any member: all tasks of a gang must start from
// the same one.
func (s *step) gangCheckpoint() string {
	newest := ""
	for _, t := range s.tasks {
		newest = max(newest, t.checkpoint)
	}
	return newest
}

// startAnswered handles the answer to a start command.
func (e *Engine) startAnswered(now time.Time, ev StartAnswered) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{ev.Task, ev.Run}]
	if ev.Outcome != StartAccepted {
		e.log("start not accepted", "task", ev.Task, "run", ev.Run, "worker", ev.Worker, "outcome", ev.Outcome)
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
			r.phase, r.phaseSince = unanswered, now
			e.startUnanswered(now, r)
		}
	case StartAccepted:
		r.confirmArrival()
		r.repeated = ev.Repeated
		if r.phase == starting {
			r.phase, r.phaseSince = confirmed, now
		}
	default:
		e.startRefused(now, r, ev.Outcome)
	}
}

// startRefused handles a start that had no effect.
func (e *Engine) startRefused(now time.Time, r *run, outcome StartOutcome) {
	w, t := r.worker, r.owner
	switch outcome {
	case StartInvalidTicket:
		e.counters.InvalidTicket++
		if t != nil {
			t.step.advice.setTicket(w, cachedTicket{})
		}
	case StartNoCapacity:
		e.counters.NoCapacity++
	case StartUnhealthy:
		w.health.quarantinedUntil = now.Add(firstQuarantine)
	}
	w.remove(r)
	e.releaseCharge(r)
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.step.lastRun = max(t.step.lastRun, r.number)
	if t.step.Gang {
		e.stopAll(now, t.step, WasteGang)
	}
}

// stopAnswered handles the answer to a stop command.
func (e *Engine) stopAnswered(now time.Time, ev StopAnswered) {
	w := e.workers[ev.Worker]
	if w == nil || !ev.Confirmed {
		return
	}
	if r := w.runs[runKey{ev.Task, ev.Run}]; r != nil && r.phase == stopping {
		r.stopConfirmedAt = now
	}
}
