package play

import (
	"slices"
	"time"
)

// Tally is what callers got, and what it took.
type Tally struct {
	Queues map[string]*QueueTally
	// Earned is the worth of what was done, Owed that of all that could be done.
	Earned, Owed float64
	// BusyCoreSeconds counts all runs, WastedCoreSeconds those that were not done.
	BusyCoreSeconds, WastedCoreSeconds float64
	// CapacityCoreSeconds is what the workers had while jobs arrived.
	CapacityCoreSeconds      float64
	Starts, Stops, Questions int
	NoTicket                 int
	// AdviserBusy is how long VMs waited for the adviser, all together.
	AdviserBusy time.Duration
	// LongestPass is the longest decision of the engine, in real time.
	LongestPass time.Duration
}

// QueueTally is what callers of a queue got.
type QueueTally struct {
	Jobs, OnTime, Late, Lost int
	Earned, Owed             float64
	// waits are from the arrival to the first start.
	waits []time.Duration
}

// Share returns the part of the worth that was earned.
func (t *Tally) Share() float64 { return t.Earned / t.Owed }

// Share returns the part of the worth that was earned.
func (q *QueueTally) Share() float64 { return q.Earned / q.Owed }

// Wait returns the wait for the first start that a share of the jobs stayed under.
func (q *QueueTally) Wait(share float64) time.Duration {
	if len(q.waits) == 0 {
		return 0
	}
	slices.Sort(q.waits)
	return q.waits[min(len(q.waits)-1, int(share*float64(len(q.waits))))]
}

// Packed returns the part of the workers' processors that was in use.
func (t *Tally) Packed() float64 { return t.BusyCoreSeconds / t.CapacityCoreSeconds }

// lateWorth is what a late job is worth, and lateTimes how many objectives it may
// take: the users' rules state both.
const (
	lateWorth = 0.2
	lateTimes = 3
)

// count notes how long a job took until it was done; zero if it never was.
func (t *Tally) count(p *plan, took time.Duration) {
	q := t.Queues[p.queue.Name]
	if p.hopeless {
		return
	}
	q.Jobs++
	earned := 0.0
	switch {
	case took <= 0 || took > lateTimes*p.objective:
		q.Lost++
	case took <= p.objective:
		q.OnTime++
		earned = p.worth
	default:
		q.Late++
		earned = lateWorth * p.worth
	}
	q.Earned += earned
	q.Owed += p.worth
	t.Earned += earned
	t.Owed += p.worth
}
