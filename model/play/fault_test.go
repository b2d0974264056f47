package play

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
)

// faultLoads are the faults that both ways to judge workers are compared under.
var faultLoads = map[string]WorkerFault{
	"fails half":  {Share: 0.1, From: Duration(3 * time.Second), Until: Duration(12 * time.Second), FailShare: 0.5},
	"flaps":       {Share: 0.1, From: Duration(2 * time.Second), Until: Duration(11 * time.Second), FlapPeriod: Duration(4 * time.Second)},
	"leaves":      {Share: 0.14, From: Duration(8 * time.Second), Notice: Duration(2 * time.Second)},
	"wide faults": {Share: 0.6, From: Duration(3 * time.Second), Until: Duration(12 * time.Second), FailShare: 0.7},
}

// faultScene is a small cell with urgent jobs, gangs and batches that take about half of the workers, and
// of which 3% fail on all workers.
const faultScene = `
name: faults
length: 24s
vms: 4
workers: {count: 40, per-rack: 10, millicores: 4000, memory-bytes: 16000000000, speeds: [0.8, 1.0, 1.25], distances: [1ms, 12ms, 12ms], stop-time: 400ms}
queues:
  - {name: urgent, per-second: 16, priority: 0, attempts: 2, worth: 0.4, stretch: 1.5, slack: 400ms, steps: {mean: 1}, width: {mean: 2, sigma: 0.5, most: 6}, millicores: {mean: 1000}, memory-bytes: {mean: 1000000000}, work: {mean: 0.6, sigma: 0.5, most: 2}, guess-spread: 0.2, uneven: 0.3, hopeless-share: 0.03}
  - {name: gang, per-second: 1.5, priority: 1, attempts: 2, worth: 8, stretch: 2.2, slack: 1200ms, steps: {mean: 1}, width: {mean: 8, sigma: 0.5, most: 20}, millicores: {mean: 1500}, memory-bytes: {mean: 1000000000}, work: {mean: 1.5, sigma: 0.5, most: 4}, gang-share: 1, guess-spread: 0.2, hopeless-share: 0.03}
  - {name: batch, per-second: 5, priority: 2, attempts: 4, worth: 2, stretch: 4, slack: 3s, steps: {mean: 1}, width: {mean: 8, sigma: 0.5, most: 30}, millicores: {mean: 1000}, memory-bytes: {mean: 1000000000}, work: {mean: 1, sigma: 0.5, most: 4}, guess-spread: 0.2, uneven: 0.15, hopeless-share: 0.03}
`

// healthResult is what one way to judge workers gave under a load.
type healthResult struct {
	*Result
	faulty int
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return list[len(list)/2]
}

// simulateFaults plays a fault on faultScene.
func simulateFaults(t *testing.T, health engine.Health, fault WorkerFault) healthResult {
	t.Helper()
	s, err := ParseScenario([]byte(faultScene))
	if err != nil {
		t.Fatal(err)
	}
	s.Health, s.WorkerFaults = health, []WorkerFault{fault}
	c := newSimulation(s, engine.Policy{}, 1)
	sum := healthResult{Result: c.simulate(1, 1)}
	for _, w := range c.workers {
		if w.fault != nil {
			sum.faulty++
		}
	}
	t.Logf("%s: earned %.1f of %.1f, %.0f core-seconds wasted, %d of %d faulty workers withheld after %s, %d used again %s after the fault, faulty ones withheld for %s, sound ones for %s, at most %d at a time",
		health, sum.Earned, sum.Attainable, sum.WastedCoreSeconds, len(sum.DetectedAfter), sum.faulty, median(sum.DetectedAfter),
		len(sum.ReturnedAfter), median(sum.ReturnedAfter), sum.FaultyWithheld, sum.SoundWithheld, sum.MostWithheld)
	return sum
}

// TestGradedHealthUnderFaults plays faults of workers with graded health beside basic health. It guards
// against faulty workers that are not withheld, or are as little as with basic health, against sound
// workers that are withheld for the faults of others, against workers that never come back, and against
// less value earned under all faults together.
func TestGradedHealthUnderFaults(t *testing.T) {
	t.Parallel()
	earned := make(map[engine.Health]float64)
	for _, name := range []string{"fails half", "flaps", "leaves", "wide faults"} {
		t.Run(name, func(t *testing.T) {
			fault := faultLoads[name]
			basic, graded := simulateFaults(t, engine.HealthBasic, fault), simulateFaults(t, engine.HealthGraded, fault)
			earned[engine.HealthBasic] += basic.Earned
			earned[engine.HealthGraded] += graded.Earned
			// 40 workers over 24 s, of which a fiftieth may be lost to false suspicion.
			if limit := 40 * 24 * time.Second / 50; graded.SoundWithheld > limit {
				t.Errorf("sound workers were withheld for %s in all, want %s at most", graded.SoundWithheld, limit)
			}
			// A fifth of the 40 workers.
			if graded.MostWithheld > 8 {
				t.Errorf("%d workers were withheld at the same time, want 8 at most", graded.MostWithheld)
			}
			if name != "fails half" && name != "flaps" {
				return
			}
			if 4*len(graded.DetectedAfter) < 3*graded.faulty || median(graded.DetectedAfter) > 7*time.Second {
				t.Errorf("%d of %d faulty workers were withheld, after %s, want three quarters of them, in 7 s", len(graded.DetectedAfter), graded.faulty, median(graded.DetectedAfter))
			}
			if graded.FaultyWithheld < 3*basic.FaultyWithheld/2 {
				t.Errorf("faulty workers were withheld for %s, and for %s with basic health, want half as much again", graded.FaultyWithheld, basic.FaultyWithheld)
			}
			if len(graded.ReturnedAfter) == 0 {
				t.Error("no worker was used again after its fault")
			}
		})
	}
	t.Logf("earned %.1f with graded health, %.1f with basic health", earned[engine.HealthGraded], earned[engine.HealthBasic])
	if earned[engine.HealthGraded] < earned[engine.HealthBasic] {
		t.Errorf("earned %.1f with graded health, want at least the %.1f with basic health", earned[engine.HealthGraded], earned[engine.HealthBasic])
	}
}

// TestParseScenarioChecksWorkerFaults guards against a fault without effect, which would make a
// measurement show nothing.
func TestParseScenarioChecksWorkerFaults(t *testing.T) {
	cases := map[string]struct {
		fault WorkerFault
		valid bool
	}{
		"fails":             {WorkerFault{Share: 0.1, Until: 1, FailShare: 0.5}, true},
		"leaves":            {WorkerFault{Share: 0.1, Notice: 1}, true},
		"nothing":           {WorkerFault{Share: 0.1, Until: 1}, false},
		"two faults":        {WorkerFault{Share: 0.1, Until: 1, FailShare: 0.5, FlapPeriod: 1}, false},
		"no worker":         {WorkerFault{Until: 1, FailShare: 0.5}, false},
		"ends before begin": {WorkerFault{Share: 0.1, From: 2, Until: 1, FailShare: 0.5}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := c.fault.validate(); (err == nil) != c.valid {
				t.Errorf("got error %v, want valid: %v", err, c.valid)
			}
		})
	}
}
