package engine

import (
	"slices"
	"time"
)

// orphanRetention is the shortest time for which runs and results of unknown jobs are kept. They are
// kept on until the feed has delivered all jobs that were stored before they were listed.
const orphanRetention = 20 * time.Second

// orphanedResult is a result for a job that the feed has not delivered yet: a previous leader was
// notified of the job by another VM and started it. If the result were acknowledged, the worker
// would forget it, and the task would run again once the job is known.
type orphanedResult struct {
	result RunResult
	worker *worker
	// listedAt is when the result was first listed.
	listedAt time.Time
}

// orphanedRun is a run of a job that the feed has not delivered yet.
type orphanedRun struct {
	run *run
	// listedAt is when the run was first listed.
	listedAt time.Time
}

// jobIsUnknown reports whether no job is stored that a run or a result of an unknown job, which was
// listed at a time, can belong to.
func (e *Engine) jobIsUnknown(now, listedAt time.Time) bool {
	return now.Sub(listedAt) >= orphanRetention && e.jobsRead.After(listedAt)
}

// keepOrphanedRun lets a run continue until its job is known. The worker gets no new work
// meanwhile, since the run's demand is not known.
func (e *Engine) keepOrphanedRun(now time.Time, r *run) {
	e.log("keeping run of an unknown job", "task", r.task, "run", r.number, "worker", r.worker.ID)
	e.orphanedRuns[r.task.Job] = append(e.orphanedRuns[r.task.Job], orphanedRun{run: r, listedAt: now})
}

// matchOrphanedRuns assigns the kept runs of a job to its tasks.
func (e *Engine) matchOrphanedRuns(now time.Time, j *job) {
	for _, o := range e.orphanedRuns[j.ID] {
		r := o.run
		if r.worker.runs[r.runKey] != r {
			continue
		}
		t := e.task(r.task)
		if demand, known := e.demandOf(r.task); known {
			r.worker.setDemand(r, demand)
		}
		e.chargeRun(r)
		if t == nil || t.done || j.final() || t.run != nil {
			e.stopFor(now, r, WasteDuplicate)
			continue
		}
		e.assignRun(r, t)
	}
	delete(e.orphanedRuns, j.ID)
}

// expireOrphanedRuns stops kept runs whose job was not delivered in time.
func (e *Engine) expireOrphanedRuns(now time.Time) {
	for id, list := range e.orphanedRuns {
		kept := slices.DeleteFunc(list, func(o orphanedRun) bool {
			if !e.jobIsUnknown(now, o.listedAt) {
				return false
			}
			if o.run.worker.runs[o.run.runKey] == o.run {
				e.log("stopping unwanted run", "task", o.run.task, "run", o.run.number, "worker", o.run.worker.ID, "known", false)
				e.stopFor(now, o.run, WasteDuplicate)
			}
			return true
		})
		if e.orphanedRuns[id] = kept; len(kept) == 0 {
			delete(e.orphanedRuns, id)
		}
	}
}

func (e *Engine) keepOrphanedResult(now time.Time, w *worker, result RunResult) *orphanedResult {
	o := &orphanedResult{result: result, worker: w, listedAt: now}
	e.orphanedResults[result.Task.Job] = append(e.orphanedResults[result.Task.Job], o)
	return o
}

// matchOrphanedResults applies the kept results of a job.
func (e *Engine) matchOrphanedResults(now time.Time, j *job) {
	for _, o := range e.orphanedResults[j.ID] {
		if t := e.task(o.result.Task); t != nil {
			e.log("applied result of a job delivered late", "task", o.result.Task, "run", o.result.Run, "end", o.result.End, "worker", o.worker.ID)
			e.applyEnd(now, t, o.result.Run, o.result.End)
		}
		o.worker.releaseOrphanedResult(o, j)
	}
	delete(e.orphanedResults, j.ID)
}

// releaseOrphanedResult lets the acknowledgment of a kept result wait for its job's commit or, if
// j is nil, for nothing.
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

// expireOrphanedResults discards kept results whose job was not delivered in time.
func (e *Engine) expireOrphanedResults(now time.Time) {
	for id, list := range e.orphanedResults {
		var kept []*orphanedResult
		for _, o := range list {
			if !e.jobIsUnknown(now, o.listedAt) {
				kept = append(kept, o)
				continue
			}
			e.log("discarded result of an unknown job", "task", o.result.Task, "run", o.result.Run, "end", o.result.End, "worker", o.worker.ID)
			o.worker.releaseOrphanedResult(o, nil)
		}
		if e.orphanedResults[id] = kept; len(kept) == 0 {
			delete(e.orphanedResults, id)
		}
	}
}
