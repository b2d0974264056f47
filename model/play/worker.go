package play

import (
	"math"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// worker simulates a worker of the platform.
type worker struct {
	sim      *simulation
	info     engine.Worker
	slowdown float64
	latency  time.Duration
	lost     bool
	// running holds the current runs. results holds the results that the leader has not yet
	// acknowledged, in sequence order.
	running      map[jobs.TaskID]*run
	results      []engine.RunResult
	lastSequence int64
	// heldPoll is the poll that waits for a result, or nil.
	heldPoll *heldPoll
	// fault is the worker's fault, or nil.
	fault *workerFault
}

// run is one run of a task on a worker. It is not active while it waits for the rest of its gang.
type run struct {
	task      jobs.TaskID
	number    int
	job       *simJob
	startedAt time.Time
	duration  time.Duration
	active    bool
	worker    *worker
	// begunAt is the share of the work that was done when the run began.
	begunAt float64
	// faulty is set if the run fails because of its worker.
	faulty bool
}

// heldPoll is a poll that a worker has not answered yet.
type heldPoll struct {
	request engine.PollRequest
	sent    time.Time
}

// maxPollWait is how long a worker holds a poll before it answers without a result.
const maxPollWait = time.Second

// start accepts a run, unless the worker's ticket for the step is missing or expired. The runs of a
// gang begin once all members have started.
func (w *worker) start(c engine.Start) engine.StartOutcome {
	p := w.sim.jobs[c.Task.Job]
	if p.queue.Advice != nil && w.sim.now.After(w.sim.tickets[ticketKey{c.Task.StepID, w.info.ID}]) {
		w.sim.result.InvalidTickets++
		return engine.StartInvalidTicket
	}
	r := &run{task: c.Task, number: c.Run, job: p, startedAt: w.sim.now, worker: w}
	r.duration = time.Duration(float64(p.work[c.Task.Step][c.Task.Index]) * w.slowdown)
	r.resume(c.Checkpoint)
	r.addFault()
	w.running[c.Task] = r
	if !p.Steps[c.Task.Step].Gang {
		r.begin()
		return engine.StartAccepted
	}
	members := w.sim.members(c.Task.StepID, c.Run)
	if len(members) == p.Steps[c.Task.Step].Count {
		w.sim.startGang(members)
	}
	return engine.StartAccepted
}

// begin makes a run active and schedules its completion.
func (r *run) begin() {
	r.active, r.startedAt = true, r.worker.sim.now
	r.worker.sim.after(r.duration, r.complete)
}

// complete ends an active run with success or failure. A gang ends with its first member: the
// others succeed with it, or end as broken.
func (r *run) complete() {
	if r.worker.running[r.task] != r {
		return
	}
	end := jobs.EndDone
	if r.faulty || r.job.doomed || r.worker.sim.rand.Float64() < r.job.queue.FailShare {
		end = jobs.EndFailed
	}
	r.worker.recordEnd(r, end)
	if !r.job.Steps[r.task.Step].Gang {
		return
	}
	others := jobs.EndGangBroken
	if end == jobs.EndDone {
		others = jobs.EndDone
	}
	for _, member := range r.worker.sim.members(r.task.StepID, r.number) {
		member.worker.recordEnd(member, others)
	}
}

// recordEnd removes a run, adds its core time to the result and reports its end to the leader.
func (w *worker) recordEnd(r *run, end jobs.End) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.countRun(r, end)
	w.lastSequence++
	w.results = append(w.results, engine.RunResult{Sequence: w.lastSequence, Task: r.task, Run: r.number, End: end, Checkpoint: r.checkpoint(w.sim.now)})
	w.answerPoll()
}

// countRun adds the core time of an ended run to the result.
func (w *worker) countRun(r *run, end jobs.End) {
	coreSeconds := w.sim.now.Sub(r.startedAt).Seconds() * float64(r.job.Steps[r.task.Step].PerTask.Millicores) / 1000
	w.sim.result.BusyCoreSeconds += coreSeconds
	if end != jobs.EndDone {
		w.sim.result.WastedCoreSeconds += coreSeconds
	}
	w.sim.result.noteRun(r, end, coreSeconds)
}

// stop ends a run after half of the longest stop time. It ignores runs that are not present.
func (w *worker) stop(c engine.Stop) {
	r := w.running[c.Task]
	if r == nil || r.number != c.Run {
		return
	}
	w.sim.after(time.Duration(w.sim.scenario.Workers.StopTime)/2, func() { w.recordEnd(r, jobs.EndStopped) })
}

// handlePoll drops acknowledged results and answers the poll at once if there is something to
// report. Otherwise it holds the poll until a run ends or maxPollWait has passed.
func (w *worker) handlePoll(request engine.PollRequest, sent time.Time) {
	poll := &heldPoll{request: request, sent: sent}
	w.heldPoll = poll
	for len(w.results) > 0 && w.results[0].Sequence <= request.AckedUpTo {
		w.results = w.results[1:]
	}
	if len(w.results) > 0 || request.LeaseUntil == 0 || request.AcksPending {
		w.answerPoll()
		return
	}
	w.sim.after(maxPollWait, func() {
		if w.heldPoll == poll {
			w.answerPoll()
		}
	})
}

// answerPoll sends the report for the held poll, if there is one. The leader polls again when it
// receives the report.
func (w *worker) answerPoll() {
	poll := w.heldPoll
	if poll == nil || w.lost {
		return
	}
	w.heldPoll = nil
	report := engine.Report{Clock: w.sim.clock(), StartedAt: w.info.StartedAt, Results: append([]engine.RunResult(nil), w.results...)}
	for _, r := range w.sortedRuns() {
		percent := 0.0
		if r.active {
			percent = math.Min(100, 100*r.progress(w.sim.now))
		}
		report.Running = append(report.Running, engine.ActiveRun{Task: r.task, Run: r.number, Percent: int(percent), Checkpoint: r.checkpoint(w.sim.now)})
	}
	w.sim.after(w.latency, func() {
		w.sim.apply(engine.WorkerPolled{Worker: w.info.ID, Sent: poll.sent, Fence: poll.request.Fence, Report: report})
		w.sim.sendPoll(w)
	})
}
