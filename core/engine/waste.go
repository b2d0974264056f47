package engine

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// WasteCause tells why the work of a run was of no use.
type WasteCause int

// The causes of wasted work. The causes of stops come first: the one that was noted first counts.
const (
	noWaste WasteCause = iota
	// WasteCanceled runs belonged to a job that was canceled.
	WasteCanceled
	// WastePreempted runs were stopped in favor of more urgent work.
	WastePreempted
	// WasteMoved runs were stopped because their worker was slow.
	WasteMoved
	// WasteGang runs ended because another member of their gang did.
	WasteGang
	// WasteExpired runs ended because their lease expired or their worker was lost.
	WasteExpired
	// WasteFailed runs failed, or belonged to a job that did.
	WasteFailed
	// WasteDuplicate runs belonged to a task that was done or runs elsewhere.
	WasteDuplicate
	wasteCauses
)

// String returns the cause as written in logs and metrics.
func (c WasteCause) String() string {
	return [...]string{"none", "canceled", "preempted", "moved", "gang", "expired", "failed", "duplicate"}[c]
}

// WastedCoreSeconds returns the core-seconds of runs that were of no use, by cause. They include what a
// checkpoint of the run has saved.
func (e *Engine) WastedCoreSeconds() map[WasteCause]float64 {
	sums := make(map[WasteCause]float64, wasteCauses)
	for cause := WasteCanceled; cause < wasteCauses; cause++ {
		sums[cause] = e.wasted[cause]
	}
	return sums
}

// stopFor stops a run and notes why, unless it is being stopped for another cause already.
func (e *Engine) stopFor(now time.Time, r *run, cause WasteCause) {
	if r.waste == noWaste {
		r.waste = cause
	}
	e.stop(now, r)
}

// noteWaste counts the work of an ended run that was of no use. A run that was stopped and is done
// nevertheless counts as done.
func (e *Engine) noteWaste(now time.Time, r *run, end jobs.End) {
	cause := r.waste
	switch end {
	case jobs.EndDone:
		return
	case jobs.EndFailed:
		cause = WasteFailed
	case jobs.EndExpired:
		cause = WasteExpired
	case jobs.EndGangBroken, jobs.EndGangIncomplete:
		cause = WasteGang
	}
	if cause == noWaste {
		cause = WasteDuplicate
	}
	e.wasted[cause] += now.Sub(r.startSentAt).Seconds() * float64(r.demand.Millicores) / 1000
}
