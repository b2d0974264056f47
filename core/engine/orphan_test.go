package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestEndOfUnheardJobIsKept checks that the end of a task whose job has not come
// through the feed yet is neither confirmed nor forgotten: the task is not run again.
func TestEndOfUnheardJobIsKept(t *testing.T) {
	b := newBench(t, Options{Epoch: 2}, testWorker("w1"), testWorker("w2"))
	job := testJob("job", 1)
	ended := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "job"}}, Run: 1, End: jobs.EndDone}
	b.look("w1", Report{Results: []RunResult{ended}})
	if order, _ := b.NextPoll(b.now, "w1"); order.AckedUpTo != 0 || !order.AcksPending {
		t.Errorf("the end was confirmed up to %d before its job was heard of", order.AckedUpTo)
	}
	b.now = b.now.Add(2 * time.Second)
	b.look("w1", Report{Results: []RunResult{ended}})
	b.look("w2", Report{})
	records := only[Record](b.apply(JobAccepted{Job: job}))
	if starts := only[Start](b.pass(0)); len(starts) != 0 {
		t.Errorf("the task was started again after its end: %+v", starts)
	}
	if len(records) != 1 || records[0].Progress.State != jobs.Done {
		t.Fatalf("records %+v, want the job as done", records)
	}
	if order, _ := b.NextPoll(b.now, "w1"); order.AckedUpTo != 0 {
		t.Errorf("the end was confirmed before it was committed")
	}
	b.apply(Recorded{IDs: []ProgressID{records[0].ID}})
	if order, _ := b.NextPoll(b.now, "w1"); order.AckedUpTo != 1 {
		t.Errorf("the end is confirmed up to %d, want 1", order.AckedUpTo)
	}
}

// TestEndOfUnknownJobIsGivenUp checks that an end whose job never comes does not keep
// a worker's other ends for good.
func TestEndOfUnknownJobIsGivenUp(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"))
	ended := RunResult{Sequence: 1, Task: jobs.TaskID{StepID: jobs.StepID{Job: "stranger"}}, Run: 1, End: jobs.EndDone}
	b.look("w1", Report{Results: []RunResult{ended}})
	b.pass(orphanTime / 2)
	if order, _ := b.NextPoll(b.now, "w1"); order.AckedUpTo != 0 {
		t.Errorf("confirmed up to %d at once", order.AckedUpTo)
	}
	b.pass(orphanTime)
	if order, _ := b.NextPoll(b.now, "w1"); order.AckedUpTo != 1 {
		t.Errorf("confirmed up to %d, want 1", order.AckedUpTo)
	}
}

// TestRunOfUnheardJobIsKept checks that a run whose job has not come through the feed
// goes on, and becomes the run of its task once the job is heard of.
func TestRunOfUnheardJobIsKept(t *testing.T) {
	b := newBench(t, Options{Epoch: 2}, testWorker("w1"), testWorker("w2"))
	task := jobs.TaskID{StepID: jobs.StepID{Job: "job"}}
	report := Report{Running: []ActiveRun{{Task: task, Run: 1, Percent: 30}}}
	if stops := only[Stop](b.look("w1", report)); len(stops) != 0 {
		t.Fatalf("the run was stopped before its job was heard of: %+v", stops)
	}
	b.apply(JobAccepted{Job: testJob("job", 1)})
	b.look("w1", report)
	b.look("w2", Report{})
	commands := b.pass(0)
	if starts, stops := only[Start](commands), only[Stop](commands); len(starts)+len(stops) != 0 {
		t.Errorf("starts %+v and stops %+v, want the run to go on", starts, stops)
	}
	ended := RunResult{Sequence: 1, Task: task, Run: 1, End: jobs.EndDone}
	if records := only[Record](b.look("w1", Report{Results: []RunResult{ended}})); len(records) != 1 || records[0].Progress.State != jobs.Done {
		t.Errorf("records %+v, want the job as done", records)
	}
}

// TestRunOfUnknownJobIsStopped checks that a run whose job never comes is stopped.
func TestRunOfUnknownJobIsStopped(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"))
	report := Report{Running: []ActiveRun{{Task: jobs.TaskID{StepID: jobs.StepID{Job: "stranger"}}, Run: 1}}}
	var stoppedAfter time.Duration
	for b.now.Sub(start) < 2*orphanTime && stoppedAfter == 0 {
		b.NextPoll(b.now, "w1")
		commands := append(b.look("w1", report), b.pass(time.Second)...)
		if len(only[Stop](commands)) > 0 {
			stoppedAfter = b.now.Sub(start)
		}
	}
	if stoppedAfter < orphanTime || stoppedAfter > orphanTime+2*time.Second {
		t.Errorf("stopped after %s, want %s", stoppedAfter, orphanTime)
	}
}
