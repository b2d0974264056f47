package engine

import (
	"maps"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// lostAfter is the time without an answer after which a worker's runs are recorded by job. The
// worker gets no new work from then on.
const lostAfter = maxReportAge

// Roster is what a leader records for the next one: the workers that may have runs.
type Roster struct {
	// Workers holds the IDs of the workers that the leader may use or that may have runs of it,
	// sorted.
	Workers []string
	// Lost holds those of the workers that are leaving or do not answer, with the jobs that may
	// have runs there, or results that are not stored. No other job may: nothing is started on a
	// worker that is recorded as lost.
	Lost map[string][]jobs.ID
}

// WantedRoster returns the roster to record, and whether it must be recorded before this leader
// can use all of its workers, or take a lease for expired. A later leader polls the recorded workers before it starts anything
// again, so a worker must not be used before it is recorded.
func (e *Engine) WantedRoster(now time.Time) (wanted Roster, urgent bool) {
	wanted.Lost = make(map[string][]jobs.ID)
	for _, w := range e.sortedWorkers {
		urgent = urgent || e.awaitsConfirmation(now, w)
		if !w.listed && len(w.unsettledJobs()) == 0 && !e.isPreviousWorker(w.ID) {
			continue
		}
		wanted.Workers = append(wanted.Workers, w.ID)
		if w.isKnownHere(e) && (w.Leaving || !w.listed || now.Sub(w.lastSeen) > lostAfter) {
			wanted.Lost[w.ID] = w.unsettledJobs()
			continue
		}
		urgent = urgent || !e.inRecordedRoster(w.ID)
	}
	for id, ids := range e.previousWorkers {
		if e.workers[id] == nil {
			wanted.Workers = append(wanted.Workers, id)
		}
		if ids != nil {
			wanted.Lost[id] = ids
		}
	}
	slices.Sort(wanted.Workers)
	return wanted, urgent
}

// RosterSent notifies the engine that a roster is being recorded. Until the outcome is known,
// workers that it lists as lost count as lost.
func (e *Engine) RosterSent(r Roster) {
	lost := maps.Clone(e.roster.Lost)
	if lost == nil {
		lost = make(map[string][]jobs.ID)
	}
	maps.Copy(lost, r.Lost)
	e.roster.Lost = lost
}

// RosterRecorded sets the recorded roster.
func (e *Engine) RosterRecorded(r Roster) { e.roster = r }

// inRecordedRoster reports whether a worker is recorded and not lost, so that work may go to it.
func (e *Engine) inRecordedRoster(id string) bool {
	_, found := slices.BinarySearch(e.roster.Workers, id)
	_, lost := e.roster.Lost[id]
	return found && !lost
}

func (e *Engine) isPreviousWorker(id string) bool {
	_, found := e.previousWorkers[id]
	return found
}

// isKnownHere reports whether all jobs that may have runs on the worker are known to this engine: it
// has polled the worker, and no run of previous leaders can be left there.
func (w *worker) isKnownHere(e *Engine) bool {
	return !w.lastSeen.IsZero() && !e.isPreviousWorker(w.ID)
}

// unsettledJobs returns the IDs of the jobs that may have runs on a worker, or have results there
// that are not stored, sorted. A later leader learns of such results from the worker alone.
func (w *worker) unsettledJobs() []jobs.ID {
	set := make(map[jobs.ID]bool)
	for key := range w.runs {
		set[key.task.Job] = true
	}
	for _, ack := range w.pendingAcks {
		switch {
		case ack.committed():
		case ack.orphan != nil:
			set[ack.orphan.result.Task.Job] = true
		default:
			set[ack.job.ID] = true
		}
	}
	ids := make([]jobs.ID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// previousRunsResolved reports whether no unknown run of a job can be left from an earlier
// leader: all workers that may have one were polled, or their leases have expired.
func (e *Engine) previousRunsResolved(j *job) bool {
	if !j.inherited || e.opts.unsafe.skipPreviousWorkers {
		return true
	}
	for _, ids := range e.previousWorkers {
		if ids == nil {
			return false
		}
		if _, listed := slices.BinarySearch(ids, j.ID); listed {
			return false
		}
	}
	return true
}
