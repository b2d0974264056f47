package sched

import (
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// takeStarts turns the reserved tasks of a worker into a start command, or
// returns nil. From here on the starts count as sent.
func (h *holder) takeStarts(l *link) *worker.StartRequest {
	now := h.now()
	grant, holds := h.s.lease.Current(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !holds || grant.Epoch != h.grant.Epoch || len(l.starts) == 0 || !l.listed {
		return nil
	}
	request := &worker.StartRequest{
		Domain:      h.s.opts.Domain,
		Epoch:       h.grant.Epoch,
		StartBefore: earliest(now.Add(startLimit), grant.Deadline),
	}
	deadline := earliest(now.Add(h.s.taskLease()), h.s.lease.MaxTaskDeadline())
	h.s.noteGiven(deadline)
	for len(l.starts) > 0 && len(request.Tasks) < startBatch {
		key := l.starts[0]
		l.starts = l.starts[1:]
		if start, ok := h.sendStart(l, key, deadline, request.StartBefore); ok {
			request.Tasks = append(request.Tasks, start)
		}
	}
	if len(request.Tasks) == 0 {
		return nil
	}
	return request
}

// sendStart marks a reserved task as sent. The lock must be held.
func (h *holder) sendStart(l *link, key ledger.Task, deadline, voidAt time.Time) (worker.TaskStart, bool) {
	c, ok := h.ledger.Find(l.name, key)
	j := h.jobs[key.Job]
	if !ok || c.State != ledger.Reserved || j == nil {
		return worker.TaskStart{}, false
	}
	t := &j.tasks[key.Index]
	c.State, c.LeaseDeadline = ledger.Unconfirmed, deadline
	h.charge(l.name, c)
	t.voidAt = voidAt
	t.attempt++
	start := worker.TaskStart{
		TaskID:        key.String(),
		Attempt:       t.attempt,
		Resources:     workerResources(c.Amount),
		LeaseDeadline: deadline,
		Command:       j.row.Spec.Command,
	}
	if t.checkpoint != "" {
		start.Checkpoint = worker.NewOptString(t.checkpoint)
	}
	return start, true
}

// takeStops turns the stop orders of a worker into a command, or returns nil.
func (h *holder) takeStops(l *link, checkpoint bool) *worker.StopRequest {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.listed || !h.valid(now) {
		return nil
	}
	request := &worker.StopRequest{Domain: h.s.opts.Domain, Epoch: h.grant.Epoch, Checkpoint: checkpoint}
	for key, order := range l.stops {
		if order.checkpoint == checkpoint {
			request.TaskIDs = append(request.TaskIDs, key.String())
		}
	}
	if len(request.TaskIDs) == 0 {
		return nil
	}
	return request
}

// takeRenewal returns the renewal that is due, or nil.
func (h *holder) takeRenewal(l *link) *worker.RenewRequest {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(l.renewAt) || h.s.lease.Superseded(h.grant.Epoch) {
		return nil
	}
	if !l.listed && !h.valid(now) {
		return nil
	}
	l.renewAt = h.nextRenewal(l, now)
	// A holder that is cut off goes on renewing: a new holder counts on that until
	// it has listed the worker, or knows that this holder has ended.
	request := &worker.RenewRequest{
		Domain:        h.s.opts.Domain,
		Epoch:         h.grant.Epoch,
		LeaseDeadline: now.Add(h.s.taskLease()),
		TaskIDs:       []string{},
	}
	for _, c := range h.ledger.ChargesOf(l.name) {
		if c.State != ledger.Running || !request.LeaseDeadline.After(c.LeaseDeadline) {
			continue
		}
		c.LeaseDeadline = request.LeaseDeadline
		h.ledger.Charge(l.name, c)
		request.TaskIDs = append(request.TaskIDs, c.Task.String())
	}
	h.s.noteGiven(request.LeaseDeadline)
	return request
}

// nextRenewal is when a worker should be renewed again: soon if a task is expected
// to end, so that its end is noticed, else often enough for the leases. The lock
// must be held.
func (h *holder) nextRenewal(l *link, now time.Time) time.Time {
	next := now.Add(max(renewEvery, h.s.taskLease()/renewFraction))
	for _, c := range h.ledger.ChargesOf(l.name) {
		j := h.jobs[c.Task.Job]
		if j == nil || c.State != ledger.Running {
			return now.Add(renewEvery)
		}
		if j.row.Spec.Kind == caller.JobSpecKindService && j.row.Spec.ExpectedRun == 0 {
			continue
		}
		learned := h.learned[workload{j.row.Caller, j.row.Spec.Work}]
		run := learned.expectedRun(j.row.Spec.ExpectedRun)
		next = earliest(next, j.tasks[c.Task.Index].startedAt.Add(run))
	}
	return latest(next, now.Add(renewEvery))
}

// orderStop asks a worker's link to stop a task. The lock must be held.
func (h *holder) orderStop(l *link, key ledger.Task, checkpoint bool) {
	if _, ok := l.stops[key]; ok {
		return
	}
	l.stops[key] = stopOrder{checkpoint: checkpoint}
	signal(l.wake)
}

func workerResources(r roster.Resources) worker.Resources {
	return worker.Resources{Millicores: r.Millicores, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func ledgerResources(r worker.Resources) roster.Resources {
	return roster.Resources{Millicores: r.Millicores, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
