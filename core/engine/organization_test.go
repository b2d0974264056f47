package engine

import (
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// capOf is a cap on processors alone.
func capOf(processors int64) roster.Resources { return roster.Resources{Millicores: processors * 1000} }

// setOrganizations applies a new configuration with the given organizations.
func (e *testEngine) setOrganizations(t *testing.T, list ...orgs.Organization) {
	t.Helper()
	directory, err := orgs.NewDirectory(list)
	if err != nil {
		t.Fatal(err)
	}
	version := int64(1)
	if e.config != nil {
		version += e.config.Version
	}
	e.apply(ConfigChanged{Config: &jobs.Config{Version: version, Organizations: directory}})
}

// orgJob returns a job of organization north with tasks of one processor each.
func orgJob(id jobs.ID, count int) jobs.Job {
	job := testJob(id, count)
	job.Organization = "north"
	return job
}

// newCapTest returns an engine with three workers of four processors and a cap for organization north.
func newCapTest(t *testing.T, opts Options, limit roster.Resources) *testEngine {
	t.Helper()
	e := newTestEngine(t, opts, testWorker("w1"), testWorker("w2"), testWorker("w3"))
	e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 10, Cap: limit})
	return e
}

func (e *testEngine) startsIn(commands []Command) int { return len(commandsOfType[Start](commands)) }

// TestCapLimitsStarts guards against starts that bring an organization above its cap in any dimension,
// and against caps that hold back others.
func TestCapLimitsStarts(t *testing.T) {
	gang := func(j *jobs.Job) { j.Steps[0].Gang = true }
	cases := map[string]struct {
		limit  roster.Resources
		change func(*jobs.Job)
		want   int
	}{
		"no limit":                      {roster.Resources{}, nil, 8},
		"processors":                    {capOf(5), nil, 5},
		"processors, less than a task":  {roster.Resources{Millicores: 999}, nil, 0},
		"memory":                        {roster.Resources{MemoryBytes: 3 << 30}, nil, 3},
		"accelerators, none asked for":  {roster.Resources{Accelerators: 1}, nil, 8},
		"gang that fits":                {capOf(8), gang, 8},
		"gang that is wider":            {capOf(7), gang, 0},
		"other organization":            {capOf(1), func(j *jobs.Job) { j.Organization = "south" }, 8},
		"no organization":               {capOf(1), func(j *jobs.Job) { j.Organization = "" }, 8},
		"fillers count with processors": {capOf(5), func(j *jobs.Job) { j.Steps[0].Filler = true }, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newCapTest(t, Options{}, c.limit)
			job := orgJob("job", 8)
			if c.change != nil {
				c.change(&job)
			}
			e.apply(JobAccepted{Job: job})
			if got := e.startsIn(e.runPass(0)); got != c.want {
				t.Errorf("%d tasks started, want %d", got, c.want)
			}
			if got := e.startsIn(e.runPass(time.Second)); got != 0 {
				t.Errorf("%d more tasks started, want none", got)
			}
		})
	}
}

// TestRunsCountUntilTheirEndIsProved guards against starts above the cap while runs are being stopped,
// starts are unanswered, or their worker does not answer.
func TestRunsCountUntilTheirEndIsProved(t *testing.T) {
	e := newCapTest(t, Options{}, capOf(2))
	e.apply(JobAccepted{Job: orgJob("first", 2)})
	e.apply(JobAccepted{Job: orgJob("second", 2)})
	starts := commandsOfType[Start](e.runPass(0))
	if len(starts) != 2 {
		t.Fatalf("%d tasks started, want 2", len(starts))
	}
	e.apply(StartAnswered{Worker: starts[0].Worker, Task: starts[0].Task, Run: starts[0].Run, Outcome: StartAccepted})
	e.apply(StartAnswered{Worker: starts[1].Worker, Task: starts[1].Task, Run: starts[1].Run, Outcome: StartUnknown})
	e.apply(JobCanceled{ID: starts[0].Task.Job})
	for range 4 {
		if got := e.startsIn(e.runPass(400 * time.Millisecond)); got != 0 {
			t.Fatalf("%d tasks started while the stopped runs may exist", got)
		}
	}
	e.poll(starts[0].Worker, Report{Results: []RunResult{{Sequence: 1, Task: starts[0].Task, Run: starts[0].Run, End: jobs.EndStopped}}})
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 1 {
		t.Errorf("%d tasks started after the end of one run, want 1", got)
	}
}

// TestCapBelowUsageStopsNothing guards against runs that are stopped, or started, because a cap has
// fallen below what runs already.
func TestCapBelowUsageStopsNothing(t *testing.T) {
	e := newCapTest(t, Options{}, capOf(6))
	e.apply(JobAccepted{Job: orgJob("job", 8)})
	starts := commandsOfType[Start](e.runPass(0))
	e.setOrganizations(t, orgs.Organization{Name: "north", Cap: capOf(2)})
	commands := e.runPass(100 * time.Millisecond)
	if len(commandsOfType[Stop](commands)) != 0 || e.startsIn(commands) != 0 {
		t.Errorf("commands %v, want none", commands)
	}
	results := make(map[string][]RunResult)
	for i, s := range starts[:4] {
		results[s.Worker] = append(results[s.Worker], RunResult{Sequence: int64(i + 1), Task: s.Task, Run: s.Run, End: jobs.EndDone})
	}
	e.pollAll(results)
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 0 {
		t.Errorf("%d tasks started with two still running, want none", got)
	}
	e.setOrganizations(t, orgs.Organization{Name: "south"})
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 2 {
		t.Errorf("%d tasks started once the configuration lacks the organization, want 2", got)
	}
}

// TestStepWaitingForCapTakesNothing guards against advice requests, dedicated workers and stopped work
// for a gang that must wait for its cap.
func TestStepWaitingForCapTakesNothing(t *testing.T) {
	e := newCapTest(t, Options{}, capOf(7))
	e.apply(AdviceProxiesChanged{Names: []string{"vm1"}})
	gang := orgJob("gang", 8)
	gang.Steps[0].Gang = true
	gang.Queue.Advice = &jobs.AdviceSettings{RequestTime: 10 * time.Millisecond, TicketValidity: time.Second}
	e.apply(JobAccepted{Job: gang})
	later := testJob("later", 12)
	for range 10 {
		if requests := commandsOfType[AdviceRequest](e.runPass(400 * time.Millisecond)); len(requests) != 0 {
			t.Fatalf("advice requested: %v", requests)
		}
		e.pollAll(nil)
	}
	later.ArrivedAt = e.now
	e.apply(JobAccepted{Job: later})
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 12 {
		t.Errorf("%d tasks of another job started, want 12: workers are kept for the gang", got)
	}
}

// TestEarlierRunsCountAgainstCap guards against starts above the cap after a takeover, while a worker
// that was not polled may run tasks of an inherited job, or of one that is not delivered yet.
func TestEarlierRunsCountAgainstCap(t *testing.T) {
	opts := Options{Epoch: 2, PreviousRoster: Roster{Workers: []string{"lost", "w1"}}, PreviousActiveUntil: testStart.Add(time.Second), PreviousLeasesUntil: testStart.Add(10 * time.Second)}
	e := newCapTest(t, opts, capOf(5))
	e.apply(JobAccepted{Job: orgJob("window", 1)})
	if got := e.startsIn(e.runPass(0)); got != 0 {
		t.Errorf("%d tasks started while jobs of the previous leader may be unknown, want none", got)
	}

	// The previous leader started nothing on a worker after it had recorded it as lost, so no job runs
	// there that the record lacks.
	opts.PreviousRoster.Lost = map[string][]jobs.ID{"lost": {"inherited"}}
	e = newCapTest(t, opts, capOf(5))
	e.apply(JobAccepted{Job: orgJob("inherited", 3), Inherited: true})
	e.apply(JobAccepted{Job: orgJob("window", 1)})
	if got := e.startsIn(e.runPass(0)); got != 1 {
		t.Errorf("%d tasks started, want 1: the worker is recorded as lost with the jobs that may run there", got)
	}
	e.now = testStart.Add(1500 * time.Millisecond)
	e.apply(JobsRead{Before: e.now})
	e.pollAll(nil)
	e.apply(JobAccepted{Job: orgJob("new", 5)})
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 1 {
		t.Errorf("%d tasks started, want 1 beside the first one and the 3 that may run on the lost worker", got)
	}
	e.apply(JobCanceled{ID: "inherited"})
	if got := e.startsIn(e.runPass(10 * time.Millisecond)); got != 0 {
		t.Errorf("%d tasks started once the inherited job is canceled, want none: its runs may go on", got)
	}
}

// TestUnknownRequestHoldsBackCappedOrganization guards against starts beside a run of a finished job
// whose request is no longer stored.
func TestUnknownRequestHoldsBackCappedOrganization(t *testing.T) {
	e := newCapTest(t, Options{}, capOf(4))
	e.apply(JobAccepted{Job: jobs.Job{ID: "old", Organization: "north", FinalState: jobs.Canceled}})
	e.poll("w1", Report{Running: []ActiveRun{{Task: jobs.TaskID{StepID: jobs.StepID{Job: "old"}}, Run: 1}}})
	e.apply(JobAccepted{Job: orgJob("job", 1)})
	if got := e.startsIn(e.runPass(0)); got != 0 {
		t.Errorf("%d tasks started, want none", got)
	}
}

// TestJobIsClosedAfterItsRuns guards against a short row, which lacks the requests of the job's tasks,
// while runs of a canceled job may exist: the next leader could not count them.
func TestJobIsClosedAfterItsRuns(t *testing.T) {
	e := newCapTest(t, Options{}, capOf(4))
	e.apply(JobAccepted{Job: orgJob("job", 1)})
	start := commandsOfType[Start](e.runPass(0))[0]
	e.apply(StartAnswered{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: StartAccepted})
	records := commandsOfType[Record](e.apply(JobCanceled{ID: "job"}))
	if len(records) != 1 || records[0].Closed != nil {
		t.Fatalf("records %v, want one that leaves the job's row", records)
	}
	e.apply(Recorded{IDs: []ProgressID{records[0].ID}})
	records = commandsOfType[Record](e.poll(start.Worker, Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndStopped}}}))
	if len(records) != 1 || records[0].Closed == nil || records[0].Closed.Organization != "north" {
		t.Errorf("records %v, want one that closes the job", records)
	}
	if got := e.Status("job").State; got != jobs.Canceled {
		t.Errorf("the job is %v, want canceled", got)
	}
}

// TestJobIsClosedAfterEarlierRuns guards against starts above the cap after two takeovers: if the second
// leader closed a canceled job that may have runs of the first one, the third would not know what they take.
func TestJobIsClosedAfterEarlierRuns(t *testing.T) {
	for name, limits := range map[string][]orgs.Organization{
		"listed": {{Name: "north", Weight: 10, Cap: capOf(4)}},
		"left out of one version of the configuration": {{Name: "south"}},
	} {
		t.Run(name, func(t *testing.T) {
			opts := Options{
				Epoch: 2, PreviousRoster: Roster{Workers: []string{"lost"}, Lost: map[string][]jobs.ID{"lost": {"job"}}},
				PreviousActiveUntil: testStart.Add(time.Second), PreviousLeasesUntil: testStart.Add(10 * time.Second),
			}
			second := newTestEngine(t, opts)
			second.setOrganizations(t, limits...)
			second.apply(JobAccepted{Job: orgJob("job", 3), Inherited: true})
			records := commandsOfType[Record](second.apply(JobCanceled{ID: "job"}))
			if len(records) != 1 {
				t.Fatalf("records %v, want one", records)
			}
			stored := orgJob("job", 3)
			if records[0].Closed != nil {
				stored = *records[0].Closed
			}

			opts.Epoch, opts.PreviousRoster.Workers = 3, []string{"lost", "w1"}
			third := newCapTest(t, opts, capOf(4))
			third.apply(JobAccepted{Job: stored, Progress: records[0].Progress, Inherited: true})
			third.apply(JobAccepted{Job: orgJob("window", 4), Inherited: true})
			if got := third.startsIn(third.runPass(0)); got != 1 {
				t.Errorf("%d tasks started, want 1 beside the 3 of the canceled job that may run on the lost worker", got)
			}

			for leader, e := range map[string]*testEngine{"second": second, "third": third} {
				e.now = testStart.Add(11 * time.Second)
				e.confirm()
				records = slices.DeleteFunc(commandsOfType[Record](append(e.apply(Tick{}), e.runPass(0)...)), func(r Record) bool { return r.ID.Job != "job" })
				if len(records) != 1 || records[0].Closed == nil {
					t.Errorf("the %s leader's records %v after the leases have expired, want one that closes the job", leader, records)
				}
			}
		})
	}
}

// TestOrganizationsNeedConfiguration guards against changed decisions in a cell whose configuration has
// no organizations: the same simulations with and without organizations of jobs must take the same
// course.
func TestOrganizationsNeedConfiguration(t *testing.T) {
	faults := simFaults{loseCommand: 0.05, loseAnswer: 0.05, failTask: 0.1, crashes: 1, disconnects: 1, takeovers: 2, advice: true}
	for seed := range uint64(5) {
		without := simulate(seed, faults, unsafeOptions{})
		faults := faults
		faults.nameOrganizations = true
		with := simulate(seed, faults, unsafeOptions{})
		if !slices.Equal(without.lines, with.lines) {
			t.Errorf("seed %d: the names of organizations changed the decisions", seed)
		}
	}
}
