package engine

import (
	"net/netip"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// start is the instant at which the tests of this package begin.
var start = time.Unix(1_800_000_000, 0)

const testLease = 6 * time.Second

// testWorker returns a directory entry with room for four of testJob's tasks.
func testWorker(id string) Worker {
	return Worker{
		ID: id, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: roster.Resources{Millicores: 4000, MemoryBytes: 4 << 30}, StartedAt: start,
	}
}

// testJob returns a job of one step with a number of tasks of one core.
func testJob(id jobs.ID, count int) jobs.Job {
	return jobs.Job{
		ID:        id,
		Queue:     jobs.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second},
		Spec:      jobs.NewSpec("spec"),
		ArrivedAt: start,
		Steps: []jobs.Step{{
			Count: count, PerTask: roster.Resources{Millicores: 1000, MemoryBytes: 1 << 30},
			Estimate: time.Second, DisruptionBudget: -1,
		}},
	}
}

// bench is an engine with looked-at workers at an instant.
type bench struct {
	*Engine
	now time.Time
}

func newBench(t *testing.T, opts Options, workers ...Worker) *bench {
	t.Helper()
	if opts.Epoch == 0 {
		opts.Epoch = 1
	}
	opts.MaxLease, opts.StopTime = testLease, time.Second
	b := &bench{Engine: New(opts), now: start}
	for _, w := range workers {
		b.apply(WorkerListed{Worker: w})
		b.look(w.ID, Report{})
	}
	roster, _ := b.WantedRoster(b.now)
	b.RosterRecorded(roster)
	return b
}

func (b *bench) apply(event Event) []Command { return b.Apply(b.now, event) }

// look brings a report of a worker that was asked a millisecond ago.
func (b *bench) look(id string, report Report) []Command {
	report.StartedAt = b.workers[id].StartedAt
	if report.Clock == 0 {
		report.Clock = b.now.Sub(start) + time.Minute
	}
	return b.apply(WorkerPolled{Worker: id, Sent: b.now.Add(-time.Millisecond), Report: report})
}

// pass lets time go on and makes a pass.
func (b *bench) pass(after time.Duration) []Command {
	b.now = b.now.Add(after)
	commands := b.apply(Tick{})
	return append(commands, b.Schedule(b.now)...)
}

// only returns the commands of one type.
func only[C Command](commands []Command) []C {
	var list []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			list = append(list, c)
		}
	}
	return list
}

// TestLeaseOfLostWorkerLapses checks that a task is started elsewhere once the
// lease of a worker that does not answer has run out, though looks at it go on.
func TestLeaseOfLostWorkerLapses(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"), testWorker("w2"))
	b.apply(JobAccepted{Job: testJob("job", 1)})
	starts := only[Start](b.pass(0))
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	lost := starts[0].Worker
	b.apply(StartAnswered{Worker: lost, Task: starts[0].Task, Run: 1, Outcome: StartAccepted})
	other := map[string]string{"w1": "w2", "w2": "w1"}[lost]
	var again []Start
	for range 200 {
		b.NextPoll(b.now, lost)
		b.apply(PollFailed{Worker: lost})
		b.look(other, Report{})
		if again = only[Start](b.pass(100 * time.Millisecond)); len(again) > 0 {
			break
		}
	}
	if len(again) != 1 || again[0].Worker != other || again[0].Run != 2 {
		t.Fatalf("starts after the loss of %s: %+v, want run 2 on %s", lost, again, other)
	}
	if waited := b.now.Sub(start); waited < testLease {
		t.Errorf("started again after %s, before the lease of %s had run out", waited, testLease)
	}
}

// TestPendingUntilStartIsConfirmed checks that a job counts as pending until a
// worker has confirmed that one of its tasks runs.
func TestPendingUntilStartIsConfirmed(t *testing.T) {
	cases := map[string]struct {
		outcome StartOutcome
		want    int
	}{
		"accepted":  {StartAccepted, 0},
		"unknown":   {StartUnknown, 1},
		"no room":   {StartNoCapacity, 1},
		"unhealthy": {StartUnhealthy, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{}, testWorker("w1"))
			b.apply(JobAccepted{Job: testJob("job", 1)})
			order := only[Start](b.pass(0))[0]
			if got := b.PendingByQueue()["queue"]; got != 1 {
				t.Errorf("%d pending before the answer, want 1", got)
			}
			b.apply(StartAnswered{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: c.outcome})
			if got := b.PendingByQueue()["queue"]; got != c.want {
				t.Errorf("%d pending after the answer, want %d", got, c.want)
			}
		})
	}
}

// TestStartTakenByNewLife checks that a run which a worker accepted after it had
// started anew, before anybody knew that, is not started a second time.
func TestStartTakenByNewLife(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"), testWorker("w2"))
	b.apply(JobAccepted{Job: testJob("job", 1)})
	order := only[Start](b.pass(0))[0]
	b.apply(StartAnswered{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	reborn := testWorker(order.Worker)
	reborn.StartedAt = start.Add(time.Millisecond)
	b.apply(WorkerListed{Worker: reborn})
	if again := only[Start](b.pass(10 * time.Millisecond)); len(again) > 0 {
		t.Fatalf("started again before anybody looked at the new life: %+v", again)
	}
	b.now = b.now.Add(10 * time.Millisecond)
	b.look(order.Worker, Report{Running: []ActiveRun{{Task: order.Task, Run: order.Run}}})
	if again := only[Start](b.pass(10 * time.Millisecond)); len(again) > 0 {
		t.Errorf("started again although the new life runs it: %+v", again)
	}
}

// TestIdleWorkerGetsWorkAtAnyInstant checks that a worker whose looks are held
// back for their whole wait, since nothing ends there, is never taken for lost.
func TestIdleWorkerGetsWorkAtAnyInstant(t *testing.T) {
	const lookTakes, step = 1030 * time.Millisecond, 10 * time.Millisecond
	b := newBench(t, Options{}, testWorker("w1"))
	sent := b.now
	for range 500 {
		b.now = b.now.Add(step)
		if b.now.Sub(sent) >= lookTakes {
			b.apply(WorkerPolled{Worker: "w1", Sent: sent, Report: Report{StartedAt: start, Clock: b.now.Sub(start) + time.Minute}})
			sent = b.now
		}
		if !b.workers["w1"].usable(b.now) {
			t.Fatalf("no work would go to the worker %s after a look began", b.now.Sub(sent))
		}
		if roster, urgent := b.WantedRoster(b.now); urgent || len(roster.Lost) > 0 {
			t.Fatalf("the worker would go on record as lost %s after a look began", b.now.Sub(sent))
		}
	}
}
