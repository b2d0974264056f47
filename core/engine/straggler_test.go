package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// newGangWithStraggler returns an engine with a gang of two that runs on two workers. The workers
// were polled ten times up to the given age, at which the members have reached the given
// percents.
func newGangWithStraggler(t *testing.T, age time.Duration, percents [2]int, slack time.Duration) *testEngine {
	t.Helper()
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
	job := testJob("job", 2)
	job.Steps[0].Gang = true
	job.Steps[0].PerTask.Millicores = 4000
	job.Steps[0].Estimate = 4 * time.Second
	job.Queue.Slack = slack
	e.apply(JobAccepted{Job: job})
	starts := commandsOfType[Start](e.runPass(0))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	for _, s := range starts {
		e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	for step := range 10 {
		e.now = testStart.Add(age * time.Duration(step+1) / 10)
		for i, s := range starts {
			e.poll(s.Worker, Report{Running: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: percents[i] * (step + 1) / 10}}})
		}
	}
	return e
}

// TestGangIsNotStoppedForOneMember guards against restarting a gang for one slow member while it
// would still end in time, or where a restart takes longer than the rest of its work.
func TestGangIsNotStoppedForOneMember(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration
		percents [2]int
		slack    time.Duration
		moved    bool
	}{
		"one lags a little at the start":         {1300 * time.Millisecond, [2]int{33, 6}, time.Minute, false},
		"late, but the rest is short":            {3 * time.Second, [2]int{75, 24}, -8 * time.Second, false},
		"late, and the rest takes half a minute": {3 * time.Second, [2]int{75, 9}, -8 * time.Second, true},
		"the rest takes long, but ends in time":  {3 * time.Second, [2]int{75, 9}, time.Hour, false},
		"both are slow, so no worker is suspect": {3 * time.Second, [2]int{9, 9}, -8 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newGangWithStraggler(t, c.age, c.percents, c.slack)
			stops := commandsOfType[Stop](e.runPass(time.Millisecond))
			if c.moved && len(stops) != 2 || !c.moved && len(stops) != 0 {
				t.Errorf("%d members were stopped, want moved: %v", len(stops), c.moved)
			}
		})
	}
}

// runSlowTask runs two tasks of a step side by side, of which the second is much slower, and returns their
// starts and the stops that follow.
func runSlowTask(t *testing.T, progress jobs.Progress) ([]Start, []Stop) {
	t.Helper()
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"), testWorker("w3"))
	job := testJob("job", 2)
	job.Steps[0].PerTask.Millicores = 4000
	job.Steps[0].Estimate = 4 * time.Second
	e.apply(JobAccepted{Job: job, Progress: progress})
	starts := commandsOfType[Start](e.runPass(0))
	for _, s := range starts {
		e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	for step := range 10 {
		e.now = e.now.Add(200 * time.Millisecond)
		for i, s := range starts {
			e.poll(s.Worker, Report{Running: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: [2]int{5, 1}[i] * (step + 1)}}})
		}
	}
	return starts, commandsOfType[Stop](e.runPass(time.Millisecond))
}

// TestSlowTaskIsMoved checks that only the slow task of a step is moved if another task of the
// step is much quicker on another worker.
func TestSlowTaskIsMoved(t *testing.T) {
	starts, stops := runSlowTask(t, jobs.Progress{})
	if len(stops) != 1 || stops[0].Task != (jobs.TaskID{StepID: starts[1].Task.StepID, Index: starts[1].Task.Index}) {
		t.Errorf("stops %+v, want only that of %s", stops, starts[1].Task)
	}
}

// TestSlowTaskStaysAfterCrash guards against moving a task under which a worker crashed for being slow,
// which uses up one of the starts that users accept after its crashes.
func TestSlowTaskStaysAfterCrash(t *testing.T) {
	starts, stops := runSlowTask(t, jobs.Progress{Steps: []jobs.StepProgress{{Crashes: []jobs.Failure{{Task: 1, Run: 1}}}}})
	if len(starts) != 2 || len(stops) != 0 {
		t.Errorf("%d starts and stops %+v, want 2 and none", len(starts), stops)
	}
}
