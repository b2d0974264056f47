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

// healthResult is what one way to judge workers gave under a load, summed over scenes.
type healthResult struct {
	earned, attainable, wasted float64
	faulty, mostWithheld       int
	detected, returned         []time.Duration
	faultyWithheld, sound      time.Duration
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return list[len(list)/2]
}

// simulateFaults plays a fault on a small part of both customers' scenes.
func simulateFaults(t *testing.T, health engine.Health, fault WorkerFault) healthResult {
	t.Helper()
	var sum healthResult
	for _, name := range []string{"counter", "campsite"} {
		s := loadScenario(t, name, 0.1)
		s.ArrivalPeriod, s.Bursts = Duration(22*time.Second), nil
		s.Health, s.WorkerFaults = health, []WorkerFault{fault}
		c := newSimulation(s, engine.Policy{}, 1)
		r := c.simulate(1, 1)
		for _, w := range c.workers {
			if w.fault != nil {
				sum.faulty++
			}
		}
		sum.earned += r.Earned
		sum.attainable += r.Attainable
		sum.wasted += r.WastedCoreSeconds
		sum.detected = append(sum.detected, r.DetectedAfter...)
		sum.returned = append(sum.returned, r.ReturnedAfter...)
		sum.faultyWithheld += r.FaultyWithheld
		sum.sound += r.SoundWithheld
		sum.mostWithheld = max(sum.mostWithheld, r.MostWithheld)
	}
	t.Logf("%s: earned %.1f of %.1f, %.0f core-seconds wasted, %d of %d faulty workers withheld after %s, %d used again %s after the fault, faulty ones withheld for %s, sound ones for %s, at most %d at a time",
		health, sum.earned, sum.attainable, sum.wasted, len(sum.detected), sum.faulty, median(sum.detected), len(sum.returned), median(sum.returned), sum.faultyWithheld, sum.sound, sum.mostWithheld)
	return sum
}

// TestGradedHealthUnderFaults plays faults of workers with graded health beside basic health. It guards
// against faulty workers that are not withheld, or are as little as with basic health, against sound
// workers that are withheld for the faults of others, and against workers that never come back.
func TestGradedHealthUnderFaults(t *testing.T) {
	t.Parallel()
	earned := make(map[engine.Health]float64)
	for _, name := range []string{"fails half", "flaps", "leaves", "wide faults"} {
		t.Run(name, func(t *testing.T) {
			fault := faultLoads[name]
			basic, graded := simulateFaults(t, engine.HealthBasic, fault), simulateFaults(t, engine.HealthGraded, fault)
			earned[engine.HealthBasic] += basic.earned
			earned[engine.HealthGraded] += graded.earned
			// 70 workers over 22 s, of which a fiftieth may be lost to false suspicion.
			if limit := 70 * 22 * time.Second / 50; graded.sound > limit {
				t.Errorf("sound workers were withheld for %s in all, want %s at most", graded.sound, limit)
			}
			// A fifth of the 35 workers of a scene.
			if graded.mostWithheld > 7 {
				t.Errorf("%d workers of a scene were withheld at the same time, want 7 at most", graded.mostWithheld)
			}
			if name != "fails half" && name != "flaps" {
				return
			}
			if 4*len(graded.detected) < 3*graded.faulty || median(graded.detected) > 7*time.Second {
				t.Errorf("%d of %d faulty workers were withheld, after %s, want three quarters of them, in 7 s", len(graded.detected), graded.faulty, median(graded.detected))
			}
			if graded.faultyWithheld < 3*basic.faultyWithheld/2 {
				t.Errorf("faulty workers were withheld for %s, and for %s with basic health, want half as much again", graded.faultyWithheld, basic.faultyWithheld)
			}
			if len(graded.returned) == 0 {
				t.Error("no worker was used again after its fault")
			}
		})
	}
	t.Logf("earned %.1f with graded health, %.1f with basic health", earned[engine.HealthGraded], earned[engine.HealthBasic])
	if earned[engine.HealthGraded] < 0.97*earned[engine.HealthBasic] {
		t.Errorf("earned %.1f with graded health, want at least 0.97 of the %.1f with basic health", earned[engine.HealthGraded], earned[engine.HealthBasic])
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
