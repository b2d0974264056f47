package sched

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"
)

const (
	// defaultQuarantineFailures and defaultQuarantineProbe are used where the
	// policy names none.
	defaultQuarantineFailures = 3
	defaultQuarantineProbe    = 30 * time.Second
	// maxProbeDoublings bounds the wait between probes.
	maxProbeDoublings = 4
	// failsEverywhere is the number of workers on which a job must have failed
	// before its failures are held against the job alone.
	failsEverywhere = 2
)

// health is how a worker fared with the tasks that it was given. A worker that
// fails different jobs in a row is quarantined. It is probed with one task at a
// time until one succeeds.
type health struct {
	// failedJobs are the jobs that failed on the worker since its last success.
	failedJobs  map[string]bool
	quarantined bool
	// probeAt is when the next probe may start; probing says that one is placed.
	probeAt time.Time
	probing bool
	probes  int
}

// usable reports whether the worker may be given a task as far as its health goes.
func (h *health) usable(now time.Time) bool {
	return !h.quarantined || (!h.probing && !now.Before(h.probeAt))
}

// succeeded clears the worker.
func (h *health) succeeded() { *h = health{} }

// failed counts a failure of a job, and reports whether the worker must be
// quarantined, or goes on being so.
func (h *health) failed(job string, limit int, wait time.Duration, now time.Time) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]bool)
	}
	h.failedJobs[job] = true
	if !h.quarantined && len(h.failedJobs) < limit {
		return false
	}
	h.quarantined, h.probing = true, false
	h.probeAt = now.Add(wait << min(h.probes, maxProbeDoublings))
	h.probes++
	return true
}

// workerSucceeded notes a success on a worker. The lock must be held.
func (h *holder) workerSucceeded(l *link) {
	if l.health.quarantined {
		klog.InfoS("A worker is back from quarantine", "worker", l.name)
		h.trace(l.name, "quarantine", "ended", "a probe succeeded")
	}
	l.health.succeeded()
	h.refresh(l, h.now())
}

// workerFailed notes a failure on a worker, unless the job fails everywhere. The
// lock must be held.
func (h *holder) workerFailed(l *link, j *job) {
	if len(j.failedOn) > failsEverywhere && !l.health.probing {
		return
	}
	limit, wait := defaultQuarantineFailures, defaultQuarantineProbe
	if document := h.s.document(); document != nil {
		if n := document.Jobs.QuarantineFailures; n > 0 {
			limit = n
		}
		if d := time.Duration(document.Jobs.QuarantineProbe); d > 0 {
			wait = d
		}
	}
	now := h.now()
	before := l.health.quarantined
	if l.health.failed(j.row.ID, limit, wait, now) && !before {
		detail := fmt.Sprintf("%d different jobs failed on it in a row; next probe at %s", len(l.health.failedJobs), l.health.probeAt.Format(time.RFC3339))
		klog.InfoS("A worker was quarantined", "worker", l.name, "why", detail)
		h.trace(l.name, "quarantine", "began", detail)
	}
	h.refresh(l, now)
}
