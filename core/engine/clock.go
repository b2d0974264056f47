package engine

import "time"

// minClockRate is the lowest rate of a worker's monotonic clock: the platform states that it may
// be 2% slow.
const minClockRate = 0.98

// LongestLease returns the longest time that a lease takes to expire by a worker's clock.
func LongestLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / minClockRate)
}

// clock estimates a worker's monotonic clock from its last reading.
type clock struct {
	reading time.Duration
	at      time.Time
}

// lowerBound returns the lowest reading that the worker's clock can have.
func (c clock) lowerBound(now time.Time) time.Duration {
	return c.reading + time.Duration(minClockRate*float64(now.Sub(c.at)))
}

// observe updates the clock with a reading that arrived at now. Readings below the lower bound
// are ignored.
func (c *clock) observe(now time.Time, reading time.Duration) {
	if c.at.IsZero() || reading >= c.lowerBound(now) {
		*c = clock{reading: reading, at: now}
	}
}
