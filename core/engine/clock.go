package engine

import "time"

// slowestClock is how fast a worker's steady clock runs at least: the platform
// states that it may be 2% slow.
const minClockRate = 0.98

// clock is what is known of a worker's steady clock.
type clock struct {
	reading time.Duration
	at      time.Time
}

// atLeast returns the lowest reading that the worker's clock can have.
func (c clock) lowerBound(now time.Time) time.Duration {
	return c.reading + time.Duration(minClockRate*float64(now.Sub(c.at)))
}

// estimate returns the likely reading.
func (c clock) estimate(now time.Time) time.Duration {
	return c.reading + now.Sub(c.at)
}

// observe takes a reading that arrived at now.
func (c *clock) observe(now time.Time, reading time.Duration) {
	if c.at.IsZero() || reading >= c.lowerBound(now) {
		*c = clock{reading: reading, at: now}
	}
}
