package engine

import (
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// recorded handles committed progress and advances the acknowledgments that waited for it.
func (e *Engine) recorded(ev Recorded) {
	for _, id := range ev.IDs {
		if j := e.jobs[id.Job]; j != nil {
			j.committed = max(j.committed, id.Revision)
		}
	}
	for _, w := range e.workers {
		w.advanceAcks()
	}
}

// recordRejected fails a job whose progress cannot be stored. Otherwise its results could never be
// acknowledged, nor those that the same workers report after them.
func (e *Engine) recordRejected(now time.Time, id ProgressID) {
	j := e.jobs[id.Job]
	if j == nil || j.final() {
		return
	}
	e.log("job fails because its progress cannot be stored", "job", id.Job, "revision", id.Revision)
	e.finalize(now, j, jobs.Failed)
}

// record returns the command that stores the job's progress.
func (e *Engine) record(j *job) Record {
	p := jobs.Progress{State: j.state, Started: j.started}
	if !j.final() {
		p.Done = slices.Clone(j.done)
		for _, o := range j.open {
			for _, s := range o.steps {
				if sp, hasProgress := s.progress(); hasProgress {
					p.Steps = append(p.Steps, sp)
				}
			}
		}
	}
	record := Record{ID: ProgressID{Job: j.ID, Revision: j.revision}, Progress: p}
	if e.mayClose(j) {
		closed := j.Closed(j.state)
		record.Closed = &closed
	}
	j.unclosed = j.final() && record.Closed == nil
	return record
}

func (s *step) progress() (jobs.StepProgress, bool) {
	sp := jobs.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step, Failures: s.failures, Crashes: s.crashes}
	switch s.tasksLeft {
	case 0:
		sp.AllDone = true
	case s.Count:
	default:
		for n, t := range s.tasks {
			if t.done {
				sp.Done = append(sp.Done, n)
			}
		}
	}
	return sp, sp.AllDone || len(sp.Done) > 0 || len(sp.Failures) > 0 || len(sp.Crashes) > 0
}

// Status is the state of a job as visible to its caller.
type Status struct {
	State jobs.State
	// Known is false for jobs that this engine has not loaded.
	Known bool
}

// Status returns the state of a job as visible to its caller. Done and Failed are visible only
// once they are stored; Canceled is visible at once.
func (e *Engine) Status(id jobs.ID) Status {
	j := e.jobs[id]
	switch {
	case j == nil:
		return Status{}
	case j.final() && j.committed >= j.finalRevision:
		return Status{State: j.state, Known: true}
	case j.state == jobs.Canceled:
		return Status{State: jobs.Canceled, Known: true}
	case j.started:
		return Status{State: jobs.Running, Known: true}
	default:
		return Status{State: jobs.Queued, Known: true}
	}
}

// PendingByQueue returns the number of jobs of each queue that are not known to have started.
func (e *Engine) PendingByQueue() map[string]int {
	counts := make(map[string]int)
	for _, j := range e.active {
		if !j.started {
			counts[j.Queue.Name]++
		}
	}
	return counts
}
