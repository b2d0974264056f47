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
	durationSamples = 200
	// durationTrust is how many ended tasks it takes to correct guesses.
	minDurationSamples = 15
	// paceMemory is how many ended tasks a worker's pace is averaged over.
	slowdownSamples = 8
	// slowPace is how many times as long as predicted a worker's tasks take for it
	// to count as slow: beyond the kinds of sound workers and the noise.
	slowdownLimit = 2.8
	// paceJobs is how many jobs' tasks it takes to judge a worker.
	minSlowdownJobs = 3
)

// queueStats is what is learned of a queue.
type queueStats struct {
	// goodShare is the share of workers that the adviser allows.
	goodShare float64
	durations durationModel
}

// durations is a regression of the logarithm of tasks' durations on that of the
// callers' guesses. Older tasks count less.
type durationModel struct {
	count        float64
	meanX, meanY float64
	varX, covXY  float64
}

// observe takes in a task that ended.
func (d *durationModel) observe(guess, took time.Duration) {
	if guess <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(guess.Seconds()), math.Log(took.Seconds())
	d.count = min(d.count+1, durationSamples)
	weight := 1 / d.count
	dx, dy := x-d.meanX, y-d.meanY
	d.meanX += weight * dx
	d.meanY += weight * dy
	d.varX += weight * (dx*(x-d.meanX) - d.varX)
	d.covXY += weight * (dx*(y-d.meanY) - d.covXY)
}

// predict returns how long a task with a guess will take.
func (d *durationModel) predict(guess time.Duration) time.Duration {
	if d.count < minDurationSamples || guess <= 0 {
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
		e.stats[queue] = &queueStats{goodShare: initialGoodShare}
	}
	return e.stats[queue]
}

// predict returns how long a task of the step will take on a sound worker.
func (e *Engine) predict(s *step) time.Duration {
	return e.statsOf(s.job.Queue.Name).durations.predict(s.Estimate)
}

// chain returns the longest chain of predicted work of a job.
func (e *Engine) criticalPath(j *jobs.Job) time.Duration {
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
func (e *Engine) remainingTime(now time.Time, o *occurrence) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s.tasksLeft > 0 {
			ends[i] += e.remainingStepTime(now, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// leftOfStep returns how long the slowest task of a step still takes.
func (e *Engine) remainingStepTime(now time.Time, s *step) time.Duration {
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
	age := now.Sub(r.startSentAt)
	gained := r.percent - r.startPercent
	if gained < minProgressPercent {
		return max(predicted-age, predicted/10)
	}
	perPercent := float64(r.progressAt.Sub(r.startSentAt)) / float64(gained)
	return max(0, time.Duration(perPercent*float64(100-r.percent))-now.Sub(r.progressAt))
}

// paceMinPercent is how much of its work a run must have done for its pace to say
// how long it takes: the report counts in whole percents.
const minProgressPercent = 4

// pace is how long a worker's tasks take, against the prediction. Tasks of one
// job that come after each other count once, since they are alike.
type slowdown struct {
	count   float64
	lastJob jobs.ID
	// log is the mean logarithm of the ratio.
	meanLog float64
}

func (p *slowdown) observe(job jobs.ID, took, predicted time.Duration) {
	if took <= 0 || predicted <= 0 || job == p.lastJob {
		return
	}
	p.lastJob = job
	p.count = min(p.count+1, slowdownSamples)
	p.meanLog += (math.Log(took.Seconds()/predicted.Seconds()) - p.meanLog) / p.count
}

// slow reports whether the worker is clearly slower than sound ones.
func (p *slowdown) excessive() bool {
	return p.count >= minSlowdownJobs && p.meanLog > math.Log(slowdownLimit)
}

// learn takes in how long a finished run took. Runs that resumed from a
// checkpoint say nothing of the whole task.
func (e *Engine) recordDuration(now time.Time, r *run) {
	s := r.owner.step
	if r.resumed || r.phase == stopping {
		return
	}
	took := now.Sub(r.startSentAt)
	predicted := e.predict(s)
	r.worker.slowdown.observe(r.task.Job, took, predicted)
	r.owner.duration, r.owner.completedOn = took, r.worker
	if !r.worker.slowdown.excessive() {
		e.statsOf(s.job.Queue.Name).durations.observe(s.Estimate, took)
	}
}
