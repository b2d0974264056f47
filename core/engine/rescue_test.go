package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// laggingGang returns an engine with a gang of two that runs on two workers and was
// looked at: one member has done most of its work, the other one little.
func laggingGang(t *testing.T, age time.Duration, percents [2]int, slack time.Duration) *bench {
	t.Helper()
	b := newBench(t, Options{}, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
	job := testJob("job", 2)
	job.Steps[0].Gang = true
	job.Steps[0].PerTask.Millicores = 4000
	job.Steps[0].Estimate = 4 * time.Second
	job.Queue.Slack = slack
	b.apply(JobAccepted{Job: job})
	starts := only[Start](b.pass(0))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	for _, s := range starts {
		b.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	for step := range 10 {
		b.now = start.Add(age * time.Duration(step+1) / 10)
		for i, s := range starts {
			b.look(s.Worker, Report{Running: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: percents[i] * (step + 1) / 10}}})
		}
	}
	return b
}

// TestGangIsNotStoppedForOneMember checks when a gang is moved because one member is
// slow: not while it would still end in time, nor where moving takes longer.
func TestGangIsNotStoppedForOneMember(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration
		percents [2]int
		slack    time.Duration
		moved    bool
	}{
		"one lags a little at the start":             {1300 * time.Millisecond, [2]int{33, 6}, time.Minute, false},
		"late, but the rest is short":                {3 * time.Second, [2]int{75, 24}, -8 * time.Second, false},
		"late, and the rest takes half a minute":     {3 * time.Second, [2]int{75, 9}, -8 * time.Second, true},
		"the rest takes long, but ends in time":      {3 * time.Second, [2]int{75, 9}, time.Hour, false},
		"both are slow: nothing says it is a worker": {3 * time.Second, [2]int{9, 9}, -8 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := laggingGang(t, c.age, c.percents, c.slack)
			stops := only[Stop](b.pass(time.Millisecond))
			if c.moved && len(stops) != 2 || !c.moved && len(stops) != 0 {
				t.Errorf("%d members were stopped, want moved: %v", len(stops), c.moved)
			}
		})
	}
}

// TestSlowTaskIsMoved checks that a task whose peers are much quicker elsewhere is
// moved by itself.
func TestSlowTaskIsMoved(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"), testWorker("w2"), testWorker("w3"))
	job := testJob("job", 2)
	job.Steps[0].PerTask.Millicores = 4000
	job.Steps[0].Estimate = 4 * time.Second
	b.apply(JobAccepted{Job: job})
	starts := only[Start](b.pass(0))
	for _, s := range starts {
		b.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	for step := range 10 {
		b.now = b.now.Add(200 * time.Millisecond)
		for i, s := range starts {
			b.look(s.Worker, Report{Running: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: [2]int{5, 1}[i] * (step + 1)}}})
		}
	}
	stops := only[Stop](b.pass(time.Millisecond))
	if len(stops) != 1 || stops[0].Task != (jobs.TaskID{StepID: starts[1].Task.StepID, Index: starts[1].Task.Index}) {
		t.Errorf("stops %+v, want only that of %s", stops, starts[1].Task)
	}
}
