package engine

import (
	"math"
	"time"

	"tanagerstack.org/core/jobs"
)

// The load that prediction answers: callers guess how long tasks run, and some
// queues' callers guess badly. What a queue's tasks took is held against what
// was guessed, so that order, deadlines and the search for slow workers rest on
// what a guess is worth.

const (
	// durationMemory is how many ended tasks a queue's durations are averaged over.
	durationMemory = 200
	// durationTrust is how many ended tasks it takes to correct guesses.
	durationTrust = 15
	// paceMemory is how many ended tasks a worker's pace is averaged over.
	paceMemory = 8
	// slowPace is how many times as long as predicted a worker's tasks take for it
	// to count as slow: beyond the kinds of sound workers and the noise.
	slowPace = 2.8
	// paceJobs is how many jobs' tasks it takes to judge a worker.
	paceJobs = 3
)

// queueStats is what is learned of a queue.
type queueStats struct {
	// goodShare is the share of workers that the adviser allows.
	goodShare float64
	durations durations
}

// durations is a regression of the logarithm of tasks' durations on that of the
// callers' guesses. Older tasks count less.
type durations struct {
	count        float64
	meanX, meanY float64
	varX, covXY  float64
}

// observe takes in a task that ended.
func (d *durations) observe(guess, took time.Duration) {
	if guess <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(guess.Seconds()), math.Log(took.Seconds())
	d.count = min(d.count+1, durationMemory)
	weight := 1 / d.count
	dx, dy := x-d.meanX, y-d.meanY
	d.meanX += weight * dx
	d.meanY += weight * dy
	d.varX += weight * (dx*(x-d.meanX) - d.varX)
	d.covXY += weight * (dx*(y-d.meanY) - d.covXY)
}

// predict returns how long a task with a guess will take.
func (d *durations) predict(guess time.Duration) time.Duration {
	if d.count < durationTrust || guess <= 0 {
		return guess
	}
	slope := 1.0
	if d.varX > 0 {
		slope = min(max(d.covXY/d.varX, 0), 1)
	}
	y := d.meanY + slope*(math.Log(guess.Seconds())-d.meanX)
	return time.Duration(math.Exp(y) * float64(time.Second))
}

func (e *Engine) statsOf(queue string) *queueStats {
	if e.stats[queue] == nil {
		e.stats[queue] = &queueStats{goodShare: firstGoodShare}
	}
	return e.stats[queue]
}

// predict returns how long a task of the step will take on a sound worker.
func (e *Engine) predict(s *step) time.Duration {
	return e.statsOf(s.job.Queue.Name).durations.predict(s.Estimate)
}

// chain returns the longest chain of predicted work of a job.
func (e *Engine) chain(j *jobs.Job) time.Duration {
	stats := e.statsOf(j.Queue.Name)
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + stats.durations.predict(s.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// left returns how long the rest of an occurrence takes at least: its longest
// chain of predicted work, less what its running tasks have done.
func (e *Engine) left(now time.Time, o *occurrence) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s.left > 0 {
			ends[i] += e.leftOfStep(now, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// leftOfStep returns how long the slowest task of a step still takes.
func (e *Engine) leftOfStep(now time.Time, s *step) time.Duration {
	predicted := e.predict(s)
	var longest time.Duration
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		remaining := predicted
		if t.run != nil {
			remaining = t.run.remaining(now, predicted)
		}
		longest = max(longest, remaining)
	}
	return longest
}

// remaining returns how long a run still takes: by the share of its work that is
// done, or by the prediction before that says anything.
func (r *run) remaining(now time.Time, predicted time.Duration) time.Duration {
	age := now.Sub(r.orderedAt)
	gained := r.percent - r.startPercent
	if gained < paceMinPercent {
		return max(predicted-age, predicted/10)
	}
	perPercent := float64(r.movedAt.Sub(r.orderedAt)) / float64(gained)
	return max(0, time.Duration(perPercent*float64(100-r.percent))-now.Sub(r.movedAt))
}

// paceMinPercent is how much of its work a run must have done for its pace to say
// how long it takes: the report counts in whole percents.
const paceMinPercent = 4

// pace is how long a worker's tasks take, against the prediction. Tasks of one
// job that come after each other count once, since they are alike.
type pace struct {
	count float64
	last  jobs.ID
	// log is the mean logarithm of the ratio.
	log float64
}

func (p *pace) observe(job jobs.ID, took, predicted time.Duration) {
	if took <= 0 || predicted <= 0 || job == p.last {
		return
	}
	p.last = job
	p.count = min(p.count+1, paceMemory)
	p.log += (math.Log(took.Seconds()/predicted.Seconds()) - p.log) / p.count
}

// slow reports whether the worker is clearly slower than sound ones.
func (p *pace) slow() bool { return p.count >= paceJobs && p.log > math.Log(slowPace) }

// learn takes in how long a finished run took. Runs that resumed from a
// checkpoint say nothing of the whole task.
func (e *Engine) learn(now time.Time, r *run) {
	s := r.owner.step
	if r.resumed || r.phase == stopping {
		return
	}
	took := now.Sub(r.orderedAt)
	predicted := e.predict(s)
	r.worker.pace.observe(r.task.Job, took, predicted)
	r.owner.took, r.owner.tookOn = took, r.worker
	if !r.worker.pace.slow() {
		e.statsOf(s.job.Queue.Name).durations.observe(s.Estimate, took)
	}
}
