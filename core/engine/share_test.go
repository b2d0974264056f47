package engine

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
)

// TestExcessBucket guards against owed jobs that count as excess, and against excess that does not.
func TestExcessBucket(t *testing.T) {
	cases := map[string]struct {
		weight   float64
		arrivals []time.Duration
		want     int
	}{
		"within the weight":             {2, []time.Duration{0, 500, 1000, 1500, 2000}, 0},
		"a second at once":              {3, []time.Duration{0, 0, 0, 0, 0}, 2},
		"the bucket fills again":        {3, []time.Duration{0, 0, 0, 0, 1000, 1000, 1000, 1000}, 2},
		"one at a time is owed":         {0.1, []time.Duration{0, 0, 5000, 10000}, 2},
		"weight zero":                   {0, []time.Duration{0, 10000}, 2},
		"a clock that is behind":        {1, []time.Duration{5000, 0, 6000}, 1},
		"a long pause fills one second": {2, []time.Duration{0, 60000, 60000, 60000}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var bucket excessBucket
			excess := 0
			for _, at := range c.arrivals {
				if bucket.take(testStart.Add(at*time.Millisecond), c.weight) {
					excess++
				}
			}
			if excess != c.want {
				t.Errorf("%d jobs are excess, want %d", excess, c.want)
			}
		})
	}
}

// TestExcessIsMarkedByArrival guards against marks that depend on the order in which a new leader loads
// the stored jobs.
func TestExcessIsMarkedByArrival(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 1, 0, 2}} {
		e := newTestEngine(t, Options{})
		e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 2})
		for _, i := range order {
			job := orgJob(jobs.ID(fmt.Sprintf("job%d", i)), 1)
			job.ArrivedAt = testStart.Add(time.Duration(i) * time.Millisecond)
			e.apply(JobAccepted{Job: job})
		}
		e.now = testStart.Add(time.Second)
		e.runPass(0)
		for i, want := range []bool{false, false, true, true} {
			if got := e.jobs[jobs.ID(fmt.Sprintf("job%d", i))].excess; got != want {
				t.Errorf("loaded in order %v: job %d is excess: %v, want %v", order, i, got, want)
			}
		}
	}
}

// startsByOrganization counts started tasks by the organization of their job.
func (e *testEngine) startsByOrganization(commands []Command) map[string]int {
	counts := make(map[string]int)
	for _, s := range commandsOfType[Start](commands) {
		counts[e.jobs[s.Task.Job].Organization]++
	}
	return counts
}

// TestOrderOfClasses guards against excess that goes before what organizations are owed.
func TestOrderOfClasses(t *testing.T) {
	for name, policy := range map[string]Policy{"product": {}, "no excess": {NoExcess: true}} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Policy: policy}, testWorker("w1"))
			e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 1}, orgs.Organization{Name: "south", Weight: 1})
			for i := range 8 {
				job := orgJob(jobs.ID(fmt.Sprintf("north%d", i)), 1)
				e.apply(JobAccepted{Job: job})
			}
			owed := testJob("south", 2)
			owed.Organization, owed.ArrivedAt = "south", testStart.Add(time.Millisecond)
			owed.Queue.Priority = 1
			e.apply(JobAccepted{Job: owed})
			got := e.startsByOrganization(e.runPass(2 * time.Millisecond))
			if wantSouth := 2; policy.NoExcess && got["south"] != 0 || !policy.NoExcess && got["south"] != wantSouth {
				t.Errorf("started %v, want both tasks of south before the excess of north: %v", got, !policy.NoExcess)
			}
		})
	}
}

// TestLentSharesComeBack guards against an organization that keeps what it was lent: once another one
// has work, that goes first until it has its share.
func TestLentSharesComeBack(t *testing.T) {
	for name, policy := range map[string]Policy{"product": {}, "no shares": {NoShares: true}} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Policy: policy}, testWorker("w1"), testWorker("w2"), testWorker("w3"))
			e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 100}, orgs.Organization{Name: "south", Weight: 100})
			e.apply(JobAccepted{Job: orgJob("lent", 24)})
			starts := commandsOfType[Start](e.runPass(0))
			if len(starts) != 12 {
				t.Fatalf("%d tasks started, want 12: idle shares are lent", len(starts))
			}
			owed := testJob("south", 12)
			owed.Organization, owed.ArrivedAt = "south", testStart.Add(time.Millisecond)
			e.apply(JobAccepted{Job: owed})
			results := make(map[string][]RunResult)
			for _, s := range starts {
				list := results[s.Worker]
				results[s.Worker] = append(list, RunResult{Sequence: int64(len(list) + 1), Task: s.Task, Run: s.Run, End: jobs.EndDone})
			}
			e.now = e.now.Add(time.Second)
			e.pollAll(results)
			got := e.startsByOrganization(e.runPass(0))
			if !policy.NoShares && got["south"] < 6 || policy.NoShares && got["south"] != 0 {
				t.Errorf("started %v, want half of the capacity for south: %v", got, !policy.NoShares)
			}
		})
	}
}

// TestExcessLeavesRoomForGangs guards against excess that takes the capacity that a gang waits for, and
// against excess that waits on idle workers for a gang that cannot fit.
func TestExcessLeavesRoomForGangs(t *testing.T) {
	for name, c := range map[string]struct{ members, want int }{
		"no gang waits":          {0, 8},
		"a gang waits":           {9, 2},
		"a gang of all workers":  {12, 2},
		"a member too many":      {13, 8},
		"a gang that never fits": {100, 8},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"), testWorker("w3"))
			e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 0}, orgs.Organization{Name: "south", Weight: 10})
			e.apply(JobAccepted{Job: testJob("running", 4)})
			if got := e.startsIn(e.runPass(0)); got != 4 {
				t.Fatalf("%d tasks started, want 4", got)
			}
			if c.members > 0 {
				gang := testJob("gang", c.members)
				gang.Organization, gang.Steps[0].Gang = "south", true
				e.apply(JobAccepted{Job: gang})
			}
			e.apply(JobAccepted{Job: orgJob("excess", 12)})
			if got := e.startsIn(e.runPass(time.Millisecond)); got != c.want {
				t.Errorf("%d tasks of the excess started, want %d", got, c.want)
			}
		})
	}
}
