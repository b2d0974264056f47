package sched

import (
	"fmt"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
)

// lost makes a task whose end was proved pending again. The lock must be held.
func (h *holder) lost(l *link, key ledger.Task, reason string) {
	j := h.jobs[key.Job]
	if j == nil || key.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[key.Index]
	l.health.probing = false
	if t.worker != l.name || (t.phase != starting && t.phase != running && t.phase != stopping) {
		return
	}
	if t.phase == running {
		t.reason = reason
	}
	h.trace(j.row.ID, "task", "pending-again", fmt.Sprintf("task %d: %s", key.Index, reason))
	h.again(j, key.Index)
}

// again makes a task pending. The lock must be held.
func (h *holder) again(j *job, index int) {
	t := &j.tasks[index]
	t.lastWorker, t.worker = t.worker, ""
	j.set(index, pending)
	h.enqueue(j)
	h.settleJob(j)
}

// finish takes in the end of a task's present attempt. The lock must be held.
func (h *holder) finish(l *link, j *job, index int, state *worker.TaskState) {
	t := &j.tasks[index]
	h.trace(j.row.ID, "task", string(state.Phase), fmt.Sprintf("task %d attempt %d on %s %s", index, t.attempt, l.name, state.Message.Value))
	switch {
	case state.Phase == worker.TaskStatePhaseSucceeded:
		h.workerSucceeded(l)
		h.learnRun(j, index, h.now())
		h.succeed(j, index)
	case state.Phase == worker.TaskStatePhaseFailed:
		j.failedOn[l.name] = true
		h.workerFailed(l, j)
		h.failTask(l, j, index, state.Message.Value)
	case t.runaway:
		t.runaway = false
		h.failTask(l, j, index, t.reason)
	default:
		if t.reason == "" {
			t.reason = fmt.Sprintf("attempt %d %s on %s", t.attempt, state.Phase, l.name)
		}
		j.note(index)
		h.again(j, index)
	}
}

// succeed ends a task well. The lock must be held.
func (h *holder) succeed(j *job, index int) {
	t := &j.tasks[index]
	t.reason = ""
	j.set(index, succeeded)
	j.note(index)
	h.markDirty(j)
	h.enqueue(j)
	h.settleJob(j)
}

// failTask counts a failure and tries again within the policy's attempts. The
// lock must be held.
func (h *holder) failTask(l *link, j *job, index int, message string) {
	t := &j.tasks[index]
	t.failures++
	t.reason = fmt.Sprintf("attempt %d failed on %s: %s", t.attempt, l.name, message)
	if t.failures < h.attempts() {
		j.retryAt = h.now().Add(retryDelay << min(t.failures-1, 6))
		h.again(j, index)
		j.note(index)
		h.markDirty(j)
		return
	}
	t.worker = l.name
	j.set(index, failed)
	j.note(index)
	h.end(j, caller.JobStateFailed, fmt.Sprintf("task %d failed %d times; last: %s", index, t.failures, message))
}

// defaultAttempts is used where the policy names none.
const defaultAttempts = 3

func (h *holder) attempts() int {
	if document := h.s.document(); document != nil && document.Jobs.Attempts > 0 {
		return document.Jobs.Attempts
	}
	return defaultAttempts
}

// end decides how a job ends; it ends once none of its tasks is live. The lock
// must be held.
func (h *holder) end(j *job, state caller.JobState, why string) {
	if j.ends == "" {
		j.ends, j.why = state, why
	}
	h.settleJob(j)
}

// requestCancel ends a job by its caller's wish. The lock must be held.
func (h *holder) requestCancel(j *job) {
	if j.row.CancelRequested {
		return
	}
	j.row.CancelRequested = true
	h.markDirty(j)
	h.end(j, caller.JobStateCancelled, "canceled by its caller")
}

// settleJob brings a job to its end: it stops what is live, and gives the final
// state once nothing is. The lock must be held.
func (h *holder) settleJob(j *job) {
	if ended(j.row.State) {
		return
	}
	if j.ends == "" && j.done == len(j.tasks) {
		j.ends = caller.JobStateSucceeded
	}
	if j.ends == "" {
		return
	}
	h.queue.Remove(j.row.ID)
	if j.live > 0 {
		h.stopLive(j)
	}
	if j.live > 0 || (j.inherited && !h.settled && j.pending > 0) {
		return
	}
	j.row.State, j.row.Reason, j.row.EndedAt = j.ends, j.why, h.now()
	j.noteAll()
	h.trace(j.row.ID, "job", string(j.ends), j.why)
	h.markDirty(j)
}

// stopLive stops the live tasks of a job. The lock must be held.
func (h *holder) stopLive(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != starting && t.phase != running {
			continue
		}
		if h.release(t.worker, j.key(i), ledger.NothingSent{}) {
			t.worker = ""
			j.set(i, pending)
			continue
		}
		j.set(i, stopping)
		if l := h.links[t.worker]; l != nil {
			h.orderStop(l, j.key(i), false)
		}
	}
}
