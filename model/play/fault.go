package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// WorkerFault is a fault of a part of the workers. Exactly one of FailShare, FlapPeriod and Notice is
// positive.
type WorkerFault struct {
	// Share is the probability with which a worker has the fault.
	Share float64 `json:"share"`
	// From and Until are the offsets at which the fault begins and ends; workers that leave never
	// come back.
	From  Duration `json:"from"`
	Until Duration `json:"until"`
	// FailShare is the probability with which a run that ends during the fault fails. Such a run fails
	// at a time that is uniform over its duration.
	FailShare float64 `json:"fail-share"`
	// FlapPeriod is the time between two losses of a worker. It is down for half of it, and comes back
	// as a new incarnation.
	FlapPeriod Duration `json:"flap-period"`
	// Notice is the time between the announcement that a worker leaves and its end.
	Notice Duration `json:"notice"`
}

func (f *WorkerFault) validate() error {
	kinds := 0
	for _, set := range []bool{f.FailShare > 0, f.FlapPeriod > 0, f.Notice > 0} {
		if set {
			kinds++
		}
	}
	if kinds != 1 || f.Share <= 0 || f.Share > 1 || f.FailShare > 1 || f.Notice == 0 && f.Until <= f.From {
		return fmt.Errorf("worker-faults: want one of fail-share, flap-period and notice, share and fail-share up to 1, until after from: %+v", *f)
	}
	return nil
}

// commandTimeout is the time after which the leader gives up a command to a worker that is down.
const commandTimeout = 900 * time.Millisecond

// faultStream is the stream of random numbers for faults of workers.
const faultStream = 1 << 34

// workerFault is the fault of one worker.
type workerFault struct {
	WorkerFault
	// detected is set once the worker was withheld during the fault, and returned once it is used again
	// afterwards.
	detected, returned bool
}

// active reports whether the fault is in effect at an offset.
func (f *workerFault) active(at time.Duration) bool {
	return f != nil && at >= time.Duration(f.From) && at < time.Duration(f.Until)
}

// planFaults draws the workers that have faults, and schedules the faults.
func (c *simulation) planFaults(seed uint64) {
	c.faultRand = rand.New(rand.NewPCG(seed, faultStream))
	for _, fault := range c.scenario.WorkerFaults {
		for _, w := range c.workers {
			if w.fault != nil || c.faultRand.Float64() >= fault.Share {
				continue
			}
			w.fault = &workerFault{WorkerFault: fault}
			from := time.Duration(fault.From)
			switch {
			case fault.FlapPeriod > 0:
				c.after(from+time.Duration(c.faultRand.Float64()*float64(fault.FlapPeriod)), w.flap)
			case fault.Notice > 0:
				c.after(from, w.announceLeave)
			}
		}
	}
}

// addFault makes a run on a faulty worker fail early, by chance.
func (r *run) addFault() {
	c, f := r.worker.sim, r.worker.fault
	if f == nil || f.FailShare == 0 || !f.active(c.now.Sub(startTime)) || c.faultRand.Float64() >= f.FailShare {
		return
	}
	r.faulty = true
	r.duration = time.Duration(c.faultRand.Float64() * float64(r.duration))
}

// flap takes the worker down, and up again after half of the period, until the fault ends.
func (w *worker) flap() {
	c := w.sim
	if !w.fault.active(c.now.Sub(startTime)) {
		return
	}
	w.takeDown()
	period := time.Duration(w.fault.FlapPeriod)
	c.after(period/2, w.comeUp)
	c.after(period, w.flap)
}

// takeDown loses the worker's runs and unreported results. The gangs of the runs are broken.
func (w *worker) takeDown() {
	c := w.sim
	w.lost = true
	w.heldPoll = nil
	runs := w.sortedRuns()
	w.running = make(map[jobs.TaskID]*run)
	w.results, w.lastSequence = nil, 0
	for _, r := range runs {
		w.countRun(r, jobs.EndExpired)
		if !r.job.Steps[r.task.Step].Gang {
			continue
		}
		for _, member := range c.members(r.task.StepID, r.number) {
			member.worker.recordEnd(member, jobs.EndGangBroken)
		}
	}
}

// comeUp starts the worker as a new incarnation.
func (w *worker) comeUp() {
	c := w.sim
	w.lost = false
	w.info.StartedAt = c.now
	c.apply(engine.PollFailed{Worker: w.info.ID})
	c.apply(engine.WorkerListed{Worker: w.info})
	c.sendPoll(w)
}

// announceLeave announces that the worker leaves, which it does after the notice.
func (w *worker) announceLeave() {
	c := w.sim
	notice := time.Duration(w.fault.Notice)
	entry := w.info
	entry.Leaving, entry.LeavesIn = true, notice
	c.apply(engine.WorkerListed{Worker: entry})
	c.after(notice, func() {
		w.takeDown()
		c.apply(engine.WorkerUnlisted{ID: w.info.ID})
	})
}

// noteHealth records which workers are withheld at present. It is called at each tick.
func (c *simulation) noteHealth() {
	if len(c.scenario.WorkerFaults) == 0 || c.now.Sub(startTime) >= time.Duration(c.scenario.ArrivalPeriod) {
		return
	}
	reduced := make(map[string]bool)
	graded := 0
	for _, w := range c.engine.WithheldWorkers(c.now) {
		reduced[w.ID] = true
		if w.Reason != engine.WithheldInQuarantine && !c.byID[w.ID].lost {
			graded++
		}
	}
	c.result.MostWithheld = max(c.result.MostWithheld, graded)
	at := c.now.Sub(startTime)
	for _, w := range c.workers {
		f := w.fault
		switch {
		case f == nil:
			if reduced[w.info.ID] {
				c.result.SoundWithheld += tickInterval
			}
		case f.Notice > 0:
		case f.active(at):
			if reduced[w.info.ID] {
				c.result.FaultyWithheld += tickInterval
				if !f.detected {
					f.detected = true
					c.result.DetectedAfter = append(c.result.DetectedAfter, at-time.Duration(f.From))
				}
			}
		case at >= time.Duration(f.Until) && !f.returned && !reduced[w.info.ID]:
			f.returned = true
			c.result.ReturnedAfter = append(c.result.ReturnedAfter, at-time.Duration(f.Until))
		}
	}
}
