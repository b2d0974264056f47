package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// plan is a job and what is true of it, which the engine does not know.
type plan struct {
	jobs.Job
	queue   *Queue
	arrives time.Duration
	// work is how long each step's tasks take on a worker of speed 1.
	work [][]time.Duration
	// hopeless jobs fail wherever they run.
	hopeless bool
	worth    float64
	// objective is how long the job may take to be on time.
	objective time.Duration
}

// draw returns the jobs of a scene in the order of their arrival.
func (s *Scene) draw(seed uint64, load float64) []*plan {
	var list []*plan
	for i := range s.Queues {
		q := &s.Queues[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		var at time.Duration
		for {
			rate := load * q.PerSecond * s.boost(q.Name, at)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= time.Duration(s.Length) {
				break
			}
			list = append(list, q.draw(r, jobs.ID(fmt.Sprintf("%s-%d", q.Name, len(list))), at))
		}
	}
	return list
}

// boost returns by how much a queue's rate is raised at an instant.
func (s *Scene) boost(queue string, at time.Duration) float64 {
	for _, b := range s.Bursts {
		if b.Queue == queue && at >= time.Duration(b.At) && at < time.Duration(b.At+b.For) {
			return b.Times
		}
	}
	return 1
}

// sizeShare is the part of a job's worth that grows with its size, and mostSize how
// many times the mean it counts at most: the users' rules state both.
const (
	sizeShare = 0.7
	mostSize  = 4.0
)

func (q *Queue) draw(r *rand.Rand, id jobs.ID, at time.Duration) *plan {
	p := &plan{queue: q, arrives: at, hopeless: r.Float64() < q.HopelessShare}
	p.ID, p.Spec, p.Queue = id, jobs.NewSpec(string(id)), q.settings()
	size, chain := 0.0, time.Duration(0)
	for n := range q.Steps.count(r) {
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
		chain += longest
		if q.Advice != nil {
			chain += time.Duration(q.Advice.Decide + adviceInChain*q.Advice.Each)
		}
	}
	p.worth = q.Worth * min(1-sizeShare+sizeShare*size/q.meanSize(), mostSize)
	p.objective = time.Duration(q.Stretch*float64(chain)) + time.Duration(q.Slack)
	return p
}

// adviceInChain is about how many workers a step's question counts in its objective.
const adviceInChain = 30

func (q *Queue) meanSize() float64 {
	return max(q.Steps.Mean, 1) * q.Width.Mean * q.Millicores.Mean / 1000 * q.Work.Mean
}

func (q *Queue) drawStep(r *rand.Rand) (jobs.Step, []time.Duration) {
	work := q.Work.draw(r)
	step := jobs.Step{
		Count: q.Width.count(r), Gang: r.Float64() < q.GangShare, DisruptionBudget: -1,
		PerTask: roster.Resources{Millicores: int64(q.Millicores.draw(r)), MemoryBytes: int64(q.MemoryBytes.draw(r))},
	}
	step.Estimate = seconds(work * math.Exp(q.GuessSpread*r.NormFloat64()-q.GuessSpread*q.GuessSpread/2))
	list := make([]time.Duration, step.Count)
	for i := range list {
		list[i] = seconds(work)
		if !step.Gang {
			list[i] = seconds(work * (1 + q.Uneven*(2*r.Float64()-1)))
		}
	}
	return step, list
}

func (q *Queue) settings() jobs.Queue {
	settings := jobs.Queue{
		Name: q.Name, Service: service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Slack: time.Duration(q.Slack),
	}
	if q.Advice != nil {
		settings.Advice = &jobs.AdviceSettings{RequestTime: time.Duration(q.Advice.Decide), PerWorkerTime: time.Duration(q.Advice.Each), TicketValidity: time.Duration(q.Advice.Valid)}
	}
	return settings
}

// draw returns a value of the distribution.
func (s Spread) draw(r *rand.Rand) float64 {
	value := s.Mean * math.Exp(s.Sigma*r.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Most > 0 {
		value = min(value, s.Most)
	}
	return value
}

// count returns a value as a number of things, one at least.
func (s Spread) count(r *rand.Rand) int { return max(1, int(math.Round(s.draw(r)))) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
