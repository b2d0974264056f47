package engine

import (
	"slices"
	"time"
)

// orphanTime is how long the end of a task whose job was not heard of is kept back: the
// feed brings a stored job within a second or two, and outages of the store last up to
// fourteen.
const orphanTime = 20 * time.Second

// orphan is the end of a task whose job the feed has not brought yet: a leader before
// this one was told of the job by another VM and started it. Were the end confirmed, the
// worker would forget it, and the task would run again once the job is heard of.
type orphan struct {
	end    RunResult
	worker *worker
	// until is when the end is given up.
	until time.Time
}

// stray is a run whose job the feed has not brought yet.
type stray struct {
	run *run
	// until is when the run is stopped.
	until time.Time
}

// keepStray lets a run go on until its job is heard of. The worker gets nothing more
// meanwhile, since it is not known what the run takes.
func (e *Engine) keepStray(now time.Time, r *run) {
	e.log("run of an unheard job kept", "task", r.task, "run", r.run, "worker", r.worker.ID)
	e.strays[r.task.Job] = append(e.strays[r.task.Job], stray{run: r, until: now.Add(orphanTime)})
}

// settleStrays takes in the runs that were kept for a job.
func (e *Engine) settleStrays(now time.Time, j *job) {
	for _, s := range e.strays[j.ID] {
		r := s.run
		if r.worker.runs[r.runKey] != r {
			continue
		}
		t := e.task(r.task)
		if t != nil {
			r.worker.size(r, t.step.room())
		}
		if t == nil || t.done || j.final() || t.run != nil {
			e.stop(now, r)
			continue
		}
		e.own(r, t)
	}
	delete(e.strays, j.ID)
}

// expireStrays stops runs whose job did not come.
func (e *Engine) expireStrays(now time.Time) {
	for id, list := range e.strays {
		kept := slices.DeleteFunc(list, func(s stray) bool {
			if now.Before(s.until) {
				return false
			}
			if s.run.worker.runs[s.run.runKey] == s.run {
				e.log("run is not wanted", "task", s.run.task, "run", s.run.run, "worker", s.run.worker.ID, "known", false)
				e.stop(now, s.run)
			}
			return true
		})
		if e.strays[id] = kept; len(kept) == 0 {
			delete(e.strays, id)
		}
	}
}

func (e *Engine) keepOrphan(now time.Time, w *worker, end RunResult) *orphan {
	o := &orphan{end: end, worker: w, until: now.Add(orphanTime)}
	e.orphans[end.Task.Job] = append(e.orphans[end.Task.Job], o)
	return o
}

// settleOrphans takes in the ends that were kept for a job.
func (e *Engine) settleOrphans(now time.Time, j *job) {
	for _, o := range e.orphans[j.ID] {
		if t := e.task(o.end.Task); t != nil {
			e.log("end of an unheard job settled", "task", o.end.Task, "run", o.end.Run, "end", o.end.End, "worker", o.worker.ID)
			e.settleEnd(now, t, o.end.Run, o.end.End)
		}
		o.worker.adoptOrphan(o, j)
	}
	delete(e.orphans, j.ID)
}

// adoptOrphan lets the mark of a kept end wait for its job's commit.
func (w *worker) adoptOrphan(o *orphan, j *job) {
	for i := range w.marks {
		if w.marks[i].orphan == o {
			w.marks[i].orphan = nil
			if j != nil {
				w.marks[i].job, w.marks[i].revision = j, j.revision
			}
		}
	}
	w.advanceMarks()
}

// expireOrphans gives up ends whose job did not come.
func (e *Engine) expireOrphans(now time.Time) {
	for id, list := range e.orphans {
		var kept []*orphan
		for _, o := range list {
			if now.Before(o.until) {
				kept = append(kept, o)
				continue
			}
			e.log("end of an unheard job given up", "task", o.end.Task, "run", o.end.Run, "end", o.end.End, "worker", o.worker.ID)
			o.worker.adoptOrphan(o, nil)
		}
		if e.orphans[id] = kept; len(kept) == 0 {
			delete(e.orphans, id)
		}
	}
}
