package engine

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// recurringJob returns a job with the given number of tasks in each occurrence.
func recurringJob(id jobs.ID, tasks int, first time.Time, interval time.Duration, occurrences int) jobs.Job {
	job := testJob(id, tasks)
	job.Recurrence = &jobs.Recurrence{First: first, Interval: interval, Count: occurrences}
	return job
}

// TestRecurringJobUsesLittleMemory guards against a leader that exceeds its VM's memory because one
// recurring job has many occurrences, due or not. The next leader would load the same job.
func TestRecurringJobUsesLittleMemory(t *testing.T) {
	// A VM has 284 MB for everything, and many jobs may be like this one.
	const limit = 4 << 20
	for name, first := range map[string]time.Time{
		"due in an hour": testStart.Add(time.Hour),
		"overdue":        testStart.Add(-48 * time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			e.apply(JobAccepted{Job: recurringJob("job", 250, first, 10*time.Second, 8640)})
			e.runPass(0)
			runtime.ReadMemStats(&after)
			if used := after.TotalAlloc - before.TotalAlloc; used > limit {
				t.Errorf("the job allocated %d bytes, want at most %d", used, limit)
			}
		})
	}
}

// finishRuns starts what fits on the only worker, w1, and reports each run as done. It returns the
// occurrences of the tasks that it started.
func (e *testEngine) finishRuns(sequence *int64) []int {
	var started []int
	var results []RunResult
	for _, start := range commandsOfType[Start](e.runPass(50 * time.Millisecond)) {
		started = append(started, start.Task.Occurrence)
		*sequence++
		results = append(results, RunResult{Sequence: *sequence, Task: start.Task, Run: start.Run, End: jobs.EndDone})
	}
	for _, record := range commandsOfType[Record](e.poll("w1", Report{Results: results})) {
		e.apply(Recorded{IDs: []ProgressID{record.ID}})
	}
	return started
}

// TestOccurrencesRunOnceEach checks that each occurrence of a recurring job runs exactly once, in
// the order in which they are due and not before, and that the job is done after the last.
func TestOccurrencesRunOnceEach(t *testing.T) {
	const occurrences, tasks, interval = 3000, 4, 50 * time.Millisecond
	for name, first := range map[string]time.Time{
		"all overdue": testStart.Add(-time.Hour),
		"in time":     testStart.Add(time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			job := recurringJob("job", tasks, first, interval, occurrences)
			e.apply(JobAccepted{Job: job})
			var ran []int
			var sequence int64
			for range 2 * occurrences {
				for _, k := range e.finishRuns(&sequence) {
					if e.now.Before(job.Due(k)) {
						t.Fatalf("occurrence %d started %s early", k, job.Due(k).Sub(e.now))
					}
					ran = append(ran, k)
				}
			}
			if len(ran) != occurrences*tasks || !slices.IsSorted(ran) || ran[len(ran)-1] != occurrences-1 {
				t.Errorf("%d tasks ran, in order: %v; want %d", len(ran), slices.IsSorted(ran), occurrences*tasks)
			}
			if status := e.Status("job"); status.State != jobs.Done {
				t.Errorf("job is %s, want done", status.State)
			}
		})
	}
}

// TestOccurrencesAcrossLeaders checks that a new leader runs neither the occurrences that the stored
// progress has as done nor those that a worker still runs or has finished.
func TestOccurrencesAcrossLeaders(t *testing.T) {
	task := func(k int) jobs.TaskID {
		return jobs.TaskID{StepID: jobs.StepID{Job: "job", Occurrence: k}}
	}
	cases := map[string]jobs.Progress{
		"as a range": {Started: true, Done: jobs.OccurrenceSet{{First: 0, End: 2}}},
		"as steps":   {Started: true, Steps: []jobs.StepProgress{{Occurrence: 0, AllDone: true}, {Occurrence: 1, AllDone: true}}},
		"with tasks": {Started: true, Steps: []jobs.StepProgress{{Occurrence: 0, Done: []int{0}}, {Occurrence: 1, Done: []int{-1, 0, 7}}}},
	}
	for name, progress := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Epoch: 2}, testWorker("w1"))
			e.apply(JobAccepted{Job: recurringJob("job", 1, testStart, 0, 6), Progress: progress, Inherited: true})
			// The previous leader had opened occurrences that this one would not open yet.
			e.jobs["job"].nextDue, e.jobs["job"].open = 0, nil
			e.poll("w1", Report{
				Running: []ActiveRun{{Task: task(5), Run: 1}},
				Results: []RunResult{{Sequence: 1, Task: task(3), Run: 1, End: jobs.EndDone}},
			})
			var started []int
			for _, start := range commandsOfType[Start](e.runPass(0)) {
				started = append(started, start.Task.Occurrence)
			}
			slices.Sort(started)
			if want := []int{2, 4}; !slices.Equal(started, want) {
				t.Errorf("started occurrences %v, want %v", started, want)
			}
		})
	}
}

// TestLateResultOfDoneOccurrence checks that a second result of an occurrence that is done already
// is acknowledged and changes nothing.
func TestLateResultOfDoneOccurrence(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: recurringJob("job", 1, testStart, time.Hour, 2)})
	var sequence int64
	e.finishRuns(&sequence)
	task := jobs.TaskID{StepID: jobs.StepID{Job: "job"}}
	e.poll("w1", Report{
		Running: []ActiveRun{{Task: task, Run: 9}},
		Results: []RunResult{{Sequence: 2, Task: task, Run: 1, End: jobs.EndFailed}},
	})
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 2 {
		t.Errorf("results acknowledged up to %d, want 2", request.AckedUpTo)
	}
	if state := e.Status("job").State; state != jobs.Running {
		t.Errorf("job is %s, want running", state)
	}
	if !e.workers["w1"].usable(e.now) {
		t.Error("the worker is not usable while a known task runs there")
	}
}
