package engine

import (
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// crashTest is an engine with workers that crash, and the incarnations that answer.
type crashTest struct {
	*testEngine
	startedAt map[string]time.Time
	sequence  map[string]int64
}

func newCrashTest(t *testing.T, ids ...string) *crashTest {
	t.Helper()
	c := &crashTest{startedAt: make(map[string]time.Time), sequence: make(map[string]int64)}
	var workers []Worker
	for _, id := range ids {
		workers = append(workers, testWorker(id))
		c.startedAt[id] = testStart
	}
	c.testEngine = newTestEngine(t, Options{}, workers...)
	return c
}

// commit delivers the commits of all records.
func (c *crashTest) commit(commands []Command) {
	for _, r := range commandsOfType[Record](commands) {
		c.apply(Recorded{IDs: []ProgressID{r.ID}})
	}
}

// accept confirms starts.
func (c *crashTest) accept(starts []Start) {
	for _, s := range starts {
		c.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
}

// report delivers a report of a worker's present incarnation.
func (c *crashTest) report(id string, r Report) []Command {
	r.Clock = time.Minute + c.now.Sub(c.startedAt[id])
	return c.answer(id, c.startedAt[id], r)
}

// restart lets another incarnation of a worker answer, until the worker is in use again.
func (c *crashTest) restart(id string) []Command {
	c.now = c.now.Add(100 * time.Millisecond)
	c.startedAt[id], c.sequence[id] = c.now, 0
	entry := testWorker(id)
	entry.StartedAt = c.now
	commands := c.apply(WorkerListed{Worker: entry})
	for range 8 {
		commands = append(commands, c.report(id, Report{})...)
	}
	return commands
}

// idle lets all workers report that they run nothing, and returns the starts of the next pass.
func (c *crashTest) idle() []Start {
	for _, id := range c.Workers() {
		if len(c.workers[id].runs) == 0 {
			c.report(id, Report{})
		}
	}
	return commandsOfType[Start](c.runPass(50 * time.Millisecond))
}

// TestDeadlyTaskIsGivenUp guards against a task that goes from worker to worker and crashes each.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		answered, listed bool
		gang             bool
	}{
		"run listed":                {answered: true, listed: true},
		"crash before a report":     {answered: true},
		"crash before the answer":   {},
		"gang, crash before answer": {gang: true},
		"gang, runs listed":         {answered: true, listed: true, gang: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newCrashTest(t, "w1", "w2", "w3")
			job := testJob("job", 1)
			if c.gang {
				job = testJob("job", 6)
				job.Steps[0].Gang = true
			}
			e.apply(JobAccepted{Job: job})
			starts := 0
			var state jobs.State
			for range 60 {
				list := e.idle()
				if len(list) == 0 {
					continue
				}
				starts++
				if c.answered {
					e.accept(list)
				} else {
					for _, s := range list {
						e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartUnknown})
					}
				}
				var crashed []string
				for _, s := range list {
					if !slices.Contains(crashed, s.Worker) {
						crashed = append(crashed, s.Worker)
					}
				}
				for _, id := range crashed {
					if c.listed {
						var running []ActiveRun
						for _, s := range list {
							if s.Worker == id {
								running = append(running, ActiveRun{Task: s.Task, Run: s.Run})
							}
						}
						e.report(id, Report{Running: running})
					}
				}
				for _, id := range crashed {
					commands := e.restart(id)
					for _, r := range commandsOfType[Record](commands) {
						state = r.Progress.State
					}
					e.commit(commands)
				}
			}
			if state != jobs.Failed || starts > maxCrashes {
				t.Errorf("%d starts, stored state %s, want at most %d and failed", starts, state, maxCrashes)
			}
		})
	}
}

// startOf returns the start of a job's only task, or fails the test.
func startOf(t *testing.T, id jobs.ID, starts []Start) Start {
	t.Helper()
	for _, s := range starts {
		if s.Task.Job == id {
			return s
		}
	}
	t.Fatalf("%s was not started, only %v", id, starts)
	return Start{}
}

// TestSoundTaskOutlivesDeadlyNeighbor guards against giving up a sound task because it shared workers
// with deadly ones: after two crashes it must run alone, and new work must keep away meanwhile.
func TestSoundTaskOutlivesDeadlyNeighbor(t *testing.T) {
	e := newCrashTest(t, "w1")
	e.apply(JobAccepted{Job: testJob("sound", 1)})
	for _, neighbor := range []jobs.ID{"deadly1", "deadly2"} {
		e.apply(JobAccepted{Job: testJob(neighbor, 1)})
		starts := e.idle()
		startOf(t, "sound", starts)
		e.accept(starts)
		e.commit(e.restart("w1"))
		e.apply(JobCanceled{ID: neighbor})
	}
	e.apply(JobAccepted{Job: testJob("other", 1)})
	starts := e.idle()
	if len(starts) != 1 {
		t.Fatalf("%d starts on the only worker, want one task alone", len(starts))
	}
	if starts[0].Task.Job == "other" {
		e.accept(starts)
		e.apply(JobAccepted{Job: testJob("later", 1)})
		done := Report{Results: []RunResult{{Sequence: 1, Task: starts[0].Task, Run: starts[0].Run, End: jobs.EndDone}}}
		if more := commandsOfType[Start](e.runPass(time.Millisecond)); len(more) > 0 {
			t.Fatalf("%v started on the worker that is kept", more)
		}
		e.report("w1", done)
		starts = commandsOfType[Start](e.runPass(time.Millisecond))
	}
	sound := startOf(t, "sound", starts)
	e.accept(starts)
	if more := commandsOfType[Start](e.runPass(time.Millisecond)); len(starts) != 1 || len(more) > 0 {
		t.Errorf("%v and %v started, want the suspect alone", starts, more)
	}
	commands := e.report("w1", Report{Results: []RunResult{{Sequence: 2, Task: sound.Task, Run: sound.Run, End: jobs.EndDone}}})
	if records := commandsOfType[Record](commands); len(records) != 1 || records[0].Progress.State != jobs.Done {
		t.Errorf("records %+v, want the sound job as done", records)
	}
}

// TestCrashIsStoredBeforeTheNextStart guards against a count of crashes that is lost with the leader.
func TestCrashIsStoredBeforeTheNextStart(t *testing.T) {
	e := newCrashTest(t, "w1", "w2")
	job := testJob("job", 1)
	e.apply(JobAccepted{Job: job})
	e.accept(e.idle())
	records := commandsOfType[Record](e.restart("w1"))
	if len(records) != 1 || len(records[0].Progress.Steps) != 1 || len(records[0].Progress.Steps[0].Crashes) != 1 {
		t.Fatalf("records %+v, want one with a crash", records)
	}
	if starts := e.idle(); len(starts) > 0 {
		t.Fatalf("%v before the crash is stored", starts)
	}
	e.apply(Recorded{IDs: []ProgressID{records[0].ID}})
	startOf(t, "job", e.idle())

	next := newCrashTest(t, "w1", "w2")
	next.apply(JobAccepted{Job: job, Progress: records[0].Progress})
	var state jobs.State
	starts := 0
	for range 20 {
		list := next.idle()
		if len(list) == 0 {
			continue
		}
		starts++
		next.accept(list)
		commands := next.restart(list[0].Worker)
		for _, r := range commandsOfType[Record](commands) {
			state = r.Progress.State
		}
		next.commit(commands)
	}
	if starts != maxCrashes-1 || state != jobs.Failed {
		t.Errorf("%d starts by the next leader, state %s, want %d and failed", starts, state, maxCrashes-1)
	}
}

// TestDoubtfulCrashCountsLess guards against giving up a task because its starts were sent to workers
// that had been lost before.
func TestDoubtfulCrashCountsLess(t *testing.T) {
	e := newCrashTest(t, "w1", "w2", "w3")
	e.apply(JobAccepted{Job: testJob("job", 1)})
	first := startOf(t, "job", e.idle())
	e.apply(StartAnswered{Worker: first.Worker, Task: first.Task, Run: first.Run, Outcome: StartUnknown})
	var recorded jobs.Progress
	failed := false
	note := func(commands []Command) {
		for _, r := range commandsOfType[Record](commands) {
			recorded, failed = r.Progress, failed || r.Progress.State == jobs.Failed
		}
		e.commit(commands)
	}
	for e.Counters().Crashes == 0 {
		e.confirm()
		e.now = e.now.Add(100 * time.Millisecond)
		for _, id := range e.Workers() {
			if id != first.Worker {
				e.report(id, Report{})
			}
		}
		note(e.apply(Tick{}))
	}
	if crashes := recorded.Steps[0].Crashes; len(crashes) != 1 || !crashes[0].Doubtful {
		t.Fatalf("recorded crashes %+v, want a doubtful one", crashes)
	}
	starts := 0
	for range 60 {
		list := e.idle()
		if len(list) == 0 {
			continue
		}
		starts++
		e.accept(list)
		note(e.restart(list[0].Worker))
	}
	if starts != maxCrashes || !failed {
		t.Errorf("%d more starts, failed %t, want %d and true", starts, failed, maxCrashes)
	}
}

// TestLostWorkerIsNoCrashOnceItAnswers guards against giving up a sound task because its workers were
// cut off again and again and ran on.
func TestLostWorkerIsNoCrashOnceItAnswers(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	start := e.startOne(t, "job")
	e.poll("w1", Report{Running: []ActiveRun{{Task: start.Task, Run: start.Run}}})
	if starts := e.cutOff(testLease + time.Second); len(starts) > 0 {
		t.Fatalf("started %v without proof of the leadership", starts)
	}
	e.confirm()
	again := e.cutOff(time.Second)
	if len(again) != 1 || e.Counters().Crashes != 1 {
		t.Fatalf("%d starts and %d crashes after the lease, want 1 and 1", len(again), e.Counters().Crashes)
	}
	lapsed := Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndExpired}}}
	records := commandsOfType[Record](e.poll("w1", lapsed))
	if len(records) != 1 || len(records[0].Progress.Steps) > 0 || e.Counters().CrashesWithdrawn != 1 {
		t.Errorf("records %+v, %d crashes withdrawn, want one record without crashes", records, e.Counters().CrashesWithdrawn)
	}
}

// TestKeptWorkerIsReleasedOnceItIsTooSmall guards against a worker that idles for an isolated task which
// no longer fits there, since its capacity has shrunk.
func TestKeptWorkerIsReleasedOnceItIsTooSmall(t *testing.T) {
	e := newCrashTest(t, "w1", "w2")
	e.apply(JobAccepted{Job: testJob("load", 8)})
	e.accept(commandsOfType[Start](e.runPass(0)))
	crashes := []jobs.Failure{{Run: 1}, {Run: 2}}
	e.apply(JobAccepted{Job: testJob("suspect", 1), Progress: jobs.Progress{Steps: []jobs.StepProgress{{Crashes: crashes}}}})
	kept := func() (id string) {
		e.runPass(10 * time.Millisecond)
		for _, w := range e.sortedWorkers {
			if w.keptFor != nil {
				id = w.ID
			}
		}
		return id
	}
	first := kept()
	if first == "" {
		t.Fatal("no worker is kept for the suspect")
	}
	e.setProcessors(first, 500)
	if second := kept(); second == first || second == "" {
		t.Errorf("kept %q after %q has shrunk, want the other worker", second, first)
	}
}

// TestIsolatedTaskGetsAWorker guards against a suspect that never starts, because other work keeps
// all workers busy, and against suspects that stop the fleet.
func TestIsolatedTaskGetsAWorker(t *testing.T) {
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	e := newCrashTest(t, ids...)
	ends := make(map[jobs.TaskID]time.Time)
	running := make(map[string]map[jobs.TaskID]int)
	suspects := make(map[jobs.ID]bool)
	for n := range 6 {
		id := jobs.ID("suspect" + string(rune('0'+n)))
		suspects[id] = true
		crashes := []jobs.Failure{{Run: 1}, {Run: 2}}
		e.apply(JobAccepted{Job: testJob(id, 1), Progress: jobs.Progress{Steps: []jobs.StepProgress{{Crashes: crashes}}}})
	}
	e.apply(JobAccepted{Job: testJob("load", 2000)})
	started, present := 0, 0
	for range 200 {
		for _, s := range commandsOfType[Start](e.runPass(100 * time.Millisecond)) {
			if running[s.Worker] == nil {
				running[s.Worker] = make(map[jobs.TaskID]int)
			}
			for other := range running[s.Worker] {
				if suspects[s.Task.Job] || suspects[other.Job] {
					t.Errorf("%s started beside %s on %s", s.Task, other, s.Worker)
				}
			}
			if suspects[s.Task.Job] {
				started++
				present++
			}
			if most := int(maxKeptShare * float64(len(ids))); present > most {
				t.Errorf("%d suspects at a time on %d workers, want at most %d", present, len(ids), most)
			}
			e.accept([]Start{s})
			running[s.Worker][s.Task] = s.Run
			ends[s.Task] = e.now.Add(500 * time.Millisecond).Add(time.Duration(s.Task.Index%7) * 100 * time.Millisecond)
		}
		for _, id := range ids {
			var r Report
			for task, run := range running[id] {
				if e.now.Before(ends[task]) {
					r.Running = append(r.Running, ActiveRun{Task: task, Run: run})
					continue
				}
				delete(running[id], task)
				e.sequence[id]++
				r.Results = append(r.Results, RunResult{Sequence: e.sequence[id], Task: task, Run: run, End: jobs.EndDone})
				if suspects[task.Job] {
					present--
				}
			}
			e.commit(e.report(id, r))
		}
	}
	if started != len(suspects) {
		t.Errorf("%d of %d suspects started", started, len(suspects))
	}
}
