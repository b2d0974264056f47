package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// startOne starts the only task of a new job and confirms its start.
func (e *testEngine) startOne(t *testing.T, id jobs.ID) Start {
	t.Helper()
	e.apply(JobAccepted{Job: testJob(id, 1)})
	starts := commandsOfType[Start](e.runPass(time.Millisecond))
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	e.apply(StartAnswered{Worker: starts[0].Worker, Task: starts[0].Task, Run: starts[0].Run, Outcome: StartAccepted})
	return starts[0]
}

// answer delivers a report of an incarnation to the next poll of a worker, sent a millisecond ago.
func (e *testEngine) answer(id string, startedAt time.Time, report Report) []Command {
	request, _ := e.NextPoll(e.now, id)
	sent := e.now
	e.now = e.now.Add(time.Millisecond)
	report.StartedAt = startedAt
	if report.Clock == 0 {
		report.Clock = e.now.Sub(testStart) + time.Minute
	}
	return e.apply(WorkerPolled{Worker: id, Sent: sent, Fence: request.Fence, Report: report})
}

// TestEntryProvesNoRestart guards against starting a task again while its worker runs it, because a
// directory entry, perhaps of another writer, names a later incarnation of the worker.
func TestEntryProvesNoRestart(t *testing.T) {
	for name, startedAt := range map[string]time.Time{
		"a millisecond later": testStart.Add(time.Millisecond),
		"in the far future":   testStart.AddDate(5000, 0, 0),
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			start := e.startOne(t, "job")
			running := Report{Running: []ActiveRun{{Task: start.Task, Run: start.Run}}}
			e.answer("w1", testStart, running)
			e.apply(WorkerListed{Worker: testWorker("w2")})
			e.answer("w2", testStart, Report{})
			roster, _ := e.WantedRoster(e.now)
			e.RosterRecorded(roster)
			odd := testWorker("w1")
			odd.StartedAt = startedAt
			for range 20 {
				e.apply(WorkerListed{Worker: odd})
				e.answer("w2", testStart, Report{})
				if starts := commandsOfType[Start](e.runPass(100 * time.Millisecond)); len(starts) > 0 {
					t.Fatalf("started %+v while w1 runs the task", starts)
				}
				e.answer("w1", testStart, running)
			}
			done := Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndDone}}}
			if records := commandsOfType[Record](e.answer("w1", testStart, done)); len(records) != 1 || records[0].Progress.State != jobs.Done {
				t.Errorf("records %+v, want the job as done", records)
			}
		})
	}
}

// TestWorkerIsFollowedAfterWrongStartTime guards against a worker whose reports are ignored for good,
// because an entry named a start time in the future or its wall clock was set back before a restart.
func TestWorkerIsFollowedAfterWrongStartTime(t *testing.T) {
	later := testWorker("w1")
	later.StartedAt = testStart.Add(time.Hour)
	cases := map[string]func(e *testEngine){
		"entry ahead of the worker": func(e *testEngine) { e.apply(WorkerListed{Worker: later}) },
		"entry repaired": func(e *testEngine) {
			e.apply(WorkerListed{Worker: later})
			e.apply(WorkerListed{Worker: testWorker("w1")})
		},
		"wall clock set back": func(e *testEngine) {
			e.answer("w1", later.StartedAt, Report{})
			e.answer("w1", later.StartedAt, Report{})
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			disturb(e)
			e.apply(WorkerListed{Worker: testWorker("w1")})
			for e.now.Sub(testStart) < entryLag+2*time.Second {
				e.now = e.now.Add(time.Second)
				e.answer("w1", testStart, Report{Clock: time.Hour + e.now.Sub(testStart)})
			}
			e.startOne(t, "job")
		})
	}
}

// TestAnswerOfEarlierIncarnationIsIgnored checks that the late answer of an earlier incarnation does
// not count as another restart.
func TestAnswerOfEarlierIncarnationIsIgnored(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	sent := e.now
	restarted := testStart.Add(time.Hour)
	e.answer("w1", restarted, Report{Clock: time.Second})
	e.apply(WorkerPolled{Worker: "w1", Sent: sent.Add(-time.Second), Fence: e.fence(e.workers["w1"]), Report: Report{StartedAt: testStart}})
	if got := e.workers["w1"].StartedAt; !got.Equal(restarted) {
		t.Errorf("incarnation of %s, want %s", got, restarted)
	}
}

// TestAnnouncedRestartOfLostWorker checks that a run whose start got no answer, on a worker that
// has a new entry but never answers again, is given up once no incarnation can have it anymore.
func TestAnnouncedRestartOfLostWorker(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: testJob("job", 1)})
	start := commandsOfType[Start](e.runPass(0))[0]
	e.apply(StartAnswered{Worker: "w1", Task: start.Task, Run: start.Run, Outcome: StartUnknown})
	later := testWorker("w1")
	later.StartedAt = testStart.Add(time.Second)
	e.apply(WorkerListed{Worker: later})
	e.apply(WorkerListed{Worker: testWorker("w2")})
	announced := e.now
	for e.now.Sub(announced) < time.Minute {
		e.apply(PollFailed{Worker: "w1"})
		e.answer("w2", testStart, Report{})
		roster, _ := e.WantedRoster(e.now)
		e.RosterRecorded(roster)
		if starts := commandsOfType[Start](e.runPass(100 * time.Millisecond)); len(starts) > 0 {
			if waited, want := e.now.Sub(announced), maxCommandDelay+LongestLease(testLease); waited < want {
				t.Errorf("started again after %s, want at least %s", waited, want)
			}
			return
		}
	}
	t.Error("not started again within a minute")
}

// TestRestartedWorkerAwaitsItsEntry guards against work for a worker that has restarted as one of
// another kind, by the labels of its earlier incarnation. Its answers arrive before its entry.
func TestRestartedWorkerAwaitsItsEntry(t *testing.T) {
	restarted := testStart.Add(time.Hour)
	entry := func(kind string, startedAt time.Time) Worker {
		w := testWorker("w1")
		w.Labels, w.StartedAt = []string{kind, "r1"}, startedAt
		return w
	}
	cases := map[string]struct {
		entry Worker
		want  int
	}{
		"entry of the earlier incarnation":    {entry("a", testStart), 0},
		"entry of the same kind":              {entry("a", restarted), 1},
		"entry of another kind":               {entry("b", restarted), 0},
		"entry that does not say its start":   {entry("a", time.UnixMilli(0)), 1},
		"entry of one that never answered":    {entry("a", restarted.Add(time.Hour)), 0},
		"leaving, by the earlier one's entry": {func() Worker { w := entry("a", testStart); w.Leaving = true; return w }(), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := entry("a", testStart)
			if c.entry.StartedAt.UnixMilli() == 0 {
				first.StartedAt = c.entry.StartedAt
			}
			e := newTestEngine(t, Options{}, first)
			job := testJob("job", 1)
			job.Steps[0].RequiredLabel = "a"
			for range 2 {
				e.answer("w1", restarted, Report{Clock: time.Second})
			}
			e.apply(JobAccepted{Job: job})
			e.apply(WorkerListed{Worker: c.entry})
			for range 3 {
				e.answer("w1", restarted, Report{Clock: time.Second + e.now.Sub(testStart)})
			}
			if starts := commandsOfType[Start](e.runPass(0)); len(starts) != c.want {
				t.Errorf("%d starts, want %d", len(starts), c.want)
			}
		})
	}
}

// TestOddEntryKeepsRuns guards against giving up the runs of a worker whose entry cannot be used for
// a while: it counts as removed, and its answers show that the runs go on.
func TestOddEntryKeepsRuns(t *testing.T) {
	cases := map[string]func(round int) bool{
		"odd from now on": func(int) bool { return false },
		"odd by turns":    func(round int) bool { return round%2 == 0 },
	}
	for name, sound := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			start := e.startOne(t, "job")
			e.apply(WorkerListed{Worker: testWorker("w2")})
			for round := range int(3 * testLease / (500 * time.Millisecond)) {
				if sound(round) {
					e.apply(WorkerListed{Worker: testWorker("w1")})
				} else {
					e.apply(WorkerUnlisted{ID: "w1"})
				}
				roster, _ := e.WantedRoster(e.now)
				e.RosterRecorded(roster)
				e.answer("w1", testStart, Report{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: round}}})
				e.answer("w2", testStart, Report{})
				if commands := e.runPass(500 * time.Millisecond); len(commandsOfType[Start](commands))+len(commandsOfType[Stop](commands)) > 0 {
					t.Fatalf("%s after the entry turned odd: %+v", e.now.Sub(testStart), commands)
				}
				if request, _ := e.NextPoll(e.now, "w1"); request.LeaseUntil == 0 {
					t.Fatal("the worker's lease is not renewed")
				}
			}
			done := Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndDone}}}
			if records := commandsOfType[Record](e.answer("w1", testStart, done)); len(records) != 1 || records[0].Progress.State != jobs.Done {
				t.Errorf("records %+v, want the job as done", records)
			}
		})
	}
}

// TestUnclearRowsProveNothing guards against starting a task again because the row of its run, or of
// its result, could not be decoded.
func TestUnclearRowsProveNothing(t *testing.T) {
	for name, inherited := range map[string]bool{"run of this leader": false, "run of the previous leader": true} {
		t.Run(name, func(t *testing.T) {
			opts := Options{Epoch: 2}
			if inherited {
				opts.PreviousRoster, opts.PreviousLeasesUntil = Roster{Workers: []string{"w1"}}, testStart.Add(time.Hour)
			}
			e := newTestEngine(t, opts)
			e.apply(WorkerListed{Worker: testWorker("w1")})
			task := jobs.TaskID{StepID: jobs.StepID{Job: "job"}}
			if inherited {
				e.apply(JobAccepted{Job: testJob("job", 1), Inherited: true})
			} else {
				e.answer("w1", testStart, Report{})
				roster, _ := e.WantedRoster(e.now)
				e.RosterRecorded(roster)
				e.startOne(t, "job")
			}
			e.apply(WorkerListed{Worker: testWorker("w2")})
			for range 10 {
				e.answer("w1", testStart, Report{Unclear: []jobs.TaskID{task}, Skipped: 1})
				e.answer("w2", testStart, Report{})
				roster, _ := e.WantedRoster(e.now)
				e.RosterRecorded(roster)
				if starts := commandsOfType[Start](e.runPass(100 * time.Millisecond)); len(starts) > 0 {
					t.Fatalf("started %+v", starts)
				}
			}
			for range 2 {
				e.answer("w1", testStart, Report{})
				e.now = e.now.Add(time.Millisecond)
			}
			if starts := commandsOfType[Start](e.runPass(0)); len(starts) != 1 {
				t.Errorf("%d starts once the worker lists nothing, want 1", len(starts))
			}
		})
	}
}

// TestImplausibleClockIsIgnored checks that a report with a clock that no worker can have changes
// nothing, so that no lease is computed from it.
func TestImplausibleClockIsIgnored(t *testing.T) {
	for name, clock := range map[string]time.Duration{"negative": -time.Second, "too large": maxClock + 1, "largest": 1<<63 - 1} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			before := e.workers["w1"].clock
			e.answer("w1", testStart, Report{Clock: clock})
			if after := e.workers["w1"].clock; after != before {
				t.Errorf("clock %+v, want %+v", after, before)
			}
		})
	}
}

// TestOneReportWithoutRunProvesNothing guards against starting a task again because one report has its
// run neither as running nor as ended. A worker that takes its lists at different instants sends such
// a report if the run ends in between.
func TestOneReportWithoutRunProvesNothing(t *testing.T) {
	cases := map[string]func(e *testEngine, s Start){
		"confirmed": func(*testEngine, Start) {},
		"stopped": func(e *testEngine, s Start) {
			e.stop(e.now, e.workers["w1"].runs[runKey{s.Task, s.Run}])
			e.apply(StopAnswered{Worker: "w1", Task: s.Task, Run: s.Run, Confirmed: true})
		},
		"sent before a restart": func(e *testEngine, _ Start) {
			later := testWorker("w1")
			later.StartedAt = testStart.Add(time.Millisecond)
			e.apply(WorkerListed{Worker: later})
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			start := e.startOne(t, "job")
			prepare(e, start)
			e.now = e.now.Add(time.Millisecond)
			e.answer("w1", testStart, Report{})
			if request, _ := e.NextPoll(e.now, "w1"); !request.Recheck {
				t.Error("the next poll may be held by the worker")
			}
			if starts := commandsOfType[Start](e.runPass(time.Millisecond)); len(starts) > 0 {
				t.Fatalf("started %+v after one report without the run", starts)
			}
			done := Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndDone}}}
			if records := commandsOfType[Record](e.answer("w1", testStart, done)); len(records) != 1 || records[0].Progress.State != jobs.Done {
				t.Errorf("records %+v, want the job as done", records)
			}
		})
	}
}
