package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

const (
	// failuresToQuarantine is the number of jobs that must fail on a worker, with no task done
	// there in between, before it gets no more work. A single failing job must not take workers
	// out of service.
	failuresToQuarantine = 2
	// firstQuarantine is the length of the first quarantine. It doubles with each further one, up
	// to lastQuarantine.
	firstQuarantine = 2 * time.Second
	lastQuarantine  = 8 * time.Second
)

// health tells a faulty worker from jobs that fail on every worker.
type health struct {
	failed           []jobs.ID
	quarantinedUntil time.Time
	// quarantineLength is the length of the last quarantine.
	quarantineLength time.Duration
}

func (h *health) observe(now time.Time, end jobs.End, id jobs.ID) {
	switch end {
	case jobs.EndDone:
		*h = health{}
	case jobs.EndFailed:
		h.addFailure(now, id)
	}
}

func (h *health) addFailure(now time.Time, id jobs.ID) {
	for _, other := range h.failed {
		if other == id {
			return
		}
	}
	h.failed = append(h.failed, id)
	if len(h.failed) < failuresToQuarantine {
		return
	}
	h.quarantine(now)
}

// quarantine withholds new work for a while, twice as long each time, up to lastQuarantine.
func (h *health) quarantine(now time.Time) {
	h.quarantineLength = min(max(2*h.quarantineLength, firstQuarantine), lastQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineLength)
}

// quarantined reports whether the worker gets no new work at the moment.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }
