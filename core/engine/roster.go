package engine

import (
	"maps"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// lostAfter is how long a worker must not have answered for its runs to be put on
// record by job. It gets no new work from then on.
const lostAfter = maxReportAge

// Roster is what a leader puts on record for the next one: where runs may be.
type Roster struct {
	// Workers are those that the leader may use, or that may have runs of it.
	Workers []string
	// Lost has those of them that leave or do not answer, with the jobs that may run
	// there. Nothing else may: nothing is started on a worker that is on record here.
	Lost map[string][]jobs.ID
}

// WantedRoster returns the workers that this leader may use, and whether that must
// be on record before it can use all of them. A later leader looks at the workers
// on record before it starts anything again, so none may be used before.
func (e *Engine) WantedRoster(now time.Time) (wanted Roster, urgent bool) {
	wanted.Lost = make(map[string][]jobs.ID)
	for _, w := range e.sortedWorkers {
		if !w.listed && len(w.runs) == 0 && !e.isPreviousWorker(w.ID) {
			continue
		}
		wanted.Workers = append(wanted.Workers, w.ID)
		if w.synced && (w.Leaving || !w.listed || now.Sub(w.lastSeen) > lostAfter) {
			wanted.Lost[w.ID] = w.runningJobs()
			continue
		}
		urgent = urgent || !e.inRecordedRoster(w.ID)
	}
	for id, ids := range e.previousWorkers {
		if e.workers[id] == nil || !e.workers[id].synced {
			if e.workers[id] == nil {
				wanted.Workers = append(wanted.Workers, id)
			}
			if ids != nil {
				wanted.Lost[id] = ids
			}
		}
	}
	slices.Sort(wanted.Workers)
	return wanted, urgent
}

// RosterSent says that a roster is on its way to the record. Until it is known
// what became of it, workers that it calls lost count as such.
func (e *Engine) RosterSent(r Roster) {
	lost := maps.Clone(e.roster.Lost)
	if lost == nil {
		lost = make(map[string][]jobs.ID)
	}
	maps.Copy(lost, r.Lost)
	e.roster.Lost = lost
}

// RosterRecorded says what is on record now.
func (e *Engine) RosterRecorded(r Roster) { e.roster = r }

// onRecord reports whether work may go to a worker.
func (e *Engine) inRecordedRoster(id string) bool {
	_, found := slices.BinarySearch(e.roster.Workers, id)
	_, lost := e.roster.Lost[id]
	return found && !lost
}

func (e *Engine) isPreviousWorker(id string) bool {
	_, found := e.previousWorkers[id]
	return found
}

// jobsOfRuns returns the jobs that may run on a worker.
func (w *worker) runningJobs() []jobs.ID {
	set := make(map[jobs.ID]bool)
	for key := range w.runs {
		set[key.task.Job] = true
	}
	ids := make([]jobs.ID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settled reports whether no unknown run of a job by an earlier leader can be
// left: all workers where it may be were looked at, or their leases have lapsed.
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
