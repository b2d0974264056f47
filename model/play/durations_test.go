package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
)

// customer is one of the two customers of docs/design/README.md.
type customer struct {
	scenario Scenario
	// organizations is the number of organizations. One has a quarter of the jobs and another a tenth.
	organizations int
	// tailShare of the jobs take tailFactor times as long as the others, at most tailMost by queue.
	// Estimates do not tell.
	tailShare, tailFactor float64
	tailMost              map[string]time.Duration
}

func customerQueue(name string, priority int, perSecond, worth, stretch float64, slack time.Duration) Queue {
	return Queue{
		Name: name, PerSecond: perSecond, Priority: priority, Attempts: 2, MeanValue: worth, Stretch: stretch, Slack: Duration(slack),
		Steps: Distribution{Mean: 1}, FailShare: 0.005, Advice: &AdviceSettings{TicketValidity: Duration(2 * time.Second)},
	}
}

func (q *Queue) withTasks(steps, width, widthMost, seconds, millicores, memory float64) {
	if steps > 1 {
		q.Steps = Distribution{Mean: steps, Sigma: 0.4, Max: 4}
	}
	q.Width = Distribution{Mean: width, Sigma: 0.8, Max: widthMost}
	q.Work = Distribution{Mean: seconds, Sigma: 0.5, Max: 2.5 * seconds}
	q.Millicores = Distribution{Mean: millicores, Sigma: 0.4, Max: 3 * millicores}
	q.MemoryBytes = Distribution{Mean: memory, Sigma: 0.5, Max: 2 * memory}
}

// customers returns both customers at a scale of their fleets and loads.
func customers(scale float64) map[string]*customer {
	fleet := func(perRack int, millicores, memory int64, latency, stop time.Duration) Fleet {
		return Fleet{
			Count: int(scale * 350), PerRack: perRack, Millicores: millicores, MemoryBytes: memory, Slowdowns: []float64{0.8, 1, 1.25},
			Latencies: []Duration{Duration(latency), Duration(latency + 12*time.Millisecond), Duration(latency + 12*time.Millisecond)}, StopTime: Duration(stop),
		}
	}
	bursts := []Burst{
		{Queue: "urgent", At: Duration(8 * time.Second), For: Duration(4 * time.Second), Factor: 1.7},
		{Queue: "gang", At: Duration(16 * time.Second), For: Duration(4 * time.Second), Factor: 1.8},
		{Queue: "urgent", At: Duration(25 * time.Second), For: Duration(3 * time.Second), Factor: 1.7},
		{Queue: "gang", At: Duration(25 * time.Second), For: Duration(3 * time.Second), Factor: 1.7},
		{Queue: "batch", At: Duration(25 * time.Second), For: Duration(3 * time.Second), Factor: 1.7},
	}
	queues := func(rates, worth [3]float64, fixed, each [3]time.Duration, estimates, variation, doomed [3]float64) []Queue {
		list := []Queue{
			customerQueue("urgent", 0, rates[0], worth[0], 1.5, 400*time.Millisecond),
			customerQueue("gang", 1, rates[1], worth[1], 2.2, 1200*time.Millisecond),
			customerQueue("batch", 2, rates[2], worth[2], 4, 3*time.Second),
		}
		for i := range list {
			q := &list[i]
			q.PerSecond *= scale
			q.EstimateSigma, q.WorkVariation, q.DoomedShare = estimates[i], variation[i], doomed[i]
			q.Advice.RequestTime, q.Advice.PerWorkerTime, q.Advice.EligibleShare = Duration(fixed[i]), Duration(each[i]), []float64{0.7, 0.3, 0.45}[i]
		}
		list[0].GangShare, list[1].GangShare = 0.3, 1
		return list
	}
	const ms, us = time.Millisecond, time.Microsecond
	counter := queues([3]float64{60.2, 2.59, 9.32}, [3]float64{0.402, 10.7, 3.21}, [3]time.Duration{11 * ms, 540 * ms, 120 * ms},
		[3]time.Duration{160 * us, 7700 * us, 1800 * us}, [3]float64{0.2, 0.5, 0.2}, [3]float64{0.3, 0.15, 0.15}, [3]float64{0.03, 0.03, 0.01})
	counter[0].withTasks(1, 3.2, 19, 1, 5000, 14e9)
	counter[1].withTasks(1.2, 20, 120, 6.2, 9000, 18e9)
	counter[2].withTasks(1.5, 25, 150, 3.4, 3500, 7.1e9)
	campsite := queues([3]float64{77.6, 5.19, 10.8}, [3]float64{0.431, 7.36, 2.21}, [3]time.Duration{14300 * us, 455 * ms, 104 * ms},
		[3]time.Duration{208 * us, 6500 * us, 1430 * us}, [3]float64{0.2, 0.2, 0.2}, [3]float64{0.3, 0.15, 0.15}, [3]float64{0, 0.03, 0.03})
	campsite[0].withTasks(1, 3, 19, 0.85, 2500, 2.5e9)
	campsite[1].withTasks(1.2, 20, 120, 3.4, 4500, 4.5e9)
	campsite[2].withTasks(1.5, 25, 150, 1.9, 1700, 2.5e9)
	period := Duration(40 * time.Second)
	return map[string]*customer{
		"counter": {
			scenario:      Scenario{Name: "counter", ArrivalPeriod: period, VMs: int(scale * 32), Workers: fleet(12, 32_000, 128e9, 900*us, 400*ms), Queues: counter, Bursts: bursts},
			organizations: 20,
		},
		"campsite": {
			scenario:  Scenario{Name: "campsite", ArrivalPeriod: period, VMs: int(scale * 44), Workers: fleet(20, 16_000, 32e9, 3900*us, 900*ms), Queues: campsite, Bursts: bursts},
			tailShare: 0.03, tailFactor: 7,
			tailMost: map[string]time.Duration{"urgent": 9 * time.Second, "gang": 36 * time.Second, "batch": 20 * time.Second},
		},
	}
}

// adapt gives a drawn job an organization and the tail.
func (c *customer) adapt(p *simJob, seed uint64) {
	hash := uint64(0)
	for _, b := range []byte(p.ID) {
		hash = hash*31 + uint64(b)
	}
	r := rand.New(rand.NewPCG(seed, hash))
	if c.organizations > 0 {
		n := 0
		for n < c.organizations-1 && r.Float64() > max(math.Exp2(-float64(n+2)), 1.0/float64(c.organizations-n)) {
			n++
		}
		p.Organization = fmt.Sprintf("org-%02d", n)
	}
	if r.Float64() >= c.tailShare {
		return
	}
	objective := p.objective - time.Duration(p.queue.Slack)
	for _, work := range p.work {
		var before, after time.Duration
		for n, w := range work {
			before = max(before, w)
			work[n] = min(time.Duration(c.tailFactor*float64(w)), max(w, c.tailMost[p.queue.Name]))
			after = max(after, work[n])
		}
		objective += time.Duration(p.queue.Stretch * float64(after-before))
	}
	p.objective = objective + time.Duration(p.queue.Slack)
}

func (c *customer) simulate(d engine.Durations, seed uint64, load float64) *Result {
	s := c.scenario
	s.Durations = d
	sim := newSimulation(&s, engine.Policy{}, seed)
	for _, p := range s.draw(seed, load) {
		c.adapt(p, seed)
		sim.jobs[p.ID] = p
		sim.after(p.arrivalOffset, func() { sim.submit(p) })
	}
	sim.tick()
	sim.run(startTime.Add(time.Duration(s.ArrivalPeriod) + completionPeriod))
	return sim.summarize()
}

// served is what callers got, summed over seeds.
type served struct {
	earned, attainable float64
	jobs, onTime       int
	wasted             float64
}

func (c *customer) serve(d engine.Durations, seeds int, load float64) served {
	results := make([]*Result, seeds)
	var group sync.WaitGroup
	turn := make(chan struct{}, 2)
	for i := range results {
		group.Go(func() {
			turn <- struct{}{}
			results[i] = c.simulate(d, uint64(i+1), load)
			<-turn
		})
	}
	group.Wait()
	var sum served
	for _, r := range results {
		sum.earned += r.Earned
		sum.attainable += r.Attainable
		sum.wasted += r.WastedCoreSeconds
		for _, q := range r.Queues {
			sum.jobs += q.Jobs
			sum.onTime += q.OnTime
		}
	}
	return sum
}

// TestLearnedDurationsServeCallers guards against learned durations that serve callers worse than the
// estimates, or no better than noise, under the loads of both customers at 1.4 times their rates, in sums
// over seeds. Settings that are equally good differ by up to 1% in such sums.
func TestLearnedDurationsServeCallers(t *testing.T) {
	const seeds, scale, overload = 2, 0.3, 1.4
	earned := make(map[engine.Durations]float64)
	for name, c := range customers(scale) {
		for _, d := range []engine.Durations{engine.DurationsEstimates, engine.DurationsLearned, engine.DurationsNoise} {
			got := c.serve(d, seeds, overload)
			t.Logf("%s with %s: earned %.1f of %.1f, %d of %d jobs on time, %.0f core-seconds wasted", name, d, got.earned, got.attainable, got.onTime, got.jobs, got.wasted)
			earned[d] += got.earned
		}
	}
	learned, estimates, noise := earned[engine.DurationsLearned], earned[engine.DurationsEstimates], earned[engine.DurationsNoise]
	if learned < 0.99*estimates || learned <= noise {
		t.Errorf("earned %.1f with learned durations, %.1f with estimates and %.1f with noise", learned, estimates, noise)
	}
}
