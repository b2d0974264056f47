package sched

import (
	"context"
	"fmt"
	"time"

	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

const (
	// usageEvery is the time between usage reports of one worker.
	usageEvery = 5 * time.Second
	// defaultOversizeRatio is used where the policy names none.
	defaultOversizeRatio = 1.2
	// oversizeLimit is the number of reports in a row over the ratio after which
	// a throttled task is stopped.
	oversizeLimit = 4
	// maxCorrection bounds by how much declared sizes and run times are corrected.
	maxCorrection = 4.0
	// learningRate weighs a new observation against the earlier ones.
	learningRate = 0.3
)

// workload is what declarations are corrected by: one caller's work of one kind.
type workload struct{ caller, work string }

// correction is the ratio of observed to declared, learned for one workload. It
// is at least 1 for sizes: less room than declared is never planned.
type correction struct {
	millicores float64
	memory     float64
	run        float64
}

// observed moves a ratio towards what was seen, within bounds.
func observed(ratio, seen float64) float64 {
	if ratio == 0 {
		ratio = 1
	}
	ratio += learningRate * (seen - ratio)
	return min(maxCorrection, max(1/maxCorrection, ratio))
}

// enlarge applies the learned ratios to a declared size.
func (c correction) enlarge(declared roster.Resources) roster.Resources {
	declared.Millicores = int64(float64(declared.Millicores) * max(1, c.millicores))
	declared.MemoryBytes = int64(float64(declared.MemoryBytes) * max(1, c.memory))
	return declared
}

// expectedRun applies the learned ratio to a declared run time.
func (c correction) expectedRun(declared time.Duration) time.Duration {
	if c.run == 0 {
		return declared
	}
	return time.Duration(float64(declared) * c.run)
}

// size is the corrected size of a task of a job, within the largest worker: a
// correction must not make a job unplaceable. The lock must be held.
func (h *holder) size(j *job) roster.Resources {
	declared := j.each()
	learned, ok := h.learned[workload{j.row.Caller, j.row.Spec.Work}]
	if !ok {
		return declared
	}
	enlarged := learned.enlarge(declared)
	for _, w := range h.ledger.Workers() {
		if w.Condition == ledger.Usable && ledger.Fits(enlarged, w.Capacity) {
			return enlarged
		}
	}
	return declared
}

// learn notes how an ended task compared with its declaration. The lock must be held.
func (h *holder) learnRun(j *job, index int, now time.Time) {
	declared := j.row.Spec.ExpectedRun
	startedAt := j.tasks[index].startedAt
	if declared <= 0 || startedAt.IsZero() {
		return
	}
	key := workload{j.row.Caller, j.row.Spec.Work}
	c := h.learned[key]
	c.run = observed(c.run, float64(now.Sub(startedAt))/float64(declared))
	h.learned[key] = c
}

// usage asks the worker for its usage when that is due, and throttles the tasks
// that use more than they declared.
func (l *link) usage(ctx context.Context) {
	if !l.h.usageDue(l) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	usage, err := l.api().GetUsage(callCtx)
	if err != nil {
		return
	}
	for _, request := range l.h.judge(l, usage) {
		list, err := l.api().ThrottleTasks(callCtx, request)
		l.answered(list, l.h.now(), err)
	}
}

func (h *holder) usageDue(l *link) bool {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.listed || now.Before(l.usageAt) || !h.valid(now) {
		return false
	}
	l.usageAt = now.Add(usageEvery)
	return true
}

// judge takes in a usage report and returns the throttle commands that follow.
func (h *holder) judge(l *link, usage *worker.Usage) []*worker.ThrottleRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !usage.AsOf.After(l.usageAsOf) {
		return nil
	}
	l.usageAsOf = usage.AsOf
	var requests []*worker.ThrottleRequest
	for _, used := range usage.Tasks {
		key, ok := parseTask(used.TaskID)
		c, charged := h.ledger.Find(l.name, key)
		if !ok || !charged || !h.wanted(l, key) || h.jobs[key.Job].tasks[key.Index].startedAt.After(usage.AsOf) {
			continue
		}
		if request := h.judgeTask(l, c, used); request != nil {
			requests = append(requests, request)
		}
	}
	return requests
}

// judgeTask compares a task with its declaration. What it uses beyond its size is
// charged as long as it does, so that nothing is placed on top of it. The lock must be held.
func (h *holder) judgeTask(l *link, c ledger.Charge, used worker.TaskUsage) *worker.ThrottleRequest {
	j := h.jobs[c.Task.Job]
	t := &j.tasks[c.Task.Index]
	declared := j.each()
	processors := float64(used.Millicores) / float64(declared.Millicores)
	memory := float64(used.MemoryBytes) / float64(declared.MemoryBytes)
	h.learnSize(j, t, processors, memory)
	wider := roster.Resources{
		Millicores:   max(t.size.Millicores, used.Millicores),
		MemoryBytes:  max(t.size.MemoryBytes, used.MemoryBytes),
		Accelerators: t.size.Accelerators,
	}
	if wider != c.Amount {
		c.Amount = wider
		h.charge(l.name, c)
		h.queueChanged()
	}
	limit := h.oversizeRatio()
	if processors <= limit && memory <= limit {
		t.oversized = 0
		return nil
	}
	t.oversized++
	if t.oversized >= oversizeLimit {
		h.stopRunaway(l, j, c.Task.Index, processors, memory)
		return nil
	}
	if processors <= limit {
		return nil
	}
	t.reason = fmt.Sprintf("throttled: it uses %.1f times its declared processors", processors)
	h.trace(j.row.ID, "usage", "throttled", fmt.Sprintf("task %d on %s: %s", c.Task.Index, l.name, t.reason))
	return &worker.ThrottleRequest{
		Domain: h.s.opts.Domain, Epoch: h.grant.Epoch, TaskIDs: []string{used.TaskID}, Millicores: declared.Millicores,
	}
}

// learnSize counts a task once, by its first report. The lock must be held.
func (h *holder) learnSize(j *job, t *task, processors, memory float64) {
	if t.measured {
		return
	}
	t.measured = true
	key := workload{j.row.Caller, j.row.Spec.Work}
	c := h.learned[key]
	c.millicores, c.memory = observed(c.millicores, processors), observed(c.memory, memory)
	h.learned[key] = c
}

// stopRunaway stops a task that throttling did not bring back to its declared
// size. It counts as a failure of the task. The lock must be held.
func (h *holder) stopRunaway(l *link, j *job, index int, processors, memory float64) {
	t := &j.tasks[index]
	t.oversized = 0
	t.runaway = true
	t.reason = fmt.Sprintf("stopped: it used %.1f times its declared processors and %.1f times its memory", processors, memory)
	h.trace(j.row.ID, "usage", "stopped", fmt.Sprintf("task %d on %s: %s", index, l.name, t.reason))
	j.set(index, stopping)
	h.orderStop(l, j.key(index), true)
}

func (h *holder) oversizeRatio() float64 {
	if document := h.s.document(); document != nil && document.Jobs.OversizeRatio > 0 {
		return document.Jobs.OversizeRatio
	}
	return defaultOversizeRatio
}
