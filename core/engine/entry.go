package engine

import (
	"slices"
	"time"
)

// A worker's entry in the directory alone shows its capacity and labels, and whether it leaves; answers
// to polls prove none of that. While the store is away a worker may have changed without a sign, so an
// entry counts for a limited time only.

// directoryRead extends the time for which the entries of all listed workers count.
func (e *Engine) directoryRead(now time.Time, ev DirectoryRead) {
	for _, w := range e.sortedWorkers {
		if w.listed {
			e.entryWritten(now, w, ev.WrittenAfter)
		}
	}
	e.noteOutdated(now)
}

// entryPolled extends the time for which a worker's entry counts by a report, whose reading of the
// worker's clock tells how long ago the entry was written.
func (e *Engine) entryPolled(now time.Time, w *worker, ev WorkerPolled) {
	if w.Clock <= 0 || ev.Report.Clock < w.Clock || !w.entryStartedAt.Equal(w.StartedAt) {
		return
	}
	age := time.Duration(float64(ev.Report.Clock-w.Clock) / minClockRate)
	e.entryWritten(now, w, ev.Sent.Add(-age))
}

// entryWritten extends the time for which a worker's entry counts, which was written after the given
// time.
func (e *Engine) entryWritten(now time.Time, w *worker, after time.Time) {
	until := after.Add(e.opts.EntryTerm)
	if after.IsZero() || !until.After(w.entryUntil) {
		return
	}
	if !w.entryUntil.IsZero() && !isBefore(now, w.entryUntil) {
		// A worker that restarted meanwhile may not have replaced its entry yet.
		w.entryDoubtedSince = now
	}
	w.entryUntil = until
}

// entryCurrent reports whether runs may start by a worker's entry.
func (e *Engine) entryCurrent(now time.Time, w *worker) bool {
	return e.opts.unsafe.trustOldEntries || isBefore(now, w.entryUntil)
}

// mayStartSomewhere reports whether there is a worker on which runs may start.
func (e *Engine) mayStartSomewhere(now time.Time) bool {
	return slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool { return w.usable(now) && e.entryCurrent(now, w) })
}

// noteOutdated counts the workers whose entries are too old to start runs by, and logs when the first
// one is and when none is anymore.
func (e *Engine) noteOutdated(now time.Time) {
	listed, outdated := 0, 0
	for _, w := range e.sortedWorkers {
		if !w.listed {
			continue
		}
		listed++
		if !e.entryCurrent(now, w) {
			outdated++
		}
	}
	if (outdated > 0) != (e.outdatedWorkers > 0) {
		e.log("age of worker entries changed", "epoch", e.opts.Epoch, "too-old", outdated, "listed", listed)
	}
	e.outdatedWorkers = outdated
}

// OutdatedWorkers returns the number of listed workers whose entries are too old to start runs by, as of
// the last Tick.
func (e *Engine) OutdatedWorkers() int { return e.outdatedWorkers }

// isBefore reports whether a time has not been reached. A suspended VM's monotonic clock may have
// stood still, so the wall clock must agree.
func isBefore(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}
