package play

import (
	"sync"
	"testing"

	"tanagerstack.org/core/engine"
)

// served is what callers got, summed over seeds.
type served struct {
	earned, attainable float64
	jobs, onTime       int
	wasted             float64
}

func serve(scenario *Scenario, d engine.Durations, seeds int, load float64) served {
	s := *scenario
	s.Durations = d
	results := make([]*Result, seeds)
	var group sync.WaitGroup
	turn := make(chan struct{}, 2)
	for i := range results {
		group.Go(func() {
			turn <- struct{}{}
			results[i] = Simulate(&s, engine.Policy{}, uint64(i+1), load)
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
	t.Parallel()
	const seeds, scale, overload = 2, 0.3, 1.4
	earned := make(map[engine.Durations]float64)
	for _, name := range []string{"counter", "campsite"} {
		scenario := loadScenario(t, name, scale)
		for _, d := range []engine.Durations{engine.DurationsEstimates, engine.DurationsLearned, engine.DurationsNoise} {
			got := serve(scenario, d, seeds, overload)
			t.Logf("%s with %s: earned %.1f of %.1f, %d of %d jobs on time, %.0f core-seconds wasted", name, d, got.earned, got.attainable, got.onTime, got.jobs, got.wasted)
			earned[d] += got.earned
		}
	}
	learned, estimates, noise := earned[engine.DurationsLearned], earned[engine.DurationsEstimates], earned[engine.DurationsNoise]
	if learned < 0.99*estimates || learned <= noise {
		t.Errorf("earned %.1f with learned durations, %.1f with estimates and %.1f with noise", learned, estimates, noise)
	}
}
