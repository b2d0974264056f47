package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

const (
	// failuresToQuarantine is how many jobs in a row must fail on a worker, with
	// none done between, before it gets no more work. One job that fails its own
	// way must not take workers away.
	failuresToQuarantine = 2
	// firstQuarantine doubles with each failure after it, up to lastQuarantine.
	firstQuarantine = 2 * time.Second
	lastQuarantine  = 8 * time.Second
)

// health tells a worker that fails what it runs from jobs that fail everywhere.
type health struct {
	failed           []jobs.ID
	quarantinedUntil time.Time
	// wait is the length of the next quarantine.
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

// suspect keeps new work away for a while, twice as long each time.
func (h *health) quarantine(now time.Time) {
	h.quarantineLength = min(max(2*h.quarantineLength, firstQuarantine), lastQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineLength)
}

// quarantined reports whether the worker gets no work.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }
