package engine

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// TestPlacementConstraints checks on which workers a step's tasks may start.
func TestPlacementConstraints(t *testing.T) {
	other := testWorker("w2")
	other.Rack, other.Labels = "r2", []string{"b", "r2"}
	cases := map[string]struct {
		change func(*jobs.Step)
		// want is the number of tasks started on w1 and w2, which have capacity for four each.
		want map[string]int
	}{
		"none":             {func(*jobs.Step) {}, map[string]int{"w1": 4, "w2": 2}},
		"label":            {func(s *jobs.Step) { s.RequiredLabel = "b" }, map[string]int{"w2": 4}},
		"data rack":        {func(s *jobs.Step) { s.DataRack = "r2" }, map[string]int{"w1": 2, "w2": 4}},
		"per worker":       {func(s *jobs.Step) { s.MaxPerWorker = 1 }, map[string]int{"w1": 1, "w2": 1}},
		"gang too wide":    {func(s *jobs.Step) { s.Gang, s.Count = true, 9 }, map[string]int{}},
		"gang that fits":   {func(s *jobs.Step) { s.Gang = true }, map[string]int{"w1": 4, "w2": 2}},
		"gang on a rack":   {func(s *jobs.Step) { s.Gang, s.SameRack, s.Count = true, true, 4 }, map[string]int{"w1": 4}},
		"exceeds capacity": {func(s *jobs.Step) { s.PerTask.Millicores = 5000 }, map[string]int{}},
		"memory":           {func(s *jobs.Step) { s.PerTask.MemoryBytes = 3 << 30 }, map[string]int{"w1": 1, "w2": 1}},
		"fillers":          {func(s *jobs.Step) { s.Filler = true; s.PerTask.MemoryBytes = 0 }, map[string]int{"w1": 6}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), other)
			job := testJob("job", 6)
			c.change(&job.Steps[0])
			e.apply(JobAccepted{Job: job})
			got := make(map[string]int)
			for _, s := range commandsOfType[Start](e.runPass(0)) {
				got[s.Worker]++
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("started %v, want %v", got, c.want)
			}
		})
	}
}

// TestFillersKeepAwayFromServing checks that tasks with a latency objective and fillers never
// share a worker.
func TestFillersKeepAwayFromServing(t *testing.T) {
	serving := func(s *jobs.Step) { s.Service, s.TailLatencyTarget = true, 50*time.Millisecond }
	filling := func(s *jobs.Step) { s.Filler = true }
	cases := map[string]struct{ first, second func(*jobs.Step) }{
		"fillers after": {serving, filling},
		"serving after": {filling, serving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
			workers := make(map[string]bool)
			for i, change := range []func(*jobs.Step){c.first, c.second} {
				job := testJob(jobs.ID(fmt.Sprint("job", i)), 1)
				change(&job.Steps[0])
				e.apply(JobAccepted{Job: job})
				starts := commandsOfType[Start](e.runPass(0))
				if len(starts) != 1 {
					t.Fatalf("%d starts of job %d, want 1", len(starts), i)
				}
				workers[starts[0].Worker] = true
			}
			if len(workers) != 2 {
				t.Errorf("both jobs run on %v, want two workers", workers)
			}
		})
	}
}

// TestWideGangGetsItsRoom guards against a gang that is starved by small tasks: they arrive all
// the time, and the gang needs a whole worker. It must not wait much longer than the tasks take
// that run when it arrives.
func TestWideGangGetsItsRoom(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	ends := make(map[jobs.TaskID]time.Time)
	startsByTask := make(map[jobs.TaskID]Start)
	sequence := make(map[string]int64)
	confirmStarts := func(commands []Command) (gang bool) {
		for _, s := range commandsOfType[Start](commands) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
			ends[s.Task], startsByTask[s.Task] = e.now.Add(time.Second), s
			gang = gang || s.Task.Job == "gang"
		}
		return gang
	}
	for i := range 400 {
		if i%2 == 0 {
			e.apply(JobAccepted{Job: testJob(jobs.ID(fmt.Sprint("small", i)), 1)})
		}
		if i == 30 {
			gang := testJob("gang", 4)
			gang.Steps[0].Gang = true
			gang.Steps[0].PerTask = roster.Resources{Millicores: 2000, MemoryBytes: 1 << 30}
			e.apply(JobAccepted{Job: gang})
		}
		for _, id := range []string{"w1", "w2"} {
			e.poll(id, buildReport(e, id, ends, startsByTask, sequence))
		}
		if confirmStarts(e.runPass(50 * time.Millisecond)) {
			if waited := time.Duration(i-30) * 50 * time.Millisecond; waited > 5*time.Second {
				t.Errorf("the gang waited %s among tasks of one second, want 5 s at most", waited)
			}
			return
		}
	}
	t.Error("the gang never started")
}

// buildReport lists what runs on a worker and the results since the last report.
func buildReport(e *testEngine, id string, ends map[jobs.TaskID]time.Time, startsByTask map[jobs.TaskID]Start, sequence map[string]int64) Report {
	var report Report
	for task, start := range startsByTask {
		if start.Worker != id {
			continue
		}
		if e.now.Before(ends[task]) {
			report.Running = append(report.Running, ActiveRun{Task: task, Run: start.Run, Percent: 50})
			continue
		}
		sequence[id]++
		report.Results = append(report.Results, RunResult{Sequence: sequence[id], Task: task, Run: start.Run, End: jobs.EndDone})
		delete(startsByTask, task)
	}
	return report
}
