package engine

import (
	"math"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/learn"
)

// Callers estimate how long tasks run, and the estimates of some queues are poor. The durations
// of a queue's tasks are therefore compared with the estimates, and the corrected predictions are
// used for ordering, deadlines and the detection of slow workers.

const (
	// durationSamples is the number of completed tasks that a queue's duration model is averaged
	// over.
	durationSamples = 200
	// slowdownSamples is the number of completed tasks that a worker's slowdown is averaged over.
	slowdownSamples = 8
	// slowdownLimit is the ratio of actual to predicted duration above which a worker is slow. It
	// is beyond the differences between types of healthy workers and the noise.
	slowdownLimit = 2.8
	// minSlowdownJobs is the number of jobs whose tasks are needed to judge a worker.
	minSlowdownJobs = 3
)

// queueStats is what was learned about a queue.
type queueStats struct {
	// permittedShare is the share of workers that the adviser permits.
	permittedShare float64
	durations      durationModel
	errors         predictionError
	// arrivals is the work of new jobs that are not excess.
	arrivals arrivalRate
}

// durationModel corrects the estimates of a queue's callers by the durations of its tasks.
type durationModel struct{ learn.Line }

// observe adds a completed task.
func (d *durationModel) observe(estimate, duration time.Duration) {
	if estimate > 0 && duration > 0 {
		d.Observe(math.Log(estimate.Seconds()), math.Log(duration.Seconds()), durationSamples)
	}
}

// predict returns the predicted duration of a task with the given estimate.
func (d *durationModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return estimate
	}
	y, known := d.Predict(math.Log(estimate.Seconds()))
	if !known {
		return estimate
	}
	return time.Duration(math.Exp(y) * float64(time.Second))
}

func (e *Engine) statsOf(queue string) *queueStats {
	if e.stats[queue] == nil {
		e.stats[queue] = &queueStats{permittedShare: initialPermittedShare}
	}
	return e.stats[queue]
}

// predict returns the predicted duration of a task of the step on a healthy worker.
func (e *Engine) predict(s *step) time.Duration {
	return e.predictStep(&s.job.Job, s.id.Step, nil)
}

// criticalPath returns the predicted length of the longest chain of dependent steps of a job.
func (e *Engine) criticalPath(j *jobs.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, predecessor := range s.After {
			begin = max(begin, ends[predecessor])
		}
		ends[i] = begin + e.predictStep(j, i, nil)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingTime returns the least time that the rest of an occurrence takes: its longest chain of
// predicted work, less the progress of its running tasks.
func (e *Engine) remainingTime(now time.Time, o *occurrence) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, s := range o.steps {
		var begin time.Duration
		for _, predecessor := range s.After {
			begin = max(begin, ends[predecessor])
		}
		ends[i] = begin
		if s.tasksLeft > 0 {
			ends[i] += e.remainingStepTime(now, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingStepTime returns the remaining time of the slowest task of a step.
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

// remaining returns the remaining time of a run, from its rate of progress or, before there is
// enough progress, from the prediction.
func (r *run) remaining(now time.Time, predicted time.Duration) time.Duration {
	age := now.Sub(r.startSentAt)
	gained := r.percent - r.startPercent
	if gained < minProgressPercent {
		return max(predicted-age, predicted/10)
	}
	perPercent := float64(r.progressAt.Sub(r.startSentAt)) / float64(gained)
	return max(0, time.Duration(perPercent*float64(100-r.percent))-now.Sub(r.progressAt))
}

// minProgressPercent is the progress that a run must have made for its rate to be used: reports
// give whole percents.
const minProgressPercent = 4

// slowdown is the ratio of actual to predicted durations of a worker's tasks. Consecutive tasks
// of one job count once, since they are alike.
type slowdown struct {
	count   float64
	lastJob jobs.ID
	// meanLog is the mean logarithm of the ratio.
	meanLog float64
}

func (s *slowdown) observe(job jobs.ID, duration, predicted time.Duration) {
	if duration <= 0 || predicted <= 0 || job == s.lastJob {
		return
	}
	s.lastJob = job
	s.count = min(s.count+1, slowdownSamples)
	s.meanLog += (math.Log(duration.Seconds()/predicted.Seconds()) - s.meanLog) / s.count
}

// excessive reports whether the worker is clearly slower than healthy ones.
func (s *slowdown) excessive() bool {
	return s.count >= minSlowdownJobs && s.meanLog > math.Log(slowdownLimit)
}

// recordDuration updates the statistics with the duration of a completed run. Runs that resumed
// from a checkpoint are skipped, since they took less than the whole task.
func (e *Engine) recordDuration(now time.Time, r *run) {
	s := r.owner.step
	if r.resumed || r.phase == stopping {
		return
	}
	duration := now.Sub(r.startSentAt)
	predicted := e.predictStep(&s.job.Job, s.id.Step, r.worker)
	stats := e.statsOf(s.job.Queue.Name)
	stats.errors.observe(duration, predicted)
	r.worker.slowdown.observe(r.task.Job, duration, predicted)
	r.owner.duration, r.owner.completedOn = duration, r.worker
	if !r.worker.slowdown.excessive() {
		stats.durations.observe(s.Estimate, duration)
	}
	// What was learned tolerates a share of slow workers. Leaving out those that are slow by a
	// prediction would keep it from learning that the prediction is wrong.
	e.learnDuration(now, r, duration, true)
}
