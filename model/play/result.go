package play

import (
	"slices"
	"time"
)

// Result holds the value that callers got from a simulation and the resources it used.
type Result struct {
	Queues map[string]*QueueResult
	// Earned is the value of the completed jobs, reduced for late ones. Attainable is the full value
	// of all jobs that can succeed.
	Earned, Attainable float64
	// BusyCoreSeconds covers all runs that ended on a worker, WastedCoreSeconds those among them
	// that did not succeed.
	BusyCoreSeconds, WastedCoreSeconds float64
	// CapacityCoreSeconds is the capacity of all workers over the arrival period. Lost workers are
	// not subtracted.
	CapacityCoreSeconds           float64
	Starts, Stops, AdviceRequests int
	// InvalidTickets counts starts that a worker refused for lack of a valid ticket.
	InvalidTickets int
	// AdviserTime is the time that the adviser took for all requests together.
	AdviserTime time.Duration
	// LongestPass is the longest scheduling pass of the engine, in real time.
	LongestPass time.Duration
	// Organizations holds the value by organization, Seconds that by the second of the first
	// submission.
	Organizations map[string]*Part
	Seconds       map[int]*Part
	// WastedByCause holds the core-seconds of runs that did not succeed, by cause.
	WastedByCause map[string]float64
	// LostCoreSeconds is what runs of jobs used that ended worthless or did not end.
	LostCoreSeconds float64
	// DetectedAfter holds, for each faulty worker that was withheld during its fault, the time from the
	// begin of the fault, and ReturnedAfter the time from the end of the fault to full use.
	DetectedAfter, ReturnedAfter []time.Duration
	// FaultyWithheld is the time for which workers were withheld or on probation during their faults,
	// SoundWithheld the same for workers without fault.
	FaultyWithheld, SoundWithheld time.Duration
	// MostWithheld is the largest number of workers that were withheld or on probation because of their
	// grades at the same time.
	MostWithheld int
	// Refusals counts refused submissions by reason.
	Refusals map[string]int
}

// QueueResult holds the result for the jobs of one queue. Doomed jobs count only in startWaits.
type QueueResult struct {
	Jobs, OnTime, Late, Lost int
	Earned, Attainable       float64
	// Refused counts the jobs, of those lost, whose every submission was refused. The others waited
	// in vain.
	Refused int
	// LostValue is the full value of the lost jobs, LateValue that of the late ones.
	LostValue, LateValue float64
	// startWaits are the times from arrival to the first start, of all jobs that started.
	startWaits []time.Duration
}

// Share returns the earned part of the attainable value.
func (t *Result) Share() float64 { return t.Earned / t.Attainable }

// Share returns the earned part of the attainable value.
func (q *QueueResult) Share() float64 { return q.Earned / q.Attainable }

// StartWait returns a quantile of the times from arrival to the first start; share is from 0 to 1.
// It returns 0 if no job started.
func (q *QueueResult) StartWait(share float64) time.Duration {
	if len(q.startWaits) == 0 {
		return 0
	}
	slices.Sort(q.startWaits)
	return q.startWaits[min(len(q.startWaits)-1, int(share*float64(len(q.startWaits))))]
}

// Utilization returns the part of the workers' processor time that was in use. It can exceed 1,
// since runs after the arrival period count as use and not as capacity.
func (t *Result) Utilization() float64 { return t.BusyCoreSeconds / t.CapacityCoreSeconds }

// lateValueShare is the part of its value that a late job yields, and maxLateFactor how many times
// its objective a job may take to yield it. The platform's published rules state both.
const (
	lateValueShare = 0.2
	maxLateFactor  = 3
)

// addJob adds a job that took elapsed from arrival to completion; zero means that it never
// completed. Doomed jobs are not counted.
func (t *Result) addJob(p *simJob, elapsed time.Duration) {
	q := t.Queues[p.queue.Name]
	if p.doomed || p.canceledAfter > 0 {
		return
	}
	q.Jobs++
	earned := 0.0
	switch {
	case elapsed <= 0 || elapsed > maxLateFactor*p.objective:
		q.Lost++
		q.LostValue += p.value
		if p.refused != "" {
			q.Refused++
		}
	case elapsed <= p.objective:
		q.OnTime++
		earned = p.value
	default:
		q.Late++
		q.LateValue += p.value
		earned = lateValueShare * p.value
	}
	q.Earned += earned
	q.Attainable += p.value
	t.Earned += earned
	t.Attainable += p.value
	addPart(t.Organizations, p.Organization, earned, p.value)
	addPart(t.Seconds, int(p.arrivalOffset/time.Second), earned, p.value)
}
