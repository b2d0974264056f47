package play

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/intake"
)

// admissionTotals are the sums over several seeds of what callers got.
type admissionTotals struct {
	earned, attainable float64
	vain, refusals     int
	// surging and others are the value of the organization that surges, and that of the others.
	surging, others Part
}

// totals simulates a scenario with the given seeds under rules for refusing jobs.
func totals(scenario *Scenario, rules intake.Rules, load float64, seeds int) admissionTotals {
	results := make([]*Result, seeds)
	var group sync.WaitGroup
	for i := range seeds {
		group.Go(func() { results[i] = SimulateAdmission(scenario, engine.Policy{}, rules, uint64(i+1), load) })
	}
	group.Wait()
	var sum admissionTotals
	for _, r := range results {
		sum.earned += r.Earned
		sum.attainable += r.Attainable
		sum.vain += r.Vain()
		for _, count := range r.Refusals {
			sum.refusals += count
		}
		for name, part := range r.Organizations {
			total := &sum.others
			if scenario.Organizations != nil && len(scenario.Organizations.Surges) > 0 && name == organizationName(scenario.Organizations.Surges[0].Organization) {
				total = &sum.surging
			}
			total.Earned += part.Earned
			total.Attainable += part.Attainable
		}
	}
	return sum
}

// overloadTotals are the results of a scene with and without refusals.
type overloadTotals struct{ refusing, naive admissionTotals }

// playOverload simulates the two scenes once for all tests: 2.5 times the load, in which also an organization sends
// 7.5 times as much, with all refusals and, as the naive decision, with none.
var playOverload = sync.OnceValues(func() (map[string]overloadTotals, error) {
	list := make(map[string]overloadTotals)
	for _, name := range []string{"counter", "campsite"} {
		scenario, err := readScenario(name, 0.3)
		if err != nil {
			return nil, err
		}
		scenario.ArrivalPeriod = Duration(15 * time.Second)
		if scenario.Organizations != nil {
			scenario.Organizations.Surges[0].At = Duration(5 * time.Second)
		}
		list[name] = overloadTotals{totals(scenario, intake.Rules{TooLate: true, Excess: true}, 2.5, 3), totals(scenario, intake.Rules{}, 2.5, 3)}
	}
	return list, nil
})

// testOverload calls check with the results of each scene.
func testOverload(t *testing.T, check func(t *testing.T, refusing, naive admissionTotals)) {
	t.Helper()
	if testing.Short() {
		t.Skip("takes a minute, and more with the race detector")
	}
	list, err := playOverload()
	if err != nil {
		t.Fatal(err)
	}
	for name, result := range list {
		t.Run(name, func(t *testing.T) {
			t.Logf("earned %.1f of %.1f with %d jobs in vain after %d refusals; without refusals %.1f with %d in vain", result.refusing.earned,
				result.naive.attainable, result.refusing.vain, result.refusing.refusals, result.naive.earned, result.naive.vain)
			check(t, result.refusing, result.naive)
		})
	}
}

// TestRefusalsKeepValue guards against refusals that cost callers value: all that are refused would have earned nothing,
// or are excess. The tolerance is what single gangs make.
func TestRefusalsKeepValue(t *testing.T) {
	t.Parallel()
	testOverload(t, func(t *testing.T, refusing, naive admissionTotals) {
		if refusing.earned < 0.95*naive.earned {
			t.Errorf("earned %.1f, want at least 0.95 times the %.1f without refusals", refusing.earned, naive.earned)
		}
	})
}

// TestRefusalsSpareVainWaits guards against callers that are accepted and get nothing: refusals must not leave more of them
// than there are without.
func TestRefusalsSpareVainWaits(t *testing.T) {
	t.Parallel()
	testOverload(t, func(t *testing.T, refusing, naive admissionTotals) {
		if refusing.vain > naive.vain {
			t.Errorf("%d jobs waited in vain, want at most the %d without refusals", refusing.vain, naive.vain)
		}
	})
}

// TestRefusedCallersComeBack checks what a refused caller does in the model: it comes back when it was told, at most four
// times and within its patience. With other callers the model would show another load than the platform has.
func TestRefusedCallersComeBack(t *testing.T) {
	scenario, err := readScenario("campsite", 0.1)
	if err != nil {
		t.Fatal(err)
	}
	// Refusals come back after 1 to 1.5 s, so the third submission is at least 2 s after the first.
	for patience, want := range map[time.Duration]int{0: 1, 1900 * time.Millisecond: 2, time.Minute: maxSubmissions} {
		scenario.Patience = Duration(patience)
		c := newSimulation(scenario, engine.Policy{}, 1)
		// Capacity is always free after a second, and the organization over its limit.
		full := &intake.Snapshot{Queues: []intake.Queue{{Name: "urgent"}}, Organizations: []intake.Organization{{Name: "org", Jobs: -1000, PerSecond: 2000}}}
		for k, at := range intake.Horizons {
			if at > time.Second {
				full.Queues[0].Free[k] = 1 << 40
			}
		}
		c.door = &door{rules: intake.Rules{Excess: true}, rand: rand.New(rand.NewPCG(1, 1)), snapshots: []*intake.Snapshot{full}}
		var refresh func()
		refresh = func() {
			full.At = c.now
			c.after(100*time.Millisecond, refresh)
		}
		c.after(0, refresh)
		p := scenario.draw(1, 1)[0]
		p.Organization, p.arrivalOffset, p.canceledAfter = "org", 0, 0
		c.after(0, func() { c.submit(p) })
		c.run(startTime.Add(2 * time.Minute))
		if p.submissions != want || c.result.Refusals[string(intake.Excess)] != want {
			t.Errorf("patience %s: submitted %d times, refused %v, want %d of each", patience, p.submissions, c.result.Refusals, want)
		}
	}
}

// TestWeightsHoldInOverload guards against excess that waits in vain behind owed work when all organizations send far
// beyond their weights: weights that rise with the typical load earn more there than fixed ones, with fewer jobs in vain.
func TestWeightsHoldInOverload(t *testing.T) {
	t.Parallel()
	scenario, err := readScenario("counter", 0.1)
	if err != nil {
		t.Fatal(err)
	}
	scenario.ArrivalPeriod = Duration(8 * time.Second)
	scenario.Organizations.Surges = nil
	earned, vain := make(map[bool]float64), make(map[bool]int)
	for _, fixed := range []bool{false, true} {
		for seed := range uint64(2) {
			r := Simulate(scenario, engine.Policy{FixedWeights: fixed}, seed+1, 2.5)
			earned[fixed] += r.Earned
			vain[fixed] += r.Vain()
		}
	}
	t.Logf("earned %.1f with %d jobs in vain; with fixed weights %.1f with %d", earned[false], vain[false], earned[true], vain[true])
	if earned[false] < earned[true] || vain[false] >= vain[true] {
		t.Error("want at least as much, and fewer jobs in vain")
	}
}

// TestNoChanceSparesVainWaits guards against refusals of excess that leave as many callers to wait in vain, or that cost much
// of the value. One wide gang can be a tenth of the value of so small a scene.
func TestNoChanceSparesVainWaits(t *testing.T) {
	t.Parallel()
	scenario, err := readScenario("counter", 0.1)
	if err != nil {
		t.Fatal(err)
	}
	scenario.ArrivalPeriod = Duration(8 * time.Second)
	scenario.Organizations.Surges[0].At = Duration(2 * time.Second)
	refusing, naive := totals(scenario, intake.Rules{NoChance: true}, 2.5, 2), totals(scenario, intake.Rules{}, 2.5, 2)
	t.Logf("earned %.1f with %d jobs in vain after %d refusals; without refusals %.1f with %d", refusing.earned, refusing.vain, refusing.refusals, naive.earned, naive.vain)
	if refusing.vain >= naive.vain || refusing.earned < 0.9*naive.earned {
		t.Error("want fewer jobs in vain, and at least 0.9 times the value")
	}
}
