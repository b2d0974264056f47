package engine

import (
	"strconv"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// runKey names a run.
type runKey struct {
	task jobs.TaskID
	run  int
}

// phase is what is known of a run.
type phase int

const (
	// starting runs were ordered and not answered.
	starting phase = iota
	// present runs were confirmed by the worker.
	present
	// doubtful runs were ordered and will not be answered.
	doubtful
	// stopping runs were told to stop.
	stopping
)

// run is a run that may be on a worker.
type run struct {
	runKey
	worker *worker
	each   roster.Resources
	// unsized says that each is not known.
	unsized bool
	// owner is nil for runs of tasks that this engine does not know.
	owner *task
	phase phase
	// fence is that of the order.
	fence int64
	// since is when the phase began.
	since      time.Time
	orderedAt  time.Time
	stopSentAt time.Time
	// stoppedAt is when the worker confirmed a stop.
	stoppedAt time.Time
	// listed says that a report of the worker's present life has listed the run.
	listed bool
	// repeated says that the order was sent twice, so that it can arrive again.
	repeated bool
	// ghost says that the order went out before the worker was known to have started anew.
	ghost bool
	// percent is how much of the work is done, startPercent what the first report
	// said, and movedAt when it last grew.
	percent, startPercent int
	reported              bool
	movedAt               time.Time
	// resumed says that the run began from a checkpoint.
	resumed bool
}

// arrive notes that the worker has the run, or had it.
func (r *run) arrive() {
	r.ghost = false
	if r.owner != nil {
		r.owner.step.job.begun = true
	}
}

// running takes in one run that a worker lists.
func (e *Engine) running(now time.Time, w *worker, row ActiveRun) {
	key := runKey{row.Task, row.Run}
	r := w.runs[key]
	if r == nil {
		r = e.adopt(now, w, row)
	}
	r.arrive()
	r.listed = true
	if r.phase == starting || r.phase == doubtful {
		r.phase, r.since = present, now
	}
	if row.Percent != r.percent {
		r.percent, r.movedAt = row.Percent, now
	}
	if !r.reported {
		r.reported = true
		if r.resumed {
			r.startPercent = row.Percent
		}
	}
	if r.owner != nil && row.Checkpoint != "" && r.phase == present {
		r.owner.saved = row.Checkpoint
	}
}

// adopt takes in a run that another leader started, or that came late.
func (e *Engine) adopt(now time.Time, w *worker, row ActiveRun) *run {
	r := &run{runKey: runKey{row.Task, row.Run}, worker: w, phase: present, since: now, orderedAt: now, movedAt: now, resumed: true}
	t := e.task(row.Task)
	if t != nil {
		r.each = t.step.room()
	}
	r.unsized = t == nil
	w.add(r)
	if e.jobs[row.Task.Job] == nil && !e.opts.unsafe.forgetOrphans {
		e.keepStray(now, r)
		return r
	}
	if t == nil || t.done || t.step.job.final() || t.run != nil {
		e.log("run is not wanted", "task", row.Task, "run", row.Run, "worker", w.ID, "known", t != nil)
		e.stop(now, r)
		return r
	}
	e.own(r, t)
	return r
}

// own makes a run that was found the run of its task.
func (e *Engine) own(r *run, t *task) {
	r.owner = t
	t.run = r
	t.step.lastRun = max(t.step.lastRun, r.run)
	e.log("run adopted", "task", r.task, "run", r.run, "worker", r.worker.ID)
}

// missing looks for runs that a report should have listed.
func (e *Engine) missing(now time.Time, w *worker, sent time.Time, listed map[runKey]bool) {
	if len(w.runs) == len(listed) {
		return // a report's runs are all known, so none is missing
	}
	for _, r := range w.sortedRuns() {
		if listed[r.runKey] {
			continue
		}
		switch {
		case r.ghost && sent.After(r.since):
			e.presume(now, r, jobs.EndExpired, "the worker started anew and does not list it")
		case r.phase == present && sent.After(r.since):
			e.presume(now, r, jobs.EndExpired, "the worker no longer lists it")
		case r.phase == doubtful && sent.After(r.since):
			e.stop(now, r)
		case r.phase == stopping && !r.stoppedAt.IsZero() && sent.After(r.stoppedAt):
			e.presume(now, r, jobs.EndStopped, "a stop was confirmed and the worker does not list it")
		}
	}
}

// ended takes in one end that a worker lists.
func (e *Engine) ended(now time.Time, w *worker, end RunResult) {
	if end.Sequence <= w.seen {
		return
	}
	w.seen = end.Sequence
	key := runKey{end.Task, end.Run}
	r := w.runs[key]
	t := e.task(end.Task)
	if r != nil {
		r.arrive()
		e.finish(now, r, end.End, end.Checkpoint)
	} else if t != nil {
		e.settleEnd(now, t, end.Run, end.End)
	}
	w.health.observe(now, end.End, end.Task.Job)
	mark := ackMark{sequence: end.Sequence}
	switch {
	case e.opts.unsafe.confirmEarly:
	case t != nil:
		mark.job, mark.revision = t.step.job, t.step.job.revision
	case e.jobs[end.Task.Job] == nil && !e.opts.unsafe.forgetOrphans:
		mark.orphan = e.keepOrphan(now, w, end)
	}
	w.marks = append(w.marks, mark)
}

// logEnds writes one line about the ends that a report brings: each as a task, the number
// of its run and how it ended, with a question mark where the run was not known.
func (e *Engine) logEnds(w *worker, ends []RunResult) {
	if e.opts.Logger == nil {
		return
	}
	var list []byte
	for _, end := range ends {
		if end.Sequence <= w.seen {
			continue
		}
		if len(list) > 0 {
			list = append(list, ' ')
		}
		list = append(append(list, end.Task.String()...), '#')
		list = strconv.AppendInt(list, int64(end.Run), 10)
		list = append(append(list, '='), end.End.String()...)
		if w.runs[runKey{end.Task, end.Run}] == nil {
			list = append(list, '?')
		}
	}
	if len(list) > 0 {
		e.log("runs ended", "worker", w.ID, "ends", string(list))
	}
}

// stop orders a run to end. It keeps its room until the end is proved.
func (e *Engine) stop(now time.Time, r *run) {
	if r.phase != stopping {
		r.phase, r.since = stopping, now
		r.worker.stopping++
	}
	r.stopSentAt = now
	e.counters.Stops++
	e.emit(Stop{Destination: r.worker.target(), Task: r.task, Run: r.run, Fence: e.fence(r.worker)})
}

// repeatStops sends stops again that the worker has not confirmed, or that it
// has confirmed without ending the run.
func (e *Engine) repeatStops(now time.Time, w *worker) {
	if w.stopping == 0 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.phase == stopping && !r.ghost && now.Sub(r.stopSentAt) > stopRepeat && (r.stoppedAt.IsZero() || now.Sub(r.stoppedAt) > stopRepeat+e.opts.StopTime) {
			e.stop(now, r)
		}
	}
}

func compareRuns(a, b runKey) int {
	if c := strings.Compare(string(a.task.Job), string(b.task.Job)); c != 0 {
		return c
	}
	for _, c := range []int{
		a.task.Occurrence - b.task.Occurrence, a.task.Step - b.task.Step, a.task.Index - b.task.Index, a.run - b.run,
	} {
		if c != 0 {
			return c
		}
	}
	return 0
}
