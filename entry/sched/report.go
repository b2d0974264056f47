package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
)

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
	proof := ledger.LeaseExpired{Now: now, Skew: h.skew()}
	for _, c := range h.ledger.Expired(l.name, now, h.skew()) {
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
	if list.Epoch == h.grant.Epoch && !l.listed {
		l.listed = true
		// What an earlier holder renewed last may be about to lapse.
		l.renewAt = time.Time{}
		signal(l.wake)
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
	case ledger.Unconfirmed:
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
