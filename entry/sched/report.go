package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
)

// startAnswered takes in the answer to a start command. Tasks that the worker
// says it did not start stay charged until its next list lacks them.
func (h *holder) startAnswered(l *link, request *worker.StartRequest, reply *worker.StartReply, err error) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	l.renewAt = time.Time{}
	if err != nil {
		if rejected(err) {
			for _, start := range request.Tasks {
				h.voidStart(l, start.TaskID, err.Error())
			}
		}
		return
	}
	l.failingSince = time.Time{}
	refused := false
	for _, result := range reply.Results {
		if result.Started {
			h.confirmStart(l, result.TaskID, now)
			continue
		}
		refused = true
		h.voidStart(l, result.TaskID, result.Reason.Value)
	}
	if !refused {
		l.renewAt = h.nextRenewal(l, now)
	}
}

// confirmStart marks a charge as running. The lock must be held.
func (h *holder) confirmStart(l *link, id string, now time.Time) {
	key, ok := parseTask(id)
	if !ok {
		return
	}
	c, ok := h.ledger.Find(l.name, key)
	if !ok {
		return
	}
	c.State = ledger.Running
	h.ledger.Charge(l.name, c)
	j := h.jobs[key.Job]
	if j == nil || j.tasks[key.Index].phase != starting || j.tasks[key.Index].worker != l.name {
		return
	}
	j.set(key.Index, running)
	t := &j.tasks[key.Index]
	t.startedAt = now
	t.reason = ""
	h.trace(j.row.ID, "start", "started", fmt.Sprintf("task %d attempt %d on %s", key.Index, t.attempt, l.name))
}

// voidStart notes that the worker did not start a task. The lock must be held.
func (h *holder) voidStart(l *link, id, reason string) {
	key, ok := parseTask(id)
	if !ok {
		return
	}
	j := h.jobs[key.Job]
	if j == nil || j.tasks[key.Index].worker != l.name {
		return
	}
	t := &j.tasks[key.Index]
	t.voidAt = time.Time{}
	t.reason = "worker " + l.name + " did not start it: " + reason
	j.retryAt = h.now().Add(retryDelay)
}

// silent notes that a worker did not answer, and gives up the tasks whose lease
// has lapsed there on every clock.
func (h *holder) silent(l *link, _ error) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	l.renewAt = earliest(l.renewAt, now.Add(renewEvery))
	h.refresh(l, now)
	proof := ledger.LeaseLapsed{Now: now, Skew: h.skew()}
	for _, c := range h.ledger.Lapsed(l.name, now, h.skew()) {
		if h.release(l.name, c.Task, proof) {
			h.lost(l, c.Task, "its lease lapsed on silent worker "+l.name)
		}
	}
}

// report takes in a worker's list of its tasks, asked for at the instant asked.
func (h *holder) report(l *link, list *worker.TaskList, asked time.Time) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	l.failingSince = time.Time{}
	if list.Epoch == h.grant.Epoch {
		l.listed = true
	}
	present := make(map[ledger.Task]bool, len(list.Tasks))
	for i := range list.Tasks {
		state := &list.Tasks[i]
		key, ok := parseTask(state.TaskID)
		if !ok {
			continue
		}
		if state.Phase == worker.TaskStatePhaseRunning {
			present[key] = true
			h.reportRunning(l, key, state)
		}
	}
	for i := range list.Tasks {
		state := &list.Tasks[i]
		key, ok := parseTask(state.TaskID)
		if ok && state.Phase != worker.TaskStatePhaseRunning && !present[key] {
			h.reportEnded(l, key, state)
		}
	}
	for _, c := range h.ledger.ChargesOf(l.name) {
		if !present[c.Task] {
			h.reportAbsent(l, c, asked)
		}
	}
	for key := range l.stops {
		if !present[key] {
			delete(l.stops, key)
		}
	}
	h.refresh(l, now)
	h.checkSettled(now)
}

// reportRunning takes in a task that runs on the worker. The lock must be held.
func (h *holder) reportRunning(l *link, key ledger.Task, state *worker.TaskState) {
	if c, ok := h.ledger.Find(l.name, key); ok {
		c.LeaseDeadline = latest(c.LeaseDeadline, state.LeaseDeadline)
		h.ledger.Charge(l.name, c)
		if c.State != ledger.Running {
			h.confirmStart(l, state.TaskID, state.StartedAt)
		}
		if !h.wanted(l, key) {
			h.orderStop(l, key, false)
		}
		return
	}
	j := h.jobs[key.Job]
	c := ledger.Charge{
		Task: key, Amount: ledgerResources(state.Resources), State: ledger.Running, LeaseDeadline: state.LeaseDeadline,
	}
	if j != nil {
		c.Team = j.row.Team
	}
	h.charge(l.name, c)
	if j == nil || key.Index >= len(j.tasks) || j.tasks[key.Index].phase != pending {
		h.orderStop(l, key, false)
		return
	}
	t := &j.tasks[key.Index]
	t.worker, t.attempt, t.startedAt = l.name, max(t.attempt, state.Attempt), state.StartedAt
	t.size = c.Amount
	j.set(key.Index, running)
	h.enqueue(j)
	h.trace(j.row.ID, "takeover", "found-running", fmt.Sprintf("task %d on %s", key.Index, l.name))
	h.settleJob(j)
}

// wanted reports whether a task should run on the worker. The lock must be held.
func (h *holder) wanted(l *link, key ledger.Task) bool {
	j := h.jobs[key.Job]
	if j == nil || key.Index >= len(j.tasks) {
		return false
	}
	t := &j.tasks[key.Index]
	return t.worker == l.name && (t.phase == starting || t.phase == running)
}

// reportEnded takes in a task that ended on the worker. The lock must be held.
func (h *holder) reportEnded(l *link, key ledger.Task, state *worker.TaskState) {
	j := h.jobs[key.Job]
	_, charged := h.ledger.Find(l.name, key)
	if j == nil || key.Index >= len(j.tasks) {
		h.release(l.name, key, ledger.WorkerReport{})
		return
	}
	t := &j.tasks[key.Index]
	if !charged {
		h.reportEndedBefore(j, key.Index, state)
		return
	}
	if t.worker != l.name {
		h.release(l.name, key, ledger.WorkerReport{})
		return
	}
	if state.Attempt < t.attempt || t.phase == pending {
		// An earlier attempt; reportAbsent decides on the present one.
		return
	}
	h.release(l.name, key, ledger.WorkerReport{})
	if state.Checkpoint.Set {
		t.checkpoint = state.Checkpoint.Value
	}
	h.finish(l, j, key.Index, state)
}

// reportEndedBefore takes in an attempt that this holder has not charged: it was
// made under an earlier holder. The next attempt gets a higher number, so that
// the two can't be mistaken for each other. The lock must be held.
func (h *holder) reportEndedBefore(j *job, index int, state *worker.TaskState) {
	t := &j.tasks[index]
	if t.phase != pending || state.Attempt < t.attempt {
		return
	}
	t.attempt = state.Attempt
	if state.Checkpoint.Set {
		t.checkpoint = state.Checkpoint.Value
	}
	if state.Phase == worker.TaskStatePhaseSucceeded {
		h.succeed(j, index)
	}
}

// reportAbsent takes in that a charged task does not run on the worker. The lock
// must be held.
func (h *holder) reportAbsent(l *link, c ledger.Charge, asked time.Time) {
	switch c.State {
	case ledger.Reserved:
		return
	case ledger.Unsettled:
		j := h.jobs[c.Task.Job]
		if j != nil && !asked.After(j.tasks[c.Task.Index].voidAt.Add(h.skew())) {
			return
		}
	case ledger.Running:
	}
	if h.release(l.name, c.Task, ledger.WorkerReport{}) {
		h.lost(l, c.Task, "worker "+l.name+" does not have it any more")
	}
}

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

// parseTask reads a task's identifier, JOB/INDEX.
func parseTask(id string) (ledger.Task, bool) {
	job, number, ok := strings.Cut(id, "/")
	if !ok {
		return ledger.Task{}, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 {
		return ledger.Task{}, false
	}
	return ledger.Task{Job: job, Index: index}, true
}
