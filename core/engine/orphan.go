package engine

import (
	"slices"
	"time"
)

// orphanTime is how long the end of a task whose job was not heard of is kept back: the
// feed brings a stored job within a second or two, and outages of the store last up to
// fourteen.
const orphanRetention = 20 * time.Second

// orphan is the end of a task whose job the feed has not brought yet: a leader before
// this one was told of the job by another VM and started it. Were the end confirmed, the
// worker would forget it, and the task would run again once the job is heard of.
type orphanedResult struct {
	end    Ended
	worker *worker
	// until is when the end is given up.
	until time.Time
}

// stray is a run whose job the feed has not brought yet.
type orphanedRun struct {
	run *run
	// until is when the run is stopped.
	until time.Time
}

// keepStray lets a run go on until its job is heard of. The worker gets nothing more
// meanwhile, since it is not known what the run takes.
func (e *Engine) keepOrphanedRun(now time.Time, r *run) {
	e.log("run of an unheard job kept", "task", r.task, "run", r.run, "worker", r.worker.ID)
	e.orphanedRuns[r.task.Job] = append(e.orphanedRuns[r.task.Job], orphanedRun{run: r, until: now.Add(orphanRetention)})
}

// settleStrays takes in the runs that were kept for a job.
func (e *Engine) matchOrphanedRuns(now time.Time, j *job) {
	for _, s := range e.orphanedRuns[j.ID] {
		r := s.run
		if r.worker.runs[r.runKey] != r {
			continue
		}
		t := e.task(r.task)
		if t != nil {
			r.worker.setDemand(r, t.step.demand())
		}
		if t == nil || t.done || j.final() || t.run != nil {
			e.stop(now, r)
			continue
		}
		e.assignRun(r, t)
	}
	delete(e.orphanedRuns, j.ID)
}

// expireStrays stops runs whose job did not come.
func (e *Engine) expireOrphanedRuns(now time.Time) {
	for id, list := range e.orphanedRuns {
		kept := slices.DeleteFunc(list, func(s orphanedRun) bool {
			if now.Before(s.until) {
				return false
			}
			if s.run.worker.runs[s.run.runKey] == s.run {
				e.log("run is not wanted", "task", s.run.task, "run", s.run.run, "worker", s.run.worker.ID, "known", false)
				e.stop(now, s.run)
			}
			return true
		})
		if e.orphanedRuns[id] = kept; len(kept) == 0 {
			delete(e.orphanedRuns, id)
		}
	}
}

func (e *Engine) keepOrphanedResult(now time.Time, w *worker, end Ended) *orphanedResult {
	o := &orphanedResult{end: end, worker: w, until: now.Add(orphanRetention)}
	e.orphanedResults[end.Task.Job] = append(e.orphanedResults[end.Task.Job], o)
	return o
}

// settleOrphans takes in the ends that were kept for a job.
func (e *Engine) matchOrphanedResults(now time.Time, j *job) {
	for _, o := range e.orphanedResults[j.ID] {
		if t := e.task(o.end.Task); t != nil {
			e.log("end of an unheard job settled", "task", o.end.Task, "run", o.end.Run, "end", o.end.End, "worker", o.worker.ID)
			e.applyEnd(now, t, o.end.Run, o.end.End)
		}
		o.worker.releaseOrphanedResult(o, j)
	}
	delete(e.orphanedResults, j.ID)
}

// adoptOrphan lets the mark of a kept end wait for its job's commit.
func (w *worker) releaseOrphanedResult(o *orphanedResult, j *job) {
	for i := range w.pendingAcks {
		if w.pendingAcks[i].orphan == o {
			w.pendingAcks[i].orphan = nil
			if j != nil {
				w.pendingAcks[i].job, w.pendingAcks[i].revision = j, j.revision
			}
		}
	}
	w.advanceAcks()
}

// expireOrphans gives up ends whose job did not come.
func (e *Engine) expireOrphanedResults(now time.Time) {
	for id, list := range e.orphanedResults {
		var kept []*orphanedResult
		for _, o := range list {
			if now.Before(o.until) {
				kept = append(kept, o)
				continue
			}
			e.log("end of an unheard job given up", "task", o.end.Task, "run", o.end.Run, "end", o.end.End, "worker", o.worker.ID)
			o.worker.releaseOrphanedResult(o, nil)
		}
		if e.orphanedResults[id] = kept; len(kept) == 0 {
			delete(e.orphanedResults, id)
		}
	}
}
