package engine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// runKey identifies a run.
type runKey struct {
	task   jobs.TaskID
	number int
}

// phase is the state of a run as far as the engine knows.
type phase int

const (
	// starting runs were commanded and the answer is outstanding.
	starting phase = iota
	// confirmed runs were confirmed by the worker.
	confirmed
	// unanswered runs were commanded and no answer will arrive.
	unanswered
	// stopping runs were commanded to stop.
	stopping
)

// String returns the phase as written in logs.
func (p phase) String() string {
	return [...]string{"starting", "confirmed", "unanswered", "stopping"}[p]
}

// run is a run that may exist on a worker.
type run struct {
	runKey
	worker *worker
	demand roster.Resources
	// demandUnknown is set if the run's demand is not known.
	demandUnknown bool
	// owner is the task of the run, or nil if this engine does not know the task or does not want
	// the run.
	owner *task
	phase phase
	// fence is the fencing token of the start command.
	fence int64
	// phaseSince is the time at which the phase began.
	phaseSince  time.Time
	startSentAt time.Time
	stopSentAt  time.Time
	// stopConfirmedAt is the time at which the worker confirmed a stop, or zero.
	stopConfirmedAt time.Time
	// arrived is set once the worker has told that it has or had the run.
	arrived bool
	// listed is set if a report of the worker's current incarnation has listed the run.
	listed bool
	// missingSince is the time of the first of the reports in a row that lack the run, or zero.
	missingSince time.Time
	// repeated is set if the start command was sent twice, so that a copy may still arrive.
	repeated bool
	// sentBeforeRestart is set if the start command was sent before the engine knew that the
	// worker had restarted.
	sentBeforeRestart bool
	// crash tells whether the run ends because its worker crashed.
	crash crashEvidence
	// percent is the share of the work that is done, startPercent the share in the first report
	// of a resumed run, and progressAt the time at which percent last changed.
	percent, startPercent int
	reported              bool
	progressAt            time.Time
	// resumed is set if the run began from a checkpoint.
	resumed bool
	// charge is what the run adds to the usage of its organization.
	charge charge
	// waste is why the run was stopped.
	waste WasteCause
	// lowerBound is the age at which the run was observed last, or zero, and boundDueAt the time at
	// which it is observed next unless it ends.
	lowerBound time.Duration
	boundDueAt time.Time
}

// confirmArrival records that the worker has or had the run.
func (r *run) confirmArrival() {
	r.arrived, r.sentBeforeRestart, r.crash = true, false, noCrash
	if r.owner != nil {
		r.owner.step.job.started = true
	}
}

// markSentBeforeRestart records that the start command may have reached an earlier incarnation of
// the worker, or may reach the present one.
func (r *run) markSentBeforeRestart(now time.Time) {
	r.listed, r.missingSince = false, time.Time{}
	r.sentBeforeRestart, r.phaseSince = true, now
}

// runReported handles a run that a worker's report lists as running.
func (e *Engine) runReported(now time.Time, w *worker, active ActiveRun) {
	key := runKey{active.Task, active.Run}
	r := w.runs[key]
	if r == nil {
		r = e.adoptRun(now, w, active)
	}
	r.confirmArrival()
	r.listed, r.missingSince = true, time.Time{}
	if r.phase == starting || r.phase == unanswered {
		r.phase, r.phaseSince = confirmed, now
	}
	if active.Percent != r.percent {
		r.percent, r.progressAt = active.Percent, now
	}
	if !r.reported {
		r.reported = true
		if r.resumed {
			r.startPercent = active.Percent
		}
	}
	if r.owner != nil && active.Checkpoint != "" && r.phase == confirmed {
		r.owner.checkpoint = active.Checkpoint
	}
}

// adoptRun adds a reported run that this engine did not start, or had already given up, and stops
// it if it is not wanted.
func (e *Engine) adoptRun(now time.Time, w *worker, active ActiveRun) *run {
	r := &run{runKey: runKey{active.Task, active.Run}, worker: w, phase: confirmed, phaseSince: now, startSentAt: now, progressAt: now, resumed: true}
	t := e.task(active.Task)
	demand, known := e.demandOf(active.Task)
	r.demand, r.demandUnknown = demand, !known
	w.add(r)
	e.chargeRun(r)
	if e.jobs[active.Task.Job] == nil && !e.opts.unsafe.forgetOrphans {
		e.keepOrphanedRun(now, r)
		return r
	}
	if t == nil || t.done || t.step.job.final() || t.run != nil {
		e.log("stopping unwanted run", "task", active.Task, "run", active.Run, "worker", w.ID, "known", t != nil)
		e.stopFor(now, r, WasteDuplicate)
		return r
	}
	e.assignRun(r, t)
	return r
}

// assignRun makes an adopted run the run of its task.
func (e *Engine) assignRun(r *run, t *task) {
	r.owner = t
	t.run = r
	t.step.lastRun = max(t.step.lastRun, r.number)
	if t.isolated() {
		e.keep(r.worker, t)
	}
	e.log("run adopted", "task", r.task, "run", r.number, "worker", r.worker.ID)
}

// checkMissingRuns handles known runs that a complete report does not list. Sent is the time at
// which the poll was sent. Runs of unclear tasks may be listed. A run counts as ended once two
// reports in a row lack it: a worker may take its two lists at different instants, so that a run
// that ends in between is in neither.
func (e *Engine) checkMissingRuns(now time.Time, w *worker, sent time.Time, listed map[runKey]bool, unclear map[jobs.TaskID]bool) {
	if len(w.runs) == len(listed) {
		return // the report's runs are all known here, so none is missing
	}
	for _, r := range w.sortedRuns() {
		if listed[r.runKey] || unclear[r.task] {
			continue
		}
		if r.phase == unanswered && sent.After(r.phaseSince) && !r.sentBeforeRestart {
			e.stopFor(now, r, WasteDuplicate)
			continue
		}
		end, why := r.provedEnd(sent)
		switch {
		case why == "":
		case r.missingSince.IsZero():
			r.missingSince = now
			w.recheck = true
		case sent.After(r.missingSince):
			e.presumeEnded(now, r, end, why)
		default:
			w.recheck = true
		}
	}
}

// provedEnd returns how a run has ended that the report to a poll sent at the given time lacks, and
// why. It returns no reason if the report proves nothing about the run.
func (r *run) provedEnd(sent time.Time) (end jobs.End, why string) {
	switch {
	case r.sentBeforeRestart && sent.After(r.phaseSince):
		return jobs.EndExpired, "the worker restarted and does not list it"
	case r.phase == confirmed && sent.After(r.phaseSince):
		return jobs.EndExpired, "the worker no longer lists it"
	case r.phase == stopping && !r.stopConfirmedAt.IsZero() && sent.After(r.stopConfirmedAt):
		return jobs.EndStopped, "a stop was confirmed and the worker does not list it"
	default:
		return jobs.EndUnknown, ""
	}
}

// resultReported handles a result that a worker's report lists. Results that were handled before
// are skipped.
func (e *Engine) resultReported(now time.Time, w *worker, result RunResult) {
	position, handled := w.findAck(result.Sequence)
	if handled {
		return
	}
	w.lastSequence = max(w.lastSequence, result.Sequence)
	key := runKey{result.Task, result.Run}
	r := w.runs[key]
	t, j := e.task(result.Task), e.jobs[result.Task.Job]
	if r != nil {
		r.confirmArrival()
		e.endRun(now, r, result.End, result.Checkpoint)
	}
	// An end counts even if this leader gave the run up, or stops it in favor of another one.
	isFinal := result.End == jobs.EndDone || result.End == jobs.EndFailed
	if t != nil && (r == nil || r.owner == nil && isFinal) {
		e.applyEnd(now, t, result.Run, result.End)
	}
	startedAt := time.Time{}
	if r != nil {
		startedAt = r.startSentAt
	}
	e.runEnded(now, w, result, startedAt)
	ack := pendingAck{sequence: result.Sequence, listedAt: now}
	switch {
	case e.opts.unsafe.ackEarly:
	case j != nil:
		ack.job, ack.revision = j, j.revision
	case !e.opts.unsafe.forgetOrphans:
		ack.orphan = e.keepOrphanedResult(now, w, result)
	}
	w.pendingAcks = slices.Insert(w.pendingAcks, position, ack)
}

// logResults logs the new results of a report in one line, each as a task, a run number and an
// end, followed by a question mark if the run is not known.
func (e *Engine) logResults(w *worker, results []RunResult) {
	if e.opts.Logger == nil {
		return
	}
	var list []byte
	for _, result := range results {
		if _, handled := w.findAck(result.Sequence); handled {
			continue
		}
		if len(list) > 0 {
			list = append(list, ' ')
		}
		list = append(append(list, result.Task.String()...), '#')
		list = strconv.AppendInt(list, int64(result.Run), 10)
		list = append(append(list, '='), result.End.String()...)
		if w.runs[runKey{result.Task, result.Run}] == nil {
			list = append(list, '?')
		}
	}
	if len(list) > 0 {
		e.log("runs ended", "worker", w.ID, "ends", string(list))
	}
}

// stop commands a run to end. The run occupies capacity until its end is proved.
func (e *Engine) stop(now time.Time, r *run) {
	if r.phase != stopping {
		r.phase, r.phaseSince = stopping, now
		r.worker.stopping++
	}
	r.stopSentAt = now
	e.counters.Stops++
	e.emit(Stop{Destination: r.worker.destination(), Task: r.task, Run: r.number, Fence: e.fence(r.worker)})
}

// retryStops sends stops again that the worker has not confirmed, or has confirmed without ending
// the run.
func (e *Engine) retryStops(now time.Time, w *worker) {
	if w.stopping == 0 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.phase == stopping && !r.sentBeforeRestart && now.Sub(r.stopSentAt) > stopRetryInterval && (r.stopConfirmedAt.IsZero() || now.Sub(r.stopConfirmedAt) > stopRetryInterval+e.opts.StopTime) {
			e.stop(now, r)
		}
	}
}

func compareRuns(a, b runKey) int {
	if c := strings.Compare(string(a.task.Job), string(b.task.Job)); c != 0 {
		return c
	}
	for _, c := range []int{
		a.task.Occurrence - b.task.Occurrence, a.task.Step - b.task.Step, a.task.Index - b.task.Index, a.number - b.number,
	} {
		if c != 0 {
			return c
		}
	}
	return 0
}
