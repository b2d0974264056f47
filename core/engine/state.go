package engine

import (
	"tanagerstack.org/core/jobs"
)

// recorded takes in what was committed and what ends may be confirmed now.
func (e *Engine) recorded(ev Recorded) {
	for _, mark := range ev.IDs {
		if j := e.jobs[mark.Job]; j != nil {
			j.committed = max(j.committed, mark.Revision)
		}
	}
	for _, w := range e.workers {
		w.advanceMarks()
	}
}

// closed returns what is kept of a job that is final.
func (j *job) closed() jobs.Job {
	return jobs.Job{ID: j.ID, Queue: jobs.Queue{Name: j.Queue.Name}, ArrivedAt: j.ArrivedAt, FinalState: j.state}
}

// record returns the command that stores the job's progress.
func (j *job) record() Record {
	p := jobs.Progress{State: j.state, Started: j.begun}
	if !j.final() {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if sp, any := s.progress(); any {
					p.Steps = append(p.Steps, sp)
				}
			}
		}
	}
	record := Record{ID: ProgressID{Job: j.ID, Revision: j.revision}, Progress: p}
	if j.final() {
		closed := j.closed()
		record.Closed = &closed
	}
	return record
}

func (s *step) progress() (jobs.StepProgress, bool) {
	sp := jobs.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step, Failures: s.failures}
	switch s.left {
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
	return sp, sp.AllDone || len(sp.Done) > 0 || len(sp.Failures) > 0
}

// Status is what a caller may be told of a job.
type Status struct {
	State jobs.State
	// Known is false for jobs that this engine has not taken in.
	Known bool
}

// Status returns what a caller may be told: a final state only once it is stored.
func (e *Engine) Status(id jobs.ID) Status {
	j := e.jobs[id]
	switch {
	case j == nil:
		return Status{}
	case j.final() && j.committed >= j.revision:
		return Status{State: j.state, Known: true}
	case j.state == jobs.Canceled:
		return Status{State: jobs.Canceled, Known: true}
	case j.begun:
		return Status{State: jobs.Running, Known: true}
	default:
		return Status{State: jobs.Queued, Known: true}
	}
}

// Pending returns how many jobs of each queue have not begun.
func (e *Engine) PendingByQueue() map[string]int {
	counts := make(map[string]int)
	for _, j := range e.active {
		if !j.begun {
			counts[j.Queue.Name]++
		}
	}
	return counts
}
