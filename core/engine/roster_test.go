package engine

import (
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestInheritedJobsWait checks which jobs of a previous leader wait for a worker that was not
// polled.
func TestInheritedJobsWait(t *testing.T) {
	cases := map[string]struct {
		former Roster
		want   int
	}{
		"no previous worker":    {Roster{}, 2},
		"may run any job":       {Roster{Workers: []string{"gone"}}, 0},
		"may run one job":       {Roster{Workers: []string{"gone"}, Lost: map[string][]jobs.ID{"gone": {"job1"}}}, 1},
		"runs neither job":      {Roster{Workers: []string{"gone"}, Lost: map[string][]jobs.ID{"gone": {"other"}}}, 2},
		"polled by this leader": {Roster{Workers: []string{"w1"}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{PreviousRoster: c.former, PreviousLeasesUntil: testStart.Add(time.Hour)}, testWorker("w1"))
			for _, id := range []jobs.ID{"job1", "job2"} {
				e.apply(JobAccepted{Job: testJob(id, 1), Inherited: true})
			}
			if got := len(commandsOfType[Start](e.runPass(0))); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// TestLeavingWorkerIsPutOnRecord checks that a leaving worker is recorded with the jobs that may
// have runs there, so that other jobs need not wait for it.
func TestLeavingWorkerIsPutOnRecord(t *testing.T) {
	cases := map[string]struct {
		count int
		want  []jobs.ID
	}{
		"with a run":   {1, []jobs.ID{"job1"}},
		"without runs": {0, []jobs.ID{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			if c.count > 0 {
				e.apply(JobAccepted{Job: testJob("job1", c.count)})
				e.runPass(0)
			}
			leaving := testWorker("w1")
			leaving.Leaving = true
			e.apply(WorkerListed{Worker: leaving})
			roster, _ := e.WantedRoster(e.now)
			got, listed := roster.Lost["w1"]
			if !listed || got == nil || !slices.Equal(got, c.want) {
				t.Errorf("recorded as lost with jobs %v (%v), want %v", got, listed, c.want)
			}
		})
	}
}

// TestLostWorkerIsRecorded checks that a worker that does not answer is recorded as lost with its
// jobs, and gets work again only once it is recorded as present.
func TestLostWorkerIsRecorded(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: testJob("job1", 1)})
	command := commandsOfType[Start](e.runPass(0))[0]
	e.apply(StartAnswered{Worker: "w1", Task: command.Task, Run: command.Run, Outcome: StartAccepted})
	e.now = e.now.Add(lostAfter + time.Millisecond)
	roster, _ := e.WantedRoster(e.now)
	if want := []jobs.ID{"job1"}; !slices.Equal(roster.Lost["w1"], want) {
		t.Fatalf("lost %v, want %v for w1", roster.Lost, want)
	}
	e.RosterSent(roster)
	e.poll("w1", Report{Running: []ActiveRun{{Task: command.Task, Run: command.Run, Percent: 50}}})
	e.apply(JobAccepted{Job: testJob("job2", 1)})
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) > 0 {
		t.Errorf("started %+v on a worker that is recorded as lost", starts)
	}
	roster, urgent := e.WantedRoster(e.now)
	if !urgent || len(roster.Lost) > 0 {
		t.Errorf("wanted roster %+v, urgent %v; want no lost worker, urgent", roster, urgent)
	}
	e.RosterRecorded(roster)
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) != 1 {
		t.Errorf("%d starts once the worker is recorded as present, want 1", len(starts))
	}
}

// TestLeftWorkerIsNotUsedAfterTakeover guards against starting work on a worker that has left or
// is leaving, by a new leader whose predecessor recorded two workers.
func TestLeftWorkerIsNotUsedAfterTakeover(t *testing.T) {
	leaving := testWorker("w2")
	leaving.Leaving = true
	cases := map[string]struct {
		listed []Worker
		want   int
	}{
		"both are there":   {[]Worker{testWorker("w1"), testWorker("w2")}, 2},
		"one leaves":       {[]Worker{testWorker("w1"), leaving}, 1},
		"one has left":     {[]Worker{testWorker("w1")}, 1},
		"nobody is listed": {nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			previous := Roster{Workers: []string{"w1", "w2"}, Lost: map[string][]jobs.ID{}}
			e := newTestEngine(t, Options{PreviousRoster: previous, PreviousLeasesUntil: testStart.Add(time.Hour)})
			e.apply(WorkersListed{Workers: c.listed})
			for _, w := range c.listed {
				e.poll(w.ID, Report{})
			}
			for _, id := range []jobs.ID{"job1", "job2"} {
				job := testJob(id, 1)
				job.Steps[0].PerTask = testWorker("w1").Capacity
				e.apply(JobAccepted{Job: job})
			}
			roster, _ := e.WantedRoster(e.now)
			e.RosterRecorded(roster)
			starts := commandsOfType[Start](e.runPass(0))
			if len(starts) != c.want {
				t.Fatalf("%d starts, want %d", len(starts), c.want)
			}
			for _, s := range starts {
				if c.want < 2 && s.Worker != "w1" {
					t.Errorf("started on %s, which has left or is leaving", s.Worker)
				}
			}
		})
	}
}

// TestResultsBeyondOneReportAreAwaited guards against starting tasks again that are done. A worker
// of the previous leader has more unacknowledged results than one report lists.
func TestResultsBeyondOneReportAreAwaited(t *testing.T) {
	const tasks = MaxResults + 100
	results := make([]RunResult, 0, tasks)
	for i := range tasks {
		results = append(results, RunResult{
			Sequence: int64(i + 1), Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}, Index: i}, Run: 1, End: jobs.EndDone,
		})
	}
	cases := map[string]struct {
		// waits is the time between the two reports, during which the first one is repeated.
		waits time.Duration
		// lost is set if the worker does not answer after the first report.
		lost bool
		want int
	}{
		"at once":                     {0, false, 0},
		"after previous leases":       {3 * testLease, false, 0},
		"lost, lease not expired":     {testLease / 2, true, 0},
		"lost, lease expired as well": {2 * testLease, true, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			large := testWorker("w1")
			large.Capacity.Millicores, large.Capacity.MemoryBytes = 1000*tasks, tasks<<30
			e := newTestEngine(t, Options{
				Epoch: 2, PreviousRoster: Roster{Workers: []string{"w1"}}, PreviousLeasesUntil: testStart.Add(testLease),
			})
			e.apply(JobAccepted{Job: testJob("job", tasks), Inherited: true})
			e.apply(WorkerListed{Worker: large})
			other := large
			other.ID = "w2"
			e.apply(WorkerListed{Worker: other})
			e.poll("w2", Report{})
			roster, _ := e.WantedRoster(e.now)
			e.RosterRecorded(roster)
			e.poll("w1", Report{Results: results[:MaxResults]})
			starts := 0
			for waited := time.Duration(0); waited <= c.waits; waited += 100 * time.Millisecond {
				starts += len(commandsOfType[Start](e.runPass(100 * time.Millisecond)))
				e.poll("w2", Report{})
				if c.lost {
					e.apply(PollFailed{Worker: "w1"})
					continue
				}
				e.NextPoll(e.now, "w1")
				e.poll("w1", Report{Results: results[:MaxResults]})
			}
			if !c.lost {
				e.poll("w1", Report{Results: results[MaxResults:]})
				starts += len(commandsOfType[Start](e.runPass(0)))
				if state := e.jobs["job"].state; state != jobs.Done {
					t.Errorf("job is %s, want done", state)
				}
			}
			if starts != c.want {
				t.Errorf("%d starts, want %d", starts, c.want)
			}
		})
	}
}

// TestRestartedWorkerOfPreviousLeaderIsAwaited guards against starting a task again that the
// previous leader started on a worker after its restart. The directory still has the entry of the
// earlier incarnation, so this leader learns of the restart from its first poll.
func TestRestartedWorkerOfPreviousLeaderIsAwaited(t *testing.T) {
	e := newTestEngine(t, Options{
		Epoch: 2, PreviousRoster: Roster{Workers: []string{"w1", "w2"}}, PreviousLeasesUntil: testStart.Add(testLease),
	}, testWorker("w2"))
	e.apply(WorkerListed{Worker: testWorker("w1")})
	e.apply(JobAccepted{Job: testJob("job", 1), Inherited: true})
	report := Report{
		Clock: time.Second, StartedAt: testStart.Add(time.Minute),
		Running: []ActiveRun{{Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}}, Run: 1}},
	}
	for range 2 {
		request, _ := e.NextPoll(e.now, "w1")
		e.apply(WorkerPolled{Worker: "w1", Sent: e.now, Fence: request.Fence, Report: report})
		if starts := commandsOfType[Start](e.runPass(time.Millisecond)); len(starts) > 0 {
			t.Fatalf("started %+v while the restarted worker runs the task", starts)
		}
	}
}

// TestUnstoredResultsAreRecordedAsLost guards against starting a task again that is done. Its result
// was reported but is not stored when the worker is lost and the leader is replaced, so the next
// leader learns of it only from the worker.
func TestUnstoredResultsAreRecordedAsLost(t *testing.T) {
	cases := map[string]struct {
		known, removed, stored bool
		want                   []jobs.ID
	}{
		"does not answer":              {true, false, false, []jobs.ID{"job"}},
		"removed from the directory":   {true, true, false, []jobs.ID{"job"}},
		"job not delivered yet":        {false, false, false, []jobs.ID{"job"}},
		"stored":                       {true, false, true, []jobs.ID{}},
		"stored, and entry is removed": {true, true, true, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			if c.known {
				e.apply(JobAccepted{Job: testJob("job", 1)})
			}
			result := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}}, Run: 1, End: jobs.EndDone}
			records := commandsOfType[Record](e.poll("w1", Report{Results: []RunResult{result}}))
			if c.stored {
				e.apply(Recorded{IDs: []ProgressID{records[0].ID}})
			}
			if c.removed {
				e.apply(WorkerUnlisted{ID: "w1"})
			}
			e.now = e.now.Add(lostAfter + time.Millisecond)
			roster, _ := e.WantedRoster(e.now)
			if got, lost := roster.Lost["w1"]; !slices.Equal(got, c.want) || lost != (c.want != nil) {
				t.Errorf("recorded as lost: %v, with jobs %v; want %v", lost, got, c.want)
			}
		})
	}
}

// TestExpiredWorkerStaysRecordedAsLost guards against a later leader that makes all inherited jobs
// wait for a worker on which nothing can run: its lease has expired, or an entry announced that it
// has restarted.
func TestExpiredWorkerStaysRecordedAsLost(t *testing.T) {
	later := testWorker("w1")
	later.StartedAt = testStart.Add(time.Second)
	cases := map[string]struct {
		announced bool
		lostFor   time.Duration
		want      []jobs.ID
	}{
		"lost":                         {false, 2 * time.Second, []jobs.ID{"job"}},
		"lost, lease expired":          {false, 2 * testLease, []jobs.ID{}},
		"restart announced":            {true, 2 * time.Second, []jobs.ID{"job"}},
		"restart announced, long lost": {true, maxCommandDelay + 2*testLease, []jobs.ID{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.startOne(t, "job")
			if c.announced {
				e.apply(WorkerListed{Worker: later})
			}
			for lost := time.Duration(0); lost < c.lostFor; lost += 100 * time.Millisecond {
				e.apply(PollFailed{Worker: "w1"})
				e.runPass(100 * time.Millisecond)
			}
			roster, urgent := e.WantedRoster(e.now)
			if got, lost := roster.Lost["w1"]; !lost || urgent || !slices.Equal(got, c.want) {
				t.Errorf("recorded as lost: %v, with jobs %v, urgent: %v; want %v", lost, got, urgent, c.want)
			}
		})
	}
}
