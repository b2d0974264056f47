package sched

import (
	"fmt"
	"time"

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
