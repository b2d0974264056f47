package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// simJob is a job with the properties that the simulation knows and the engine does not.
type simJob struct {
	jobs.Job
	queue         *Queue
	arrivalOffset time.Duration
	// work holds, for each step, how long each task takes on a worker with slowdown 1.
	work [][]time.Duration
	// doomed jobs fail on every worker.
	doomed bool
	value  float64
	// objective is the longest time from arrival to completion that counts as on time.
	objective time.Duration
	// canceledAfter is the time from arrival to the caller's cancellation; zero if there is none.
	canceledAfter time.Duration
	// submissions counts the requests that submitted the job, refused is the last refusal of one.
	submissions int
	refused     string
	// coreSeconds is the core time of its ended runs.
	coreSeconds float64
}

// draw returns the jobs of all queues, queue by queue, each in order of arrival.
func (s *Scenario) draw(seed uint64, load float64) []*simJob {
	var list []*simJob
	for i := range s.Queues {
		q := &s.Queues[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		var at time.Duration
		for {
			rate := load * q.PerSecond * s.rateFactor(q.Name, at)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= time.Duration(s.ArrivalPeriod) {
				break
			}
			list = append(list, q.draw(r, jobs.ID(fmt.Sprintf("%s-%d", q.Name, len(list))), at))
		}
	}
	s.drawExtras(seed, list)
	return list
}

// rateFactor returns the factor by which a burst raises a queue's rate at a time, or 1 if no burst
// is active. Of overlapping bursts the first in the list applies.
func (s *Scenario) rateFactor(queue string, at time.Duration) float64 {
	for _, b := range s.Bursts {
		if (b.Queue == queue || b.Queue == "") && at >= time.Duration(b.At) && at < time.Duration(b.At+b.For) {
			return b.Factor * s.Organizations.surgeFactor(at)
		}
	}
	return s.Organizations.surgeFactor(at)
}

// The value of a job is Queue.MeanValue times a size factor. sizeValueShare is the part of the
// factor that is proportional to the job's size, and maxSizeFactor bounds the factor. The
// platform's published rules state both.
const (
	sizeValueShare = 0.7
	maxSizeFactor  = 4.0
)

// draw returns a random job of the queue that arrives at the given offset.
func (q *Queue) draw(r *rand.Rand, id jobs.ID, at time.Duration) *simJob {
	p := &simJob{queue: q, arrivalOffset: at, doomed: r.Float64() < q.DoomedShare}
	p.ID, p.Spec, p.Queue = id, jobs.NewSpec(string(id)), q.settings()
	size, criticalPath := 0.0, time.Duration(0)
	for n := range q.Steps.drawCount(r) {
		step, work := q.drawStep(r)
		if n > 0 {
			step.After = []int{n - 1}
		}
		p.Steps = append(p.Steps, step)
		p.work = append(p.work, work)
		var longest time.Duration
		for _, w := range work {
			size += w.Seconds() * float64(step.PerTask.Millicores) / 1000
			longest = max(longest, w)
		}
		criticalPath += longest
		if q.Advice != nil {
			criticalPath += time.Duration(q.Advice.RequestTime + typicalAdviceWorkers*q.Advice.PerWorkerTime)
		}
	}
	p.value = q.MeanValue * min(1-sizeValueShare+sizeValueShare*size/q.meanSize(), maxSizeFactor)
	p.objective = time.Duration(q.Stretch*float64(criticalPath)) + time.Duration(q.Slack)
	return p
}

// typicalAdviceWorkers is the approximate number of workers in an advice request. The objective
// allows for one request of that size for each step.
const typicalAdviceWorkers = 30

// meanSize returns the size of a job whose dimensions are all at their mean, in core-seconds.
func (q *Queue) meanSize() float64 {
	return max(q.Steps.Mean, 1) * q.Width.Mean * q.Millicores.Mean / 1000 * q.Work.Mean
}

// drawStep returns a random step and how long each of its tasks takes on a worker with slowdown 1.
// All tasks of a gang take the same time.
func (q *Queue) drawStep(r *rand.Rand) (jobs.Step, []time.Duration) {
	work := q.Work.draw(r)
	if q.LongShare > 0 && r.Float64() < q.LongShare {
		work = min(q.LongFactor*work, q.LongMost)
	}
	step := jobs.Step{
		Count: q.Width.drawCount(r), Gang: r.Float64() < q.GangShare, DisruptionBudget: -1,
		PerTask: roster.Resources{Millicores: int64(q.Millicores.draw(r)), MemoryBytes: int64(q.MemoryBytes.draw(r))},
	}
	step.Estimate = seconds(work * math.Exp(q.EstimateSigma*r.NormFloat64()-q.EstimateSigma*q.EstimateSigma/2))
	list := make([]time.Duration, step.Count)
	for i := range list {
		list[i] = seconds(work)
		if !step.Gang {
			list[i] = seconds(work * (1 + q.WorkVariation*(2*r.Float64()-1)))
		}
	}
	return step, list
}

// settings returns the queue as the engine is configured with it.
func (q *Queue) settings() jobs.Queue {
	settings := jobs.Queue{
		Name: q.Name, Service: service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Slack: time.Duration(q.Slack),
	}
	if q.Advice != nil {
		settings.Advice = &jobs.AdviceSettings{RequestTime: time.Duration(q.Advice.RequestTime), PerWorkerTime: time.Duration(q.Advice.PerWorkerTime), TicketValidity: time.Duration(q.Advice.TicketValidity)}
	}
	return settings
}

// draw returns a random value of the distribution.
func (s Distribution) draw(r *rand.Rand) float64 {
	value := s.Mean * math.Exp(s.Sigma*r.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return value
}

// drawCount returns a random value, rounded to an integer of at least 1.
func (s Distribution) drawCount(r *rand.Rand) int { return max(1, int(math.Round(s.draw(r)))) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
