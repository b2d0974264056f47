package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/learn"
	"tanagerstack.org/core/orgs"
)

// newLoadTest returns an engine with two full workers, whose eight tasks of 2 s have just started, and
// two queues.
func newLoadTest(t *testing.T) *testEngine {
	t.Helper()
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	directory, err := orgs.NewDirectory([]orgs.Organization{{Name: "steady", Weight: 10}, {Name: "surging", Weight: 2}, {Name: "without-weight"}})
	if err != nil {
		t.Fatal(err)
	}
	queues := []jobs.Queue{{Name: "batch", Service: "service", Priority: 2}, {Name: "urgent", Service: "service"}}
	e.apply(ConfigChanged{Config: &jobs.Config{Version: 1, Queues: queues, Organizations: directory}})
	running := testJob("running", 8)
	running.Queue.Slack, running.Steps[0].Estimate = time.Minute, 2*time.Second
	e.apply(JobAccepted{Job: running})
	if got := e.startAll(0); got["w1"]+got["w2"] != 8 {
		t.Fatalf("started %v, want 8 tasks", got)
	}
	return e
}

// freeFrom returns the first of the horizons at which an amount of capacity is free for a queue.
func freeFrom(s *intake.Snapshot, queue string, millicores int64) time.Duration {
	for i := range s.Queues {
		for k, free := range s.Queues[i].Free {
			if s.Queues[i].Name == queue && free >= millicores {
				return intake.Horizons[k]
			}
		}
	}
	return -1
}

// TestLoadSnapshotPredictsWait checks the predicted wait against what runs and what waits. A prediction
// that counts too much refuses jobs that would have ended in time.
func TestLoadSnapshotPredictsWait(t *testing.T) {
	e := newLoadTest(t)
	check := func(when, queue string, want time.Duration) {
		t.Helper()
		if got := freeFrom(e.LoadSnapshot(e.now), queue, 8000); got != want {
			t.Errorf("%s: all capacity is free for %s after %s, want %s", when, queue, got, want)
		}
	}
	check("running work of 2 s", "urgent", 2*time.Second)
	check("running work of 2 s", "batch", 2*time.Second)
	waiting := testJob("waiting", 8)
	waiting.Queue.Priority, waiting.Queue.Slack, waiting.Steps[0].Estimate = 1, time.Minute, 2*time.Second
	e.apply(JobAccepted{Job: waiting})
	check("less urgent work waits", "urgent", 2*time.Second)
	check("more urgent work waits", "batch", 4*time.Second)
	e.apply(JobCanceled{ID: "running"})
	check("running work was canceled", "urgent", 0)
	check("running work was canceled", "batch", 2*time.Second)
}

// TestLoadSnapshotLeavesOutWorkAtRisk checks that work that is late, which goes after a new job, does not
// count: the prediction is to be optimistic.
func TestLoadSnapshotLeavesOutWorkAtRisk(t *testing.T) {
	e := newLoadTest(t)
	late := testJob("late", 8)
	late.Queue.Slack, late.Steps[0].Estimate = 0, 2*time.Second
	late.ArrivedAt = testStart.Add(-time.Minute)
	e.apply(JobAccepted{Job: late})
	if got := freeFrom(e.LoadSnapshot(e.now), "batch", 8000); got != 2*time.Second {
		t.Errorf("all capacity is free after %s with late work waiting, want 2s", got)
	}
}

// TestSnapshotNamesOrganizationsNearTheirLimit checks the token buckets: an organization that submits more
// than its weight is reported with what it may still submit, until a second has passed, and one far from its limit is not.
func TestSnapshotNamesOrganizationsNearTheirLimit(t *testing.T) {
	e := newLoadTest(t)
	submit := func(id jobs.ID, organization string, inherited bool) {
		job := testJob(id, 1)
		job.Organization = organization
		e.apply(JobAccepted{Job: job, Inherited: inherited})
	}
	for _, id := range []jobs.ID{"s1", "s2", "s3"} {
		submit(id, "surging", false)
	}
	submit("t1", "steady", false)
	submit("u1", "unknown", false)
	tokens := func() map[string]float64 {
		list := make(map[string]float64)
		for _, o := range e.LoadSnapshot(e.now).Organizations {
			list[o.Name] = o.Jobs
		}
		return list
	}
	if got := tokens(); len(got) != 2 || got["surging"] != 0 || got["without-weight"] != 0 {
		t.Errorf("got %v, want surging and without-weight with 0 jobs left", got)
	}
	submit("s4", "surging", true)
	e.now = e.now.Add(time.Second)
	if got := tokens(); len(got) != 1 {
		t.Errorf("got %v after a second, want without-weight alone: inherited jobs do not count", got)
	}
}

// TestCanceledJobFreesCapacityAtOnce checks that a cancellation stops the runs in the same step, that
// the next job starts in the first pass after they have ended, and that capacity reserved for a canceled
// gang is released in the next pass.
func TestCanceledJobFreesCapacityAtOnce(t *testing.T) {
	e := newLoadTest(t)
	e.apply(JobAccepted{Job: testJob("next", 4)})
	stops := commandsOfType[Stop](e.Apply(e.now, JobCanceled{ID: "running"}))
	if len(stops) != 8 {
		t.Fatalf("%d stops at once, want 8", len(stops))
	}
	e.now = e.now.Add(100 * time.Millisecond)
	results := make(map[string][]RunResult)
	for _, s := range stops {
		list := results[s.Worker]
		results[s.Worker] = append(list, RunResult{Sequence: int64(len(list) + 1), Task: s.Task, Run: s.Run, End: jobs.EndStopped})
	}
	e.pollAll(results)
	started := e.startAll(0)
	if started["w1"]+started["w2"] != 4 {
		t.Errorf("started %v in the pass after the stops, want 4 tasks", started)
	}
	if got, want := e.WastedCoreSeconds()[WasteCanceled], 8*0.1; got < 0.99*want || got > 1.01*want {
		t.Errorf("%.2f core-seconds wasted by the cancellation, want %.2f", got, want)
	}
}

// TestCanceledGangReleasesReservation checks that capacity reserved for a gang, for which work was
// stopped, is free for others in the pass after its cancellation.
func TestCanceledGangReleasesReservation(t *testing.T) {
	p := &preemptionTest{testEngine: newPreemptionTest(t, func(_, _ *jobs.Job) {}, Policy{}), ends: make(map[string][]RunResult), stops: make(map[Stop]time.Time)}
	for len(p.reservingSteps) == 0 && p.now.Sub(testStart) < 3*time.Second {
		p.step()
	}
	if len(p.reservingSteps) == 0 {
		t.Fatal("no capacity was reserved for the gang")
	}
	p.apply(JobCanceled{ID: "gang"})
	p.step()
	if len(p.reservingSteps) != 0 || p.workers["w1"].reserved.Millicores != 0 {
		t.Errorf("%d millicores are reserved for a canceled gang", p.workers["w1"].reserved.Millicores)
	}
	if got := p.WastedCoreSeconds()[WastePreempted]; p.now.Sub(testStart) > 2*time.Second && got == 0 {
		t.Error("preempted work is not counted as waste")
	}
}

// BenchmarkLoadSnapshot measures a snapshot with 20,000 waiting tasks. The leader takes at most ten a second.
func BenchmarkLoadSnapshot(b *testing.B) {
	for _, organizations := range []int{0, 92} {
		for _, workers := range []int{350, 1100} {
			b.Run(fmt.Sprintf("organizations=%d/workers=%d", organizations, workers), func(b *testing.B) {
				c := newPassBenchmark(workers, 20_000, organizations)
				c.markExcess(c.now)
				b.ReportAllocs()
				for b.Loop() {
					c.now = c.now.Add(20 * time.Millisecond)
					c.pollWorkers()
					c.LoadSnapshot(c.now)
				}
			})
		}
	}
}

// TestExcessIsLeftWhatOthersAreNotOwed checks the capacity that is predicted for excess against owed work that
// waits, late or not, and against owed work that arrived lately. Worthless work, and what earlier leaders
// accepted, does not count: the prediction would refuse jobs that have a chance.
func TestExcessIsLeftWhatOthersAreNotOwed(t *testing.T) {
	free := func(e *testEngine, millicores int64) time.Duration {
		t.Helper()
		s := e.LoadSnapshot(e.now)
		for k, amount := range s.Queues[slices.IndexFunc(s.Queues, func(q intake.Queue) bool { return q.Name == "batch" })].ExcessFree {
			if amount >= millicores {
				return intake.Horizons[k]
			}
		}
		return -1
	}
	waiting := func(id jobs.ID, age, slack time.Duration) jobs.Job {
		job := testJob(id, 8)
		job.Organization, job.ArrivedAt = "steady", testStart.Add(-age)
		job.Queue.Slack, job.Steps[0].Estimate, job.Queue.Priority = slack, 2*time.Second, 3
		return job
	}
	cases := map[string]struct {
		job  *jobs.Job
		want time.Duration
	}{
		"nothing waits":               {want: 2 * time.Second},
		"less urgent owed work waits": {job: new(waiting("waiting", 0, time.Minute)), want: 4 * time.Second},
		"late owed work waits":        {job: new(waiting("waiting", 10*time.Second, 9*time.Second)), want: 4 * time.Second},
		"worthless work waits":        {job: new(waiting("waiting", time.Minute, 0)), want: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newLoadTest(t)
			if c.job != nil {
				e.apply(JobAccepted{Job: *c.job, Inherited: true})
				e.runPass(0)
			}
			if got := free(e, 8000); got != c.want {
				t.Errorf("all capacity is free for excess after %s, want %s", got, c.want)
			}
		})
	}
	e := newLoadTest(t)
	for i := range 40 {
		e.now = e.now.Add(250 * time.Millisecond)
		job := testJob(jobs.ID(fmt.Sprintf("arrival%d", i)), 8)
		job.Organization, job.ArrivedAt, job.Steps[0].Estimate = "steady", e.now, 2*time.Second
		e.apply(JobAccepted{Job: job})
		e.runPass(0)
		e.apply(JobCanceled{ID: job.ID})
	}
	if got := free(e, 1000); got != -1 {
		t.Errorf("capacity is free for excess after %s, want none: owed work of eight times the capacity arrives", got)
	}
	for range 60 {
		e.now = e.now.Add(time.Second)
		e.pollAll(nil)
	}
	if got := free(e, 1000); got < 0 {
		t.Error("no capacity is free for excess a minute after the last arrival")
	}
}

// TestArrivalRateIsOptimistic guards against a burst that passes for the load of the next half minute.
func TestArrivalRateIsOptimistic(t *testing.T) {
	var a arrivalRate
	now := testStart
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.observe(now, 100, 200)
	}
	steady, duration := a.lowest(now)
	if steady < 850 || steady > 1050 || duration != 2*time.Second {
		t.Errorf("got %.0f millicores per second of %s, want about 1,000 of 2s", steady, duration)
	}
	if calm, _ := a.lowest(now.Add(3 * time.Second)); calm > 0.5*steady {
		t.Errorf("got %.0f after 3 s without arrivals, want at most half of %.0f", calm, steady)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		a.observe(now, 700, 1400)
	}
	if burst, _ := a.lowest(now); burst > 1.8*steady {
		t.Errorf("got %.0f after a second of seven times the %.0f", burst, steady)
	}
}

// TestSnapshotUsesLearnedDurations checks that VMs predict by what was learned: the median for the objective and
// a low quantile for the requested job, so that one that may be short is not refused.
func TestSnapshotUsesLearnedDurations(t *testing.T) {
	e := newLoadTest(t)
	e.opts.Durations = DurationsLearned
	e.selectDurations()
	for i := range 400 {
		e.learned.Observe(e.now, learn.Key{Queue: "batch", Organization: fmt.Sprintf("org%d", i%4)}, time.Second, 3*time.Second+time.Duration(i%5)*time.Second/2, true)
	}
	s := e.LoadSnapshot(e.now)
	for _, q := range s.Queues {
		if q.Name != "batch" {
			continue
		}
		// Nothing is known of other estimates, so the durations are in proportion to those of 1 s.
		if q.Short < 1500*time.Millisecond || q.Short > 2500*time.Millisecond || q.Long < 24*time.Second || q.Long > 40*time.Second || !(q.LeastShare > 0.5 && q.LeastShare < 0.95) {
			t.Errorf("got %s and %s, %.2f of them at least, want 1.5 to 2.5 s, 24 to 40 s, and 0.5 to 0.95", q.Short, q.Long, q.LeastShare)
		}
	}
}
