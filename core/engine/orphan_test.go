package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestEndOfUnheardJobIsKept guards against a task that runs twice because its result arrived
// before the feed delivered its job. The result must neither be acknowledged nor lost until then.
func TestEndOfUnheardJobIsKept(t *testing.T) {
	e := newTestEngine(t, Options{Epoch: 2}, testWorker("w1"), testWorker("w2"))
	job := testJob("job", 1)
	result := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}}, Run: 1, End: jobs.EndDone}
	e.poll("w1", Report{Results: []RunResult{result}})
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 || !request.AcksPending {
		t.Errorf("results acknowledged up to %d before their job was delivered", request.AckedUpTo)
	}
	e.now = e.now.Add(2 * time.Second)
	e.poll("w1", Report{Results: []RunResult{result}})
	e.poll("w2", Report{})
	records := commandsOfType[Record](e.apply(JobAccepted{Job: job}))
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) != 0 {
		t.Errorf("the task was started again after it was done: %+v", starts)
	}
	if len(records) != 1 || records[0].Progress.State != jobs.Done {
		t.Fatalf("records %+v, want the job as done", records)
	}
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 {
		t.Errorf("the result was acknowledged before it was committed")
	}
	e.apply(Recorded{IDs: []ProgressID{records[0].ID}})
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 1 {
		t.Errorf("results acknowledged up to %d after the commit, want 1", request.AckedUpTo)
	}
}

// TestResultOfUnknownJobExpires checks that a result whose job is never delivered does not block
// the acknowledgment of the worker's other results forever.
func TestResultOfUnknownJobExpires(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	result := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "stranger"}}, Run: 1, End: jobs.EndDone}
	e.poll("w1", Report{Results: []RunResult{result}})
	e.runPass(orphanRetention / 2)
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 {
		t.Errorf("results acknowledged up to %d before orphanRetention, want 0", request.AckedUpTo)
	}
	e.apply(JobsRead{Before: e.now})
	e.runPass(orphanRetention)
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 1 {
		t.Errorf("results acknowledged up to %d after orphanRetention, want 1", request.AckedUpTo)
	}
}

// TestResultIsKeptWhileTheFeedIsAway guards against a task that runs again after its end as done was
// acknowledged: the store is away for longer than orphanRetention, and its job is delivered late.
func TestResultIsKeptWhileTheFeedIsAway(t *testing.T) {
	e := newTestEngine(t, Options{Epoch: 2}, testWorker("w1"))
	done := Report{Results: []RunResult{{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}}, Run: 1, End: jobs.EndDone}}}
	e.apply(JobsRead{Before: e.now.Add(-time.Second)})
	for end := e.now.Add(2 * orphanRetention); e.now.Before(end); {
		e.poll("w1", done)
		e.runPass(100 * time.Millisecond)
	}
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 {
		t.Errorf("results acknowledged up to %d before their job was delivered", request.AckedUpTo)
	}
	e.apply(JobAccepted{Job: testJob("job", 1), Inherited: true})
	e.poll("w1", done)
	if starts := commandsOfType[Start](e.runPass(0)); len(starts) > 0 {
		t.Errorf("started %+v after its end as done was listed", starts)
	}
}

// TestRunOfUnheardJobIsKept guards against stopping a run because the feed has not delivered its
// job yet. The run must continue and become the run of its task once the job is delivered.
func TestRunOfUnheardJobIsKept(t *testing.T) {
	e := newTestEngine(t, Options{Epoch: 2}, testWorker("w1"), testWorker("w2"))
	task := jobs.TaskID{StepID: jobs.StepID{Job: "job"}}
	report := Report{Running: []ActiveRun{{Task: task, Run: 1, Percent: 30}}}
	if stops := commandsOfType[Stop](e.poll("w1", report)); len(stops) != 0 {
		t.Fatalf("the run was stopped before its job was delivered: %+v", stops)
	}
	e.apply(JobAccepted{Job: testJob("job", 1)})
	e.poll("w1", report)
	e.poll("w2", Report{})
	commands := e.runPass(0)
	if starts, stops := commandsOfType[Start](commands), commandsOfType[Stop](commands); len(starts)+len(stops) != 0 {
		t.Errorf("starts %+v and stops %+v, want none", starts, stops)
	}
	result := RunResult{Sequence: 1, Task: task, Run: 1, End: jobs.EndDone}
	if records := commandsOfType[Record](e.poll("w1", Report{Results: []RunResult{result}})); len(records) != 1 || records[0].Progress.State != jobs.Done {
		t.Errorf("records %+v, want the job as done", records)
	}
}

// TestRunOfUnknownJobIsStopped checks that a run whose job is never delivered is stopped after
// orphanRetention.
func TestRunOfUnknownJobIsStopped(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	report := Report{Running: []ActiveRun{{Task: jobs.TaskID{StepID: jobs.StepID{Job: "stranger"}}, Run: 1}}}
	var stoppedAfter time.Duration
	for e.now.Sub(testStart) < 2*orphanRetention && stoppedAfter == 0 {
		e.NextPoll(e.now, "w1")
		e.apply(JobsRead{Before: e.now})
		commands := append(e.poll("w1", report), e.runPass(time.Second)...)
		if len(commandsOfType[Stop](commands)) > 0 {
			stoppedAfter = e.now.Sub(testStart)
		}
	}
	if stoppedAfter < orphanRetention || stoppedAfter > orphanRetention+2*time.Second {
		t.Errorf("stopped after %s, want %s", stoppedAfter, orphanRetention)
	}
}
