package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// cutOff advances the time while w1 and the store do not answer but w2 does, and returns the starts.
func (e *testEngine) cutOff(length time.Duration) []Start {
	var starts []Start
	for end := e.now.Add(length); e.now.Before(end); {
		e.now = e.now.Add(100 * time.Millisecond)
		e.apply(PollFailed{Worker: "w1"})
		e.poll("w2", Report{})
		starts = append(starts, commandsOfType[Start](e.apply(Tick{}))...)
		starts = append(starts, commandsOfType[Start](e.Schedule(e.now))...)
	}
	return starts
}

// TestReplacedLeaderStartsNothingAgain guards against running a task twice: its worker, which the
// leader has lost contact with, runs it on under the leases of a later leader.
func TestReplacedLeaderStartsNothingAgain(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	start := e.startOne(t, "job")
	e.addWorker("w2")
	if starts := e.cutOff(10 * testLease); len(starts) > 0 {
		t.Fatalf("started %+v without proof that no later leader renews the lease on %s", starts, start.Worker)
	}
	if _, urgent := e.WantedRoster(e.now); !urgent {
		t.Error("the row is not renewed at once, although a task waits for the proof")
	}
	e.confirm()
	if starts := e.cutOff(time.Second); len(starts) != 1 || starts[0].Task != start.Task || starts[0].Worker != "w2" {
		t.Errorf("starts after the proof: %+v, want the task on w2", starts)
	}
}

// TestNothingIsGrantedAfterTheTerm guards against running a task twice: a leader that does not know
// that it was replaced keeps runs alive, or starts them, that the later leader has waited out.
func TestNothingIsGrantedAfterTheTerm(t *testing.T) {
	for name, after := range map[string]time.Duration{"in its term": simTerm / 2, "after its term": simTerm} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.apply(JobAccepted{Job: testJob("job", 1)})
			e.now = e.now.Add(after)
			e.poll("w1", Report{})
			want := after < simTerm
			request, _ := e.NextPoll(e.now, "w1")
			if granted := request.LeaseUntil > 0; granted != want {
				t.Errorf("lease granted: %v, want %v", granted, want)
			}
			if started := len(commandsOfType[Start](e.Schedule(e.now))) > 0; started != want {
				t.Errorf("started: %v, want %v", started, want)
			}
		})
	}
}

// TestInheritedJobsWaitForProof guards against a leader that takes the leases of its predecessor for
// expired although its own successor has polled the worker and renews them.
func TestInheritedJobsWaitForProof(t *testing.T) {
	leases := testStart.Add(time.Second)
	e := newTestEngine(t, Options{PreviousRoster: Roster{Workers: []string{"gone"}}, PreviousLeasesUntil: leases}, testWorker("w2"))
	e.apply(JobAccepted{Job: testJob("job", 1), Inherited: true})
	if starts := e.cutOff(2 * time.Second); len(starts) > 0 {
		t.Fatalf("started %+v without proof", starts)
	}
	e.confirm()
	if starts := e.cutOff(time.Second); len(starts) != 1 || starts[0].Task.Job != jobs.ID("job") {
		t.Errorf("starts after the proof: %+v, want one of the job", starts)
	}
}

// TestRestartReopensWorkerToPreviousLeader guards against running a task twice: a worker that was polled
// restarts, knows no fencing token, and takes a start from the previous leader.
func TestRestartReopensWorkerToPreviousLeader(t *testing.T) {
	for name, c := range map[string]struct {
		restartAfter time.Duration
		want         bool
	}{
		"while the previous leader may act": {200 * time.Millisecond, false},
		"after its term":                    {simTerm + time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			active := testStart.Add(simTerm)
			opts := Options{
				Epoch: 2, PreviousActiveUntil: active, PreviousLeasesUntil: active.Add(testLease + time.Second),
				PreviousRoster: Roster{Workers: []string{"w1", "w2"}},
			}
			e := newTestEngine(t, opts, testWorker("w1"), testWorker("w2"))
			e.now = e.now.Add(c.restartAfter)
			e.answer("w1", testStart.Add(time.Second), Report{Clock: time.Second})
			e.apply(JobAccepted{Job: testJob("job", 1), Inherited: true})
			e.confirm()
			if started := len(e.cutOff(time.Second)) > 0; started != c.want {
				t.Errorf("started on w2 before w1 was polled again: %v, want %v", started, c.want)
			}
		})
	}
}

// TestLeaseIsUnknownUntilSynchronized guards against starting a task again whose worker has listed it
// as running, in a report that did not carry the last fencing token.
func TestLeaseIsUnknownUntilSynchronized(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	start := e.startOne(t, "job")
	running := Report{Running: []ActiveRun{{Task: start.Task, Run: start.Run}}}
	restarted := testStart.Add(time.Second)
	e.answer("w1", restarted, Report{Clock: time.Second})
	request, _ := e.NextPoll(e.now, "w1")
	e.apply(PollFailed{Worker: "w1", Fence: request.Fence})
	running.Clock, running.StartedAt = 2*time.Second, restarted
	e.apply(WorkerPolled{Worker: "w1", Sent: e.now, Fence: request.Fence, Report: running})
	e.runPass(time.Second)
	if len(e.workers["w1"].runs) != 1 {
		t.Error("the run was given up although its worker lists it as running")
	}
}
