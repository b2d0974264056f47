package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/learn"
)

// Durations selects what predictions of durations rest on. They decide about order, placement and
// stragglers only: a wrong prediction costs time, and breaks no rule.
type Durations string

// The ways to predict durations. The zero value is the same as DurationsEstimates.
const (
	// DurationsEstimates corrects the callers' estimates by queue, in memory only.
	DurationsEstimates Durations = "estimates"
	// DurationsLearned uses what was learned by queue, organization, step and kind of worker.
	DurationsLearned Durations = "learned"
	// DurationsNoise replaces estimates by noise, to measure what predictions contribute.
	DurationsNoise Durations = "noise"
	// DurationsAuto is DurationsLearned while the configuration holds organizations, and
	// DurationsEstimates otherwise.
	DurationsAuto Durations = "auto"
)

// Valid reports whether the value is one of the constants, or the zero value.
func (d Durations) Valid() bool {
	switch d {
	case "", DurationsEstimates, DurationsLearned, DurationsNoise, DurationsAuto:
		return true
	}
	return false
}

const (
	// lateQuantile is the quantile of the remaining time by which an occurrence must miss its
	// deadline to count as late, riskQuantile the one by which it must end to be likely to end in
	// time.
	lateQuantile = 0.05
	riskQuantile = 0.9
	// overdueQuantile is the quantile of the duration from which a run counts as a lower bound
	// while it goes on, and boundGrowth the growth of its age after which it does again. Below it,
	// its age says little.
	overdueQuantile = 0.9
	boundGrowth     = 1.5
	// stragglerQuantile is the quantile of the duration within which a run is no straggler
	// without the evidence of others: some queues have a few jobs that take many times as long.
	stragglerQuantile = 0.98
	// kindStep is the difference in the logarithm of the predicted duration from which one kind of
	// worker ranks behind another: about a tenth. Smaller ones may be noise.
	kindStep = 0.1
	// observedTasksPerStep bounds the observed tasks of a step, which are alike.
	observedTasksPerStep = 4
)

// selectDurations determines what predictions rest on with the configuration in force.
func (e *Engine) selectDurations() {
	next := e.opts.Durations
	switch {
	case next == DurationsAuto && e.config.HasOrganizations():
		next = DurationsLearned
	case next == DurationsAuto || next == "":
		next = DurationsEstimates
	}
	if next != e.durations && e.durations != "" {
		e.log("source of predicted durations changed", "from", e.durations, "to", next)
	}
	e.durations = next
}

// Learned returns what was learned about durations, or nil if it is not used.
func (e *Engine) Learned() *learn.Model {
	if e.durations != DurationsLearned {
		return nil
	}
	return &e.learned
}

// learnKey returns what is known of a task of a step before it runs. The kind of a worker is its
// first label.
func learnKey(j *jobs.Job, step int, w *worker) learn.Key {
	k := learn.Key{Queue: j.Queue.Name, Organization: j.Organization, Step: step}
	if w != nil && len(w.Labels) > 0 {
		k.WorkerKind = w.Labels[0]
	}
	return k
}

// prediction returns the learned distribution of the duration of a step's tasks, on a worker or, if
// that is nil, on any.
func (e *Engine) prediction(s *step, w *worker) learn.Prediction {
	return e.learned.Predict(learnKey(&s.job.Job, s.id.Step, w), s.Estimate)
}

// predictStep returns the predicted duration of a task of a job's step on a worker or, if that is
// nil, on any healthy one.
func (e *Engine) predictStep(j *jobs.Job, step int, w *worker) time.Duration {
	estimate := j.Steps[step].Estimate
	switch e.durations {
	case DurationsLearned:
		p := e.learned.Predict(learnKey(j, step, w), estimate)
		return p.Median()
	case DurationsNoise:
		return noiseDuration(j.ID, step)
	default:
		return e.statsOf(j.Queue.Name).durations.predict(estimate)
	}
}

const (
	noiseMedian = 2 * time.Second
	noiseSpread = 1.0
)

// noiseDuration returns a log-normal duration that depends on the step's identity only.
func noiseDuration(id jobs.ID, step int) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(id) + "/" + strconv.Itoa(step)))
	r := rand.New(rand.NewPCG(hash.Sum64(), 1))
	return time.Duration(math.Exp(noiseSpread*r.NormFloat64()) * float64(noiseMedian))
}

// chanceMargins returns the fractions of its predicted remaining time by which an occurrence may miss
// its deadline and still count as on time, and that it must have to spare to be likely to end in time.
func (e *Engine) chanceMargins(o *occurrence) (tolerance, margin float64) {
	if e.durations == DurationsLearned {
		for _, s := range o.steps {
			if s.tasksLeft > 0 {
				p := e.prediction(s, nil)
				return 1 - p.Spread(lateQuantile), p.Spread(riskQuantile) - 1
			}
		}
	}
	return predictionTolerance, jobs.RiskMargin
}

// rankKinds sets the slowness of candidates for a step, if durations are learned.
func (e *Engine) rankKinds(s *step, list []candidate) {
	if e.durations != DurationsLearned || len(list) < 2 {
		return
	}
	logs := make(map[string]float64)
	quickest := math.Inf(1)
	for i := range list {
		k := learnKey(&s.job.Job, s.id.Step, list[i].worker)
		if _, known := logs[k.WorkerKind]; known {
			continue
		}
		p := e.learned.Predict(k, s.Estimate)
		log := 0.0
		if median := p.Median(); median > 0 {
			log = math.Log(median.Seconds())
		}
		logs[k.WorkerKind] = log
		quickest = min(quickest, log)
	}
	for i := range list {
		kind := learnKey(&s.job.Job, s.id.Step, list[i].worker).WorkerKind
		list[i].slowness = int(math.Round((logs[kind] - quickest) / kindStep))
	}
}

// stragglerLimit returns the duration above which a run on a worker is slow, if other tasks of its
// step say nothing.
func (e *Engine) stragglerLimit(r *run, predicted time.Duration) float64 {
	limit := slowdownLimit * float64(predicted)
	if e.durations == DurationsLearned {
		p := e.prediction(r.owner.step, r.worker)
		limit = max(limit, float64(p.Quantile(stragglerQuantile)))
	}
	return limit
}

// observed reports whether the duration of a run is one to learn from: not those that resumed, which
// took less than the whole task, those of services, and most of the tasks of a wide step.
func (r *run) observed() bool {
	if r.owner == nil || r.resumed || r.owner.step.Service {
		return false
	}
	every := (r.owner.step.Count + observedTasksPerStep - 1) / observedTasksPerStep
	return r.owner.id.Index%max(every, 1) == 0
}

// learnDuration learns from a run that ended, or else went on for at least the given duration.
func (e *Engine) learnDuration(now time.Time, r *run, duration time.Duration, ended bool) {
	if e.durations != DurationsLearned || !r.observed() {
		return
	}
	s := r.owner.step
	k := learnKey(&s.job.Job, s.id.Step, r.worker)
	if r.lowerBound > 0 {
		if duration > r.lowerBound {
			e.learned.Extend(now, k, s.Estimate, r.lowerBound, duration, ended)
		}
		return
	}
	e.learned.Observe(now, k, s.Estimate, duration, ended)
}

// learnStopped learns from a run that was stopped or lost: its task takes at least as long. A run that
// failed says nothing about that, and one that was never reported may not have begun.
func (e *Engine) learnStopped(now time.Time, r *run, end jobs.End) {
	if end == jobs.EndDone || end == jobs.EndFailed || !r.reported {
		return
	}
	until := now
	if r.phase == stopping {
		until = r.stopSentAt
	}
	if r.worker.lastSeen.Before(until) {
		until = r.worker.lastSeen
	}
	if age := until.Sub(r.startSentAt); age > 0 {
		e.learnDuration(now, r, age, false)
	}
}

// learnRunning learns from runs that take longer than most, before they end.
func (e *Engine) learnRunning(now time.Time) {
	if e.durations != DurationsLearned {
		return
	}
	for _, w := range e.sortedWorkers {
		if !w.usable(now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase != confirmed || !r.observed() {
				continue
			}
			if r.boundDueAt.IsZero() {
				p := e.prediction(r.owner.step, w)
				r.boundDueAt = r.startSentAt.Add(p.Quantile(overdueQuantile))
			}
			if now.Before(r.boundDueAt) {
				continue
			}
			age := w.lastSeen.Sub(r.startSentAt)
			e.learnDuration(now, r, age, false)
			r.lowerBound = max(r.lowerBound, age)
			r.boundDueAt = r.startSentAt.Add(time.Duration(boundGrowth * float64(max(age, now.Sub(r.startSentAt)))))
		}
	}
}

// PredictionError tells how well the durations of a queue's tasks were predicted lately.
type PredictionError struct {
	Queue string
	// Tasks is the number of tasks that it rests on, at most predictionErrorTasks.
	Tasks float64
	// Factor is the mean ratio between actual and predicted duration, the greater one over the
	// other: 1 is perfect.
	Factor float64
	// Bias is the mean ratio of actual to predicted duration.
	Bias float64
}

// predictionErrorTasks is the number of tasks that the error of predictions is averaged over.
const predictionErrorTasks = 500

// predictionError holds means of logarithms.
type predictionError struct{ tasks, absolute, bias float64 }

func (p *predictionError) observe(duration, predicted time.Duration) {
	if duration <= 0 || predicted <= 0 {
		return
	}
	log := math.Log(duration.Seconds() / predicted.Seconds())
	p.tasks = min(p.tasks+1, predictionErrorTasks)
	p.absolute += (math.Abs(log) - p.absolute) / p.tasks
	p.bias += (log - p.bias) / p.tasks
}

// PredictionErrors returns the errors of the predictions by queue, in no particular order.
func (e *Engine) PredictionErrors() []PredictionError {
	list := make([]PredictionError, 0, len(e.stats))
	for queue, stats := range e.stats {
		if p := stats.errors; p.tasks > 0 {
			list = append(list, PredictionError{Queue: queue, Tasks: p.tasks, Factor: math.Exp(p.absolute), Bias: math.Exp(p.bias)})
		}
	}
	return list
}
