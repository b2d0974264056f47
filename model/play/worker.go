package play

import (
	"math"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// worker runs tasks as the platform's workers do.
type worker struct {
	cell  *cell
	entry engine.Worker
	speed float64
	way   time.Duration
	gone  bool
	// running are the runs here, and ended the ends that were not confirmed.
	running map[jobs.TaskID]*run
	ended   []engine.RunResult
	last    int64
	// look is the one that waits for an end.
	look *look
}

// run is a task at work.
type run struct {
	task    jobs.TaskID
	number  int
	plan    *plan
	began   time.Time
	takes   time.Duration
	working bool
	worker  *worker
}

// look is a look that a worker holds back.
type look struct {
	order engine.PollRequest
	sent  time.Time
}

// lookWait is how long a worker holds a look back.
const lookWait = time.Second

// start obeys a start.
func (w *worker) start(c engine.Start) engine.StartOutcome {
	p := w.cell.plans[c.Task.Job]
	if p.queue.Advice != nil && w.cell.now.After(w.cell.tickets[ticketKey{c.Task.StepID, w.entry.ID}]) {
		w.cell.tally.NoTicket++
		return engine.StartInvalidTicket
	}
	r := &run{task: c.Task, number: c.Run, plan: p, began: w.cell.now, worker: w}
	r.takes = time.Duration(float64(p.work[c.Task.Step][c.Task.Index]) * w.speed)
	w.running[c.Task] = r
	if !p.Steps[c.Task.Step].Gang {
		r.work()
		return engine.StartAccepted
	}
	members := w.cell.members(c.Task.StepID, c.Run)
	if len(members) == p.Steps[c.Task.Step].Count {
		w.cell.startGang(members)
	}
	return engine.StartAccepted
}

// work lets a run begin to work.
func (r *run) work() {
	r.working, r.began = true, r.worker.cell.now
	r.worker.cell.after(r.takes, r.finish)
}

// finish ends a run, and its gang with it.
func (r *run) finish() {
	if r.worker.running[r.task] != r {
		return
	}
	how := jobs.EndDone
	if r.plan.hopeless || r.worker.cell.rand.Float64() < r.plan.queue.FailShare {
		how = jobs.EndFailed
	}
	r.worker.end(r, how)
	if !r.plan.Steps[r.task.Step].Gang {
		return
	}
	others := jobs.EndGangBroken
	if how == jobs.EndDone {
		others = jobs.EndDone
	}
	for _, member := range r.worker.cell.members(r.task.StepID, r.number) {
		member.worker.end(member, others)
	}
}

// end lists the end of a run.
func (w *worker) end(r *run, how jobs.End) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	core := w.cell.now.Sub(r.began).Seconds() * float64(r.plan.Steps[r.task.Step].PerTask.Millicores) / 1000
	w.cell.tally.BusyCoreSeconds += core
	if how != jobs.EndDone {
		w.cell.tally.WastedCoreSeconds += core
	}
	w.last++
	w.ended = append(w.ended, engine.RunResult{Sequence: w.last, Task: r.task, Run: r.number, End: how})
	w.answer()
}

// stop obeys a stop; it takes half of the longest time.
func (w *worker) stop(c engine.Stop) {
	r := w.running[c.Task]
	if r == nil || r.number != c.Run {
		return
	}
	w.cell.after(time.Duration(w.cell.scene.Workers.StopTime)/2, func() { w.end(r, jobs.EndStopped) })
}

// hold takes a look and answers it at an end, or after its wait.
func (w *worker) hold(order engine.PollRequest, sent time.Time) {
	held := &look{order: order, sent: sent}
	w.look = held
	for len(w.ended) > 0 && w.ended[0].Sequence <= order.AckedUpTo {
		w.ended = w.ended[1:]
	}
	if len(w.ended) > 0 || order.LeaseUntil == 0 || order.AcksPending {
		w.answer()
		return
	}
	w.cell.after(lookWait, func() {
		if w.look == held {
			w.answer()
		}
	})
}

// answer sends the report for the look that waits, if one does.
func (w *worker) answer() {
	held := w.look
	if held == nil || w.gone {
		return
	}
	w.look = nil
	report := engine.Report{Clock: w.cell.clock(), StartedAt: w.entry.StartedAt, Results: append([]engine.RunResult(nil), w.ended...)}
	for _, r := range w.sorted() {
		percent := 0.0
		if r.working {
			percent = math.Min(100, 100*float64(w.cell.now.Sub(r.began))/float64(r.takes))
		}
		report.Running = append(report.Running, engine.ActiveRun{Task: r.task, Run: r.number, Percent: int(percent)})
	}
	w.cell.after(w.way, func() {
		w.cell.apply(engine.WorkerPolled{Worker: w.entry.ID, Sent: held.sent, Report: report})
		w.cell.lookAt(w)
	})
}
