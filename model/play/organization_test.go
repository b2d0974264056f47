package play

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
)

// ordersScenario returns two fifths of a cell that runs trade orders for eight organizations: small
// urgent jobs, gangs and batches, which take three quarters of the workers. The first organization
// sends twice as much as each of the others. Weights are twice what each usually sends.
func ordersScenario(t *testing.T) *Scenario {
	t.Helper()
	s, err := ParseScenario([]byte(`
name: orders
length: 24s
vms: 13
workers: {count: 140, per-rack: 12, millicores: 32000, memory-bytes: 137000000000, speeds: [0.8, 1.0, 1.25], distances: [1ms, 13ms, 13ms], stop-time: 400ms}
queues:
  - {name: urgent, per-second: 24.1, priority: 0, attempts: 4, worth: 0.402, stretch: 1.5, slack: 400ms, steps: {mean: 1}, width: {mean: 3.2, sigma: 0.8, most: 19}, millicores: {mean: 5000, sigma: 0.45, most: 16000}, memory-bytes: {mean: 14000000000, sigma: 0.6, most: 43000000000}, work: {mean: 1, sigma: 0.5, most: 3}, gang-share: 0.3, guess-spread: 0.2, uneven: 0.3, hopeless-share: 0.03, advice: {decide: 11ms, each: 160us, valid: 2s, good-share: 0.7}}
  - {name: gang, per-second: 1.04, priority: 1, attempts: 4, worth: 10.7, stretch: 2.2, slack: 1200ms, steps: {mean: 1.2, sigma: 0.4, most: 3}, width: {mean: 20, sigma: 0.8, most: 100}, millicores: {mean: 9000, sigma: 0.4, most: 16000}, memory-bytes: {mean: 18000000000, sigma: 0.5, most: 43000000000}, work: {mean: 6.2, sigma: 0.5, most: 12}, gang-share: 1, guess-spread: 0.5, uneven: 0.15, hopeless-share: 0.03, advice: {decide: 540ms, each: 7700us, valid: 2s, good-share: 0.3}}
  - {name: batch, per-second: 3.73, priority: 2, attempts: 4, worth: 3.21, stretch: 4, slack: 3s, steps: {mean: 1.5, sigma: 0.4, most: 4}, width: {mean: 25, sigma: 0.8, most: 100}, millicores: {mean: 3500, sigma: 0.45, most: 12000}, memory-bytes: {mean: 7100000000, sigma: 0.6, most: 21000000000}, work: {mean: 3.4, sigma: 0.5, most: 9}, guess-spread: 0.2, uneven: 0.15, hopeless-share: 0.01, advice: {decide: 120ms, each: 1800us, valid: 2s, good-share: 0.45}}
`))
	if err != nil {
		t.Fatal(err)
	}
	perSecond := 0.0
	for _, q := range s.Queues {
		perSecond += q.PerSecond
	}
	const others = 7
	s.Organizations = &Organizations{}
	for i := range 1 + others {
		share := 1.0
		if i == 0 {
			share = 2
		}
		weight := 2 * perSecond * share / (2 + others)
		s.Organizations.List = append(s.Organizations.List, Organization{Name: fmt.Sprintf("org-%d", i), Weight: weight, LoadShare: share})
	}
	return s
}

// earnings are the values that organizations earned, summed over seeds: of one of them and of the others.
type earnings struct{ one, others, attainable, othersAttainable float64 }

// earnedByOrganization simulates a scenario with seeds 1 to seeds.
func earnedByOrganization(s *Scenario, policy engine.Policy, one string, seeds int) earnings {
	var group sync.WaitGroup
	results := make([]*Result, seeds)
	for seed := range seeds {
		group.Go(func() { results[seed] = Simulate(s, policy, uint64(seed+1), 1) })
	}
	group.Wait()
	var sum earnings
	for _, r := range results {
		for name, o := range r.Organizations {
			if name == one {
				sum.one += o.Earned
				sum.attainable += o.Attainable
				continue
			}
			sum.others += o.Earned
			sum.othersAttainable += o.Attainable
		}
	}
	return sum
}

// TestFloodLeavesOthersUnaffected checks that an organization with a fifth of the load that sends seven
// times its usual, beside a burst of urgent jobs of all, costs the others at most two thirds of what it
// costs them without excess and shares. It guards against excess that takes the capacity that the
// gangs of others wait for.
func TestFloodLeavesOthersUnaffected(t *testing.T) {
	t.Parallel()
	const seeds = 6
	s := ordersScenario(t)
	s.Bursts = []Burst{{Queue: "urgent", At: Duration(9 * time.Second), For: Duration(4 * time.Second), Factor: 1.7}}
	calm := earnedByOrganization(s, engine.Policy{}, "org-0", seeds)
	s.Organizations.Surges = []Surge{{At: Duration(8 * time.Second), For: Duration(6500 * time.Millisecond), Factor: 7}}
	product := earnedByOrganization(s, engine.Policy{}, "org-0", seeds)
	without := earnedByOrganization(s, engine.Policy{NoExcess: true, NoShares: true}, "org-0", seeds)
	for name, e := range map[string]earnings{"calm": calm, "product": product, "without excess and shares": without} {
		t.Logf("%s: the organization earned %.3f of its value, the others %.3f", name, e.one/e.attainable, e.others/e.othersAttainable)
	}
	if cost, costWithout := calm.others-product.others, calm.others-without.others; cost > 2.0/3*costWithout {
		t.Errorf("the flood costs the others %.1f, want at most two thirds of the %.1f without excess and shares", cost, costWithout)
	}
}

// TestIdleSharesAreLent guards against capacity that is kept free for organizations that need none: an
// organization that is alone earns as much with seven times its usual load as without excess and shares.
func TestIdleSharesAreLent(t *testing.T) {
	t.Parallel()
	s := ordersScenario(t)
	for i := range s.Organizations.List[1:] {
		s.Organizations.List[i+1].LoadShare = 0
	}
	for i := range s.Queues {
		s.Queues[i].PerSecond /= 6
	}
	s.Organizations.Surges = []Surge{{At: Duration(8 * time.Second), For: Duration(6500 * time.Millisecond), Factor: 7}}
	product := earnedByOrganization(s, engine.Policy{}, "org-0", 4)
	without := earnedByOrganization(s, engine.Policy{NoExcess: true, NoShares: true}, "org-0", 4)
	t.Logf("earned %.1f, and %.1f without excess and shares", product.one, without.one)
	if product.one < 0.95*without.one {
		t.Errorf("earned %.1f alone, want at least 0.95 of the %.1f without excess and shares", product.one, without.one)
	}
}

// TestSurgeRaisesOneOrganization checks that a surge multiplies the jobs of its organization and leaves
// the number of jobs of the others unchanged: otherwise the model would show the isolation of the
// others under another load than the one without the surge.
func TestSurgeRaisesOneOrganization(t *testing.T) {
	scenario := loadScenario(t, "counter", 1)
	scenario.Bursts = nil
	surge := scenario.Organizations.Surges[0]
	counts := func() (surging, others float64) {
		for _, p := range scenario.draw(3, 1) {
			if p.arrivalOffset < time.Duration(surge.At) || p.arrivalOffset >= time.Duration(surge.At+surge.For) {
				continue
			}
			if p.Organization == organizationName(surge.Organization) {
				surging++
			} else {
				others++
			}
		}
		return surging, others
	}
	surging, others := counts()
	scenario.Organizations.Surges = nil
	usual, usualOthers := counts()
	if ratio := surging / usual; ratio < 0.8*surge.Factor || ratio > 1.25*surge.Factor {
		t.Errorf("the organization sent %.0f jobs instead of %.0f, want about %g times as many", surging, usual, surge.Factor)
	}
	if ratio := others / usualOthers; ratio < 0.85 || ratio > 1.15 {
		t.Errorf("the others sent %.0f jobs instead of %.0f, want about as many", others, usualOthers)
	}
}

// TestCheckpointShortensNextRun checks that a run that begins from a checkpoint takes the rest of the
// work and the time to resume. A model without that would hide what preemption costs and saves.
func TestCheckpointShortensNextRun(t *testing.T) {
	scenario := loadScenario(t, "counter", 0.1)
	w := &worker{sim: &simulation{scenario: scenario, now: startTime}}
	job := &simJob{}
	job.Steps = append(job.Steps, scenario.draw(1, 1)[0].Steps[0])
	job.Steps[0].SavesCheckpoints = true
	first := &run{job: job, worker: w, active: true, startedAt: startTime, duration: 4 * time.Second}
	if got := first.checkpoint(startTime.Add(900 * time.Millisecond)); got != "" {
		t.Errorf("got checkpoint %q before the first interval", got)
	}
	second := &run{job: job, worker: w, duration: 4 * time.Second}
	second.resume(first.checkpoint(startTime.Add(3500 * time.Millisecond)))
	if want := time.Second + time.Duration(scenario.Workers.ResumeTime); second.duration.Round(time.Millisecond) != want {
		t.Errorf("the resumed run takes %s, want %s", second.duration, want)
	}
}
