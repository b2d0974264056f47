package engine

import (
	"net/netip"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// testStart is the time at which the tests of this package begin.
var testStart = time.Unix(1_800_000_000, 0)

const testLease = 6 * time.Second

// testWorker returns a directory entry with capacity for four of testJob's tasks.
func testWorker(id string) Worker {
	return Worker{
		ID: id, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: roster.Resources{Millicores: 4000, MemoryBytes: 4 << 30}, StartedAt: testStart,
	}
}

// testJob returns a job of one step with the given number of tasks, of one core each.
func testJob(id jobs.ID, count int) jobs.Job {
	return jobs.Job{
		ID:        id,
		Queue:     jobs.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second},
		Spec:      jobs.NewSpec("spec"),
		ArrivedAt: testStart,
		Steps: []jobs.Step{{
			Count: count, PerTask: roster.Resources{Millicores: 1000, MemoryBytes: 1 << 30},
			Estimate: time.Second, DisruptionBudget: -1,
		}},
	}
}

// testEngine is an engine with polled workers, and the current time of the test.
type testEngine struct {
	*Engine
	now time.Time
}

func newTestEngine(t *testing.T, opts Options, workers ...Worker) *testEngine {
	t.Helper()
	if opts.Epoch == 0 {
		opts.Epoch = 1
	}
	opts.StopTime, opts.EntryTerm = time.Second, simEntryTerm
	if opts.MaxLease == 0 {
		opts.LeaseTerm, opts.MaxLease = testLease, testLease
	}
	e := &testEngine{Engine: New(opts), now: testStart}
	for _, w := range workers {
		e.apply(WorkerListed{Worker: w})
		e.poll(w.ID, Report{})
	}
	e.confirm()
	roster, _ := e.WantedRoster(e.now)
	e.RosterRecorded(roster)
	return e
}

func (e *testEngine) apply(event Event) []Command { return e.Apply(e.now, event) }

// poll delivers a report to a poll that was sent a millisecond ago.
func (e *testEngine) poll(id string, report Report) []Command {
	report.StartedAt = e.workers[id].StartedAt
	if report.Clock == 0 {
		report.Clock = e.now.Sub(testStart) + time.Minute
	}
	return e.apply(WorkerPolled{Worker: id, Sent: e.now.Add(-time.Millisecond), Fence: e.fence(e.workers[id]), Report: report})
}

// addWorker lists a worker, polls it, and records it in the roster.
func (e *testEngine) addWorker(id string) {
	e.apply(WorkerListed{Worker: testWorker(id)})
	e.poll(id, Report{})
	roster, _ := e.WantedRoster(e.now)
	e.RosterRecorded(roster)
}

// confirm lets the store answer: there is no later leader yet, and the directory is as delivered.
func (e *testEngine) confirm() []Command {
	e.apply(DirectoryRead{WrittenAfter: e.now})
	return e.apply(LeadershipConfirmed{At: e.now, Until: e.now.Add(simTerm)})
}

// runPass advances the time, confirms the leadership, delivers a Tick and makes a scheduling pass.
func (e *testEngine) runPass(after time.Duration) []Command {
	e.now = e.now.Add(after)
	e.confirm()
	commands := e.apply(Tick{})
	return append(commands, e.Schedule(e.now)...)
}

// commandsOfType returns the commands of one type.
func commandsOfType[C Command](commands []Command) []C {
	var list []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			list = append(list, c)
		}
	}
	return list
}

// TestLeaseOfLostWorkerLapses guards against a task that is never started again, or is started
// too early, after its worker was lost. The worker stops answering while polls continue. The task
// must start on the other worker only once the lease has expired.
func TestLeaseOfLostWorkerLapses(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	e.apply(JobAccepted{Job: testJob("job", 1)})
	starts := commandsOfType[Start](e.runPass(0))
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	lost := starts[0].Worker
	e.apply(StartAnswered{Worker: lost, Task: starts[0].Task, Run: 1, Outcome: StartAccepted})
	other := map[string]string{"w1": "w2", "w2": "w1"}[lost]
	var again []Start
	for range 200 {
		e.NextPoll(e.now, lost)
		e.apply(PollFailed{Worker: lost})
		e.poll(other, Report{})
		if again = commandsOfType[Start](e.runPass(100 * time.Millisecond)); len(again) > 0 {
			break
		}
	}
	if len(again) != 1 || again[0].Worker != other || again[0].Run != 2 {
		t.Fatalf("starts after the loss of %s: %+v, want run 2 on %s", lost, again, other)
	}
	if waited := e.now.Sub(testStart); waited < testLease {
		t.Errorf("started again after %s, before the lease of %s had expired", waited, testLease)
	}
}

// TestPendingUntilStartIsConfirmed checks that a job counts as pending until a worker has
// confirmed that one of its tasks runs.
func TestPendingUntilStartIsConfirmed(t *testing.T) {
	cases := map[string]struct {
		outcome StartOutcome
		want    int
	}{
		"accepted":    {StartAccepted, 0},
		"unknown":     {StartUnknown, 1},
		"no capacity": {StartNoCapacity, 1},
		"unhealthy":   {StartUnhealthy, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.apply(JobAccepted{Job: testJob("job", 1)})
			command := commandsOfType[Start](e.runPass(0))[0]
			if got := e.PendingByQueue()["queue"]; got != 1 {
				t.Errorf("%d pending before the answer, want 1", got)
			}
			e.apply(StartAnswered{Worker: command.Worker, Task: command.Task, Run: command.Run, Outcome: c.outcome})
			if got := e.PendingByQueue()["queue"]; got != c.want {
				t.Errorf("%d pending after the answer, want %d", got, c.want)
			}
		})
	}
}

// TestStartAcceptedAfterRestart guards against a second start of a run that a worker accepted
// after a restart that the engine did not know of yet.
func TestStartAcceptedAfterRestart(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	e.apply(JobAccepted{Job: testJob("job", 1)})
	command := commandsOfType[Start](e.runPass(0))[0]
	e.apply(StartAnswered{Worker: command.Worker, Task: command.Task, Run: command.Run, Outcome: StartAccepted})
	restarted := testWorker(command.Worker)
	restarted.StartedAt = testStart.Add(time.Millisecond)
	e.apply(WorkerListed{Worker: restarted})
	if again := commandsOfType[Start](e.runPass(10 * time.Millisecond)); len(again) > 0 {
		t.Fatalf("started again before the restarted worker was polled: %+v", again)
	}
	e.now = e.now.Add(10 * time.Millisecond)
	e.poll(command.Worker, Report{Running: []ActiveRun{{Task: command.Task, Run: command.Run}}})
	if again := commandsOfType[Start](e.runPass(10 * time.Millisecond)); len(again) > 0 {
		t.Errorf("started again although the restarted worker runs it: %+v", again)
	}
}

// TestIdleWorkerGetsWorkAtAnyInstant guards against an idle worker that counts as lost. Such a
// worker delays each answer to a poll by the maximum wait, since nothing ends there.
func TestIdleWorkerGetsWorkAtAnyInstant(t *testing.T) {
	const pollTime, step = 1030 * time.Millisecond, 10 * time.Millisecond
	e := newTestEngine(t, Options{}, testWorker("w1"))
	sent := e.now
	for range 500 {
		e.now = e.now.Add(step)
		if e.now.Sub(sent) >= pollTime {
			e.apply(WorkerPolled{Worker: "w1", Sent: sent, Fence: e.fence(e.workers["w1"]), Report: Report{StartedAt: testStart, Clock: e.now.Sub(testStart) + time.Minute}})
			sent = e.now
		}
		if !e.workers["w1"].usable(e.now) {
			t.Fatalf("worker not usable %s after a poll began", e.now.Sub(sent))
		}
		if roster, urgent := e.WantedRoster(e.now); urgent || len(roster.Lost) > 0 {
			t.Fatalf("worker would be recorded as lost %s after a poll began", e.now.Sub(sent))
		}
	}
}

// TestLongestLeaseIsWaitedOut guards against a task that runs twice at a time because its worker
// held a longer lease than this engine had granted. A poll by the clock of an earlier incarnation,
// sent by this or the previous leader, gives a worker that has just restarted the longest lease
// that it accepts.
func TestLongestLeaseIsWaitedOut(t *testing.T) {
	const term, longest = 5 * time.Second, 10 * time.Second
	cases := map[string]struct {
		// restart makes the worker restart after it was polled.
		restart bool
	}{
		"restarted under this leader":     {true},
		"restarted under previous leader": {false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{LeaseTerm: term, MaxLease: longest}, testWorker("w1"))
			if c.restart {
				restarted := testWorker("w1")
				restarted.StartedAt = testStart.Add(time.Second)
				e.apply(WorkerListed{Worker: restarted})
			}
			e.now = e.now.Add(10 * time.Millisecond)
			e.poll("w1", Report{Clock: time.Second})
			polledAt := e.now
			e.apply(JobAccepted{Job: testJob("job", 1)})
			starts := commandsOfType[Start](e.runPass(0))
			if len(starts) != 1 {
				t.Fatalf("%d starts, want 1", len(starts))
			}
			e.apply(StartAnswered{Worker: "w1", Task: starts[0].Task, Run: starts[0].Run, Outcome: StartAccepted})
			e.apply(WorkerListed{Worker: testWorker("w2")})
			var again []Start
			for len(again) == 0 && e.now.Sub(polledAt) < 2*longest {
				e.apply(PollFailed{Worker: "w1"})
				e.poll("w2", Report{})
				roster, _ := e.WantedRoster(e.now)
				e.RosterRecorded(roster)
				again = commandsOfType[Start](e.runPass(100 * time.Millisecond))
			}
			waited := e.now.Sub(polledAt)
			if len(again) != 1 || waited < longest {
				t.Errorf("%d starts elsewhere after %s, want 1 after the longest lease of %s", len(again), waited, longest)
			}
		})
	}
}

// TestPollWithEarlierFenceProvesNothing guards against work on a restarted worker while commands
// to its earlier incarnation can still take effect there. The report answers a poll that was sent
// before the restart was known, so the worker has not seen the raised fencing token.
func TestPollWithEarlierFenceProvesNothing(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	earlier, _ := e.NextPoll(e.now, "w1")
	restarted := testWorker("w1")
	restarted.StartedAt = testStart.Add(time.Second)
	e.apply(WorkerListed{Worker: restarted})
	e.apply(JobAccepted{Job: testJob("job", 1)})
	report := Report{Clock: time.Second, StartedAt: restarted.StartedAt}
	e.apply(WorkerPolled{Worker: "w1", Sent: e.now, Fence: earlier.Fence, Report: report})
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) > 0 {
		t.Errorf("started %+v on a worker that has not seen the raised fencing token", starts)
	}
	next, _ := e.NextPoll(e.now, "w1")
	e.apply(WorkerPolled{Worker: "w1", Sent: e.now, Fence: next.Fence, Report: report})
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) != 1 {
		t.Errorf("%d starts once the worker has seen it, want 1", len(starts))
	}
}

// TestLeaseOfSlowClockKeepsItsTerm guards against leases that grow beyond their term on a worker
// whose clock is 2% slow. Its first answer arrives faster than all later ones, so that their
// readings are below the lowest one that the clock counts as possible.
func TestLeaseOfSlowClockKeepsItsTerm(t *testing.T) {
	const transit = 10 * time.Millisecond
	clockAt := func(now time.Time) time.Duration {
		return time.Minute + time.Duration(minClockRate*float64(now.Sub(testStart)))
	}
	e := newTestEngine(t, Options{})
	e.apply(WorkerListed{Worker: testWorker("w1")})
	e.poll("w1", Report{Clock: clockAt(e.now)})
	for e.now.Sub(testStart) < 10*time.Minute {
		e.now = e.now.Add(time.Second)
		e.confirm()
		e.poll("w1", Report{Clock: clockAt(e.now.Add(-transit))})
		request, _ := e.NextPoll(e.now, "w1")
		if term := request.LeaseUntil - clockAt(e.now); term > testLease || term < testLease-2*transit {
			t.Fatalf("lease of %s after %s, want %s", term, e.now.Sub(testStart), testLease)
		}
	}
}

// TestNoAcknowledgmentAfterFailedPoll guards against results that a restarted worker forgets before
// they were listed, so that their tasks run again. Its results have the numbers of those that its
// earlier incarnation had listed.
func TestNoAcknowledgmentAfterFailedPoll(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: testJob("job", 1)})
	start := commandsOfType[Start](e.runPass(0))[0]
	report := Report{Results: []RunResult{{Sequence: 1, Task: start.Task, Run: start.Run, End: jobs.EndDone}}}
	for _, record := range commandsOfType[Record](e.poll("w1", report)) {
		e.apply(Recorded{IDs: []ProgressID{record.ID}})
	}
	for _, want := range []int64{1, 0, 1} {
		request, _ := e.NextPoll(e.now, "w1")
		if request.AckedUpTo != want {
			t.Errorf("results acknowledged up to %d, want %d", request.AckedUpTo, want)
		}
		if want > 0 {
			e.apply(PollFailed{Worker: "w1"})
		} else {
			e.poll("w1", report)
		}
	}
}
