package engine

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// acceleratedWorker returns a directory entry with capacity for four tasks that use a core, a GiB
// and an accelerator each.
func acceleratedWorker(id string) Worker {
	w := testWorker(id)
	w.Capacity.Accelerators = 4
	return w
}

// setCapacity delivers an entry of a worker's present incarnation with another capacity.
func (e *testEngine) setCapacity(id string, change func(*roster.Resources)) {
	entry := e.workers[id].Worker
	change(&entry.Capacity)
	e.apply(WorkerListed{Worker: entry})
}

// setProcessors delivers an entry of a worker's present incarnation with another number of
// millicores.
func (e *testEngine) setProcessors(id string, millicores int64) {
	e.setCapacity(id, func(c *roster.Resources) { c.Millicores = millicores })
}

// pollAll delivers reports of all workers that list the given results, and as running all other
// runs that the engine knows.
func (e *testEngine) pollAll(results map[string][]RunResult) {
	for _, w := range e.sortedWorkers {
		report := Report{Results: results[w.ID]}
		ended := make(map[runKey]bool)
		for _, result := range report.Results {
			ended[runKey{result.Task, result.Run}] = true
		}
		for _, r := range w.sortedRuns() {
			if !ended[r.runKey] && r.phase != unanswered {
				report.Running = append(report.Running, ActiveRun{Task: r.task, Run: r.number})
			}
		}
		e.poll(w.ID, report)
	}
}

// startAll makes a pass, confirms its starts and returns their number on each worker.
func (e *testEngine) startAll(after time.Duration) map[string]int {
	got := make(map[string]int)
	for _, s := range commandsOfType[Start](e.runPass(after)) {
		got[s.Worker]++
		e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	return got
}

// TestShrunkWorkerGetsNothingUntilItFits guards against a start that brings a worker over a
// capacity that has shrunk below what is in use.
func TestShrunkWorkerGetsNothingUntilItFits(t *testing.T) {
	processors := func(n int64) func(*roster.Resources) {
		return func(c *roster.Resources) { c.Millicores = n }
	}
	memory := func(n int64) func(*roster.Resources) { return func(c *roster.Resources) { c.MemoryBytes = n } }
	accelerators := func(n int) func(*roster.Resources) {
		return func(c *roster.Resources) { c.Accelerators = n }
	}
	cases := map[string]struct {
		shrink func(*roster.Resources)
		// change changes the step of two tasks that wait.
		change func(*jobs.Step)
		// want is the number of starts after none, one, two, three and all of the four runs ended.
		want [5]int
	}{
		"processors to a half":                 {processors(2000), nil, [5]int{0, 0, 0, 1, 1}},
		"processors by a part of a task":       {processors(3500), nil, [5]int{0, 0, 1, 1, 0}},
		"processors to a part of a task":       {processors(999), nil, [5]int{}},
		"processors to almost none":            {processors(1), nil, [5]int{}},
		"memory alone":                         {memory(2 << 30), nil, [5]int{0, 0, 0, 1, 1}},
		"accelerators alone":                   {accelerators(1), nil, [5]int{0, 0, 0, 0, 1}},
		"accelerators to none":                 {accelerators(0), nil, [5]int{}},
		"accelerators, which the task ignores": {accelerators(2), func(s *jobs.Step) { s.PerTask.Accelerators = 0 }, [5]int{0, 0, 2, 0, 0}},
		"to nothing":                           {func(c *roster.Resources) { *c = roster.Resources{} }, nil, [5]int{}},
		"processors, for fillers":              {processors(2000), func(s *jobs.Step) { s.Filler = true }, [5]int{0, 0, 2, 0, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, acceleratedWorker("w1"))
			running, waiting := testJob("running", 4), testJob("waiting", 2)
			running.Steps[0].PerTask.Accelerators, waiting.Steps[0].PerTask.Accelerators = 1, 1
			if c.change != nil {
				c.change(&waiting.Steps[0])
			}
			e.apply(JobAccepted{Job: running})
			if got := e.startAll(0)["w1"]; got != 4 {
				t.Fatalf("%d starts, want 4", got)
			}
			e.setCapacity("w1", c.shrink)
			e.apply(JobAccepted{Job: waiting})
			var results []RunResult
			for ended, want := range c.want {
				if ended > 0 {
					results = append(results, RunResult{Sequence: int64(ended), Task: jobs.TaskID{StepID: jobs.StepID{Job: "running"}, Index: ended - 1}, Run: 1, End: jobs.EndDone})
				}
				e.pollAll(map[string][]RunResult{"w1": results})
				if got := e.startAll(50 * time.Millisecond)["w1"]; got != want {
					t.Errorf("%d starts after %d ends, want %d", got, ended, want)
				}
			}
		})
	}
}

// TestShrunkWorkerCountsWhatMayRun guards against a start on a shrunk worker beside a run that is
// being stopped, or whose start was not answered.
func TestShrunkWorkerCountsWhatMayRun(t *testing.T) {
	cases := map[string]func(e *testEngine, s Start){
		"run being stopped": func(e *testEngine, s Start) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
			e.apply(JobCanceled{ID: s.Task.Job})
		},
		"run whose stop was confirmed": func(e *testEngine, s Start) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
			e.apply(JobCanceled{ID: s.Task.Job})
			e.apply(StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Confirmed: true})
		},
		"start without an answer yet": func(*testEngine, Start) {},
		"start that gets no answer": func(e *testEngine, s Start) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartUnknown})
		},
		"run on a worker unlisted meanwhile": func(e *testEngine, s Start) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
			e.apply(WorkerUnlisted{ID: s.Worker})
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.apply(JobAccepted{Job: testJob("first", 1)})
			disturb(e, commandsOfType[Start](e.runPass(0))[0])
			e.setProcessors("w1", 1000)
			e.apply(JobAccepted{Job: testJob("second", 1)})
			for range 10 {
				e.pollAll(nil)
				if got := e.startAll(50 * time.Millisecond); len(got) > 0 {
					t.Fatalf("started %v beside the first run", got)
				}
			}
			result := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "first"}}, Run: 1, End: jobs.EndStopped}
			e.pollAll(map[string][]RunResult{"w1": {result}})
			if got := e.startAll(50 * time.Millisecond); got["w1"] != 1 {
				t.Errorf("started %v once the first run had ended, want one task", got)
			}
		})
	}
}

// TestGrownCapacityIsUsed checks that a worker gets work again once its capacity has grown.
func TestGrownCapacityIsUsed(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.setProcessors("w1", 0)
	e.apply(JobAccepted{Job: testJob("job", 9)})
	for _, c := range []struct {
		millicores int64
		want       int
	}{{0, 0}, {1000, 1}, {500, 0}, {3000, 2}, {8000, 1}} {
		e.setProcessors("w1", c.millicores)
		e.pollAll(nil)
		if got := e.startAll(50 * time.Millisecond)["w1"]; got != c.want {
			t.Errorf("%d starts with %d millicores, want %d", got, c.millicores, c.want)
		}
	}
}

// TestCapacityOfAnotherIncarnation guards against starts by the capacity of an incarnation of a worker
// that does not answer.
func TestCapacityOfAnotherIncarnation(t *testing.T) {
	later := testStart.Add(time.Minute)
	cases := map[string]struct {
		entry time.Time
		// answers holds the incarnations that answer after the entry.
		answers []time.Time
		want    int
	}{
		"present incarnation":                   {testStart, []time.Time{testStart}, 4},
		"earlier incarnation":                   {testStart.Add(-time.Minute), []time.Time{testStart}, 0},
		"later incarnation without an answer":   {later, nil, 0},
		"later incarnation of unknown runs":     {later, []time.Time{later}, 0},
		"later incarnation that was polled":     {later, []time.Time{later, later}, 4},
		"another incarnation than in the entry": {testStart, []time.Time{later, later}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.setProcessors("w1", 0)
			entry := testWorker("w1")
			entry.StartedAt = c.entry
			e.apply(WorkerListed{Worker: entry})
			e.apply(JobAccepted{Job: testJob("job", 9)})
			for _, startedAt := range c.answers {
				e.answer("w1", startedAt, Report{})
			}
			if got := e.startAll(50 * time.Millisecond)["w1"]; got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// TestGangDoesNotOverfillShrunkWorker guards against a gang that starts in capacity reserved for it
// on a worker that has shrunk since.
func TestGangDoesNotOverfillShrunkWorker(t *testing.T) {
	cases := map[string]struct {
		millicores int64
		starts     bool
	}{
		"to a half":         {2000, false},
		"just below a task": {3999, false},
		"still enough":      {4000, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &preemptionTest{
				testEngine: newPreemptionTest(t, func(*jobs.Job, *jobs.Job) {}, Policy{}),
				ends:       make(map[string][]RunResult), stops: make(map[Stop]time.Time),
			}
			w := p.workers["w1"]
			for w.reserved.Millicores == 0 && p.now.Sub(testStart) < 3*time.Second {
				p.step()
			}
			if w.reserved.Millicores == 0 {
				t.Fatal("nothing was reserved for the gang")
			}
			p.setProcessors("w1", c.millicores)
			for p.now.Sub(testStart) < 6*time.Second {
				for _, s := range p.step() {
					if free := p.workers[s.Worker].free(); !ledger.Fits(roster.Resources{}, free) {
						t.Fatalf("%s started on %s, which then has %+v free", s.Task, s.Worker, free)
					}
				}
			}
			if starts := p.gangAfter > 0; starts != c.starts {
				t.Errorf("the gang started: %v, want %v", starts, c.starts)
			}
		})
	}
}

// TestWorkersAreNotKeptForGangThatCannotFit guards against workers that idle for a gang that does not
// fit even when they are empty, since a capacity has shrunk.
func TestWorkersAreNotKeptForGangThatCannotFit(t *testing.T) {
	const memory = 16 << 30
	cases := map[string]struct {
		w1, w2 roster.Resources
		// member is the demand of each of the gang's four members.
		member roster.Resources
		// want is the number of small tasks that start on each worker, where a task of a core lasts.
		want map[string]int
	}{
		"members fit nowhere": {
			roster.Resources{Millicores: 3000, MemoryBytes: memory}, roster.Resources{Millicores: 3000, MemoryBytes: memory},
			roster.Resources{Millicores: 4000}, map[string]int{"w1": 2, "w2": 2},
		},
		"too few members fit": {
			roster.Resources{Millicores: 4000, MemoryBytes: memory}, roster.Resources{Millicores: 2000, MemoryBytes: memory},
			roster.Resources{Millicores: 2000}, map[string]int{"w1": 3, "w2": 1},
		},
		"members fit on both workers": {
			roster.Resources{Millicores: 4000, MemoryBytes: memory}, roster.Resources{Millicores: 4000, MemoryBytes: memory},
			roster.Resources{Millicores: 2000}, map[string]int{},
		},
		"a worker has too little memory for a member": {
			roster.Resources{Millicores: 8000, MemoryBytes: memory}, roster.Resources{Millicores: 9000, MemoryBytes: 1 << 30},
			roster.Resources{Millicores: 2000, MemoryBytes: 2 << 30}, map[string]int{"w2": 8},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
			lasting := testJob("lasting", 2)
			lasting.Steps[0].Service, lasting.Steps[0].MaxPerWorker = true, 1
			e.apply(JobAccepted{Job: lasting})
			e.startAll(0)
			gang := testJob("gang", 4)
			gang.Steps[0].Gang, gang.Steps[0].PerTask = true, c.member
			gang.Queue.Slack = time.Minute
			e.apply(JobAccepted{Job: gang})
			e.setCapacity("w1", func(r *roster.Resources) { *r = c.w1 })
			e.setCapacity("w2", func(r *roster.Resources) { *r = c.w2 })
			for e.now.Sub(testStart) < dedicateAfter+time.Second {
				e.pollAll(nil)
				if started := e.startAll(100 * time.Millisecond); len(started) > 0 {
					t.Fatalf("started %v, want nothing", started)
				}
			}
			small := testJob("small", 9)
			small.Queue.Slack, small.Steps[0].PerTask.MemoryBytes = time.Hour, 0
			e.apply(JobAccepted{Job: small})
			e.pollAll(nil)
			if got := e.startAll(100 * time.Millisecond); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("started %v small tasks, want %v", got, c.want)
			}
		})
	}
}

// TestAdviceOnShrunkWorkers guards against requests for fillers that name workers over their capacity,
// on which nothing fits, in place of others.
func TestAdviceOnShrunkWorkers(t *testing.T) {
	var workers []Worker
	for i := range 2 * minWorkersPerRequest {
		workers = append(workers, testWorker(fmt.Sprintf("w%02d", i)))
	}
	e := newTestEngine(t, Options{}, workers...)
	e.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2"}})
	e.apply(JobAccepted{Job: testJob("running", 8*minWorkersPerRequest)})
	e.startAll(0)
	for _, w := range workers[:minWorkersPerRequest] {
		e.setProcessors(w.ID, 2000)
	}
	fillers := testJob("fillers", 2)
	fillers.Steps[0].Filler, fillers.Steps[0].PerTask.MemoryBytes = true, 0
	fillers.Queue.Advice = &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
	e.apply(JobAccepted{Job: fillers})
	e.pollAll(nil)
	requests := commandsOfType[AdviceRequest](e.runPass(50 * time.Millisecond))
	if len(requests) != 1 {
		t.Fatalf("%d requests, want 1", len(requests))
	}
	for _, id := range requests[0].Workers {
		if w := e.workers[id]; w.free().Millicores < 0 {
			t.Errorf("%s was named, which is %d millicores over its capacity", id, -w.free().Millicores)
		}
	}
}
