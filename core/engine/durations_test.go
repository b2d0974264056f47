package engine

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/learn"
	"tanagerstack.org/core/orgs"
)

// mislead teaches an engine durations that are far off, in the queues of the simulation.
func (sim *simulation) mislead(e *Engine) {
	for queue := range 3 {
		duration := []time.Duration{time.Microsecond, time.Hour, 29 * 24 * time.Hour}[(queue+int(sim.epoch))%3]
		for range 300 {
			e.learned.Observe(sim.now, learn.Key{Queue: fmt.Sprintf("queue%d", queue)}, time.Second, duration, true)
		}
	}
}

// finishJob accepts a job of one task, starts it, and reports it as done after a duration.
func (e *testEngine) finishJob(t *testing.T, job jobs.Job, duration time.Duration) {
	t.Helper()
	e.apply(JobAccepted{Job: job})
	starts := commandsOfType[Start](e.runPass(0))
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	s := starts[0]
	e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	e.now = e.now.Add(duration)
	e.poll(s.Worker, Report{Results: []RunResult{{Sequence: e.workers[s.Worker].lastSequence + 1, Task: s.Task, Run: s.Run, End: jobs.EndDone}}})
}

// TestPredictionsBySource guards against knowledge that is used without being selected, or not used
// although it is. Two organizations have tasks that take three times and a third of their estimates.
func TestPredictionsBySource(t *testing.T) {
	directory, err := orgs.NewDirectory(nil)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		durations     Durations
		organizations *orgs.Directory
		learned       bool
	}{
		"default":                    {"", directory, false},
		"estimates":                  {DurationsEstimates, directory, false},
		"learned":                    {DurationsLearned, nil, true},
		"auto without organizations": {DurationsAuto, nil, false},
		"auto with organizations":    {DurationsAuto, directory, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Durations: c.durations}, testWorker("w1"))
			e.apply(ConfigChanged{Config: &jobs.Config{Version: 1, Organizations: c.organizations}})
			job := func(id, organization string) jobs.Job {
				j := testJob(jobs.ID(id), 1)
				j.Organization, j.ArrivedAt = organization, e.now
				j.Steps[0].Estimate = time.Second
				return j
			}
			for n := range 80 {
				e.finishJob(t, job(fmt.Sprint("slow", n), "slow"), 3*time.Second)
				e.finishJob(t, job(fmt.Sprint("quick", n), "quick"), time.Second/3)
			}
			slow, quick := job("s", "slow"), job("q", "quick")
			long, short := e.criticalPath(&slow), e.criticalPath(&quick)
			if apart := long > 2*time.Second && short < time.Second/2; apart != c.learned {
				t.Errorf("predicted %s and %s, want by organization: %v", long, short, c.learned)
			}
			if (e.Learned() != nil) != c.learned {
				t.Errorf("learned durations in use: %v", !c.learned)
			}
			if factor := e.PredictionErrors()[0].Factor; (factor < 1.5) != c.learned {
				t.Errorf("predictions are off by a factor of %.2f", factor)
			}
		})
	}
}

// TestRunningTasksAreLearnedFrom guards against short predictions that last until the first of many long
// tasks ends: all tasks of a queue take much longer than before, and none has ended.
func TestRunningTasksAreLearnedFrom(t *testing.T) {
	e := newTestEngine(t, Options{Durations: DurationsLearned}, testWorker("w1"), testWorker("w2"), testWorker("w3"))
	job := testJob("job", 4)
	job.Steps[0].Estimate = time.Second
	for range 30 {
		e.learned.Observe(e.now, learnKey(&job, 0, e.workers["w1"]), time.Second, time.Second, true)
	}
	before := e.learned.Predict(learnKey(&job, 0, nil), time.Second)
	running := make(map[string][]ActiveRun)
	for n := range 3 {
		job.ID = jobs.ID(fmt.Sprint("job", n))
		e.apply(JobAccepted{Job: job})
		for _, s := range commandsOfType[Start](e.runPass(0)) {
			e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
			running[s.Worker] = append(running[s.Worker], ActiveRun{Task: s.Task, Run: s.Run, Percent: 1})
		}
	}
	for range 100 {
		for id, list := range running {
			e.poll(id, Report{Running: list})
		}
		e.runPass(100 * time.Millisecond)
	}
	after := e.learned.Predict(learnKey(&job, 0, nil), time.Second)
	if before.Exceeds(5*time.Second) > 0.05 || after.Exceeds(5*time.Second) < 0.1 {
		t.Errorf("chance to exceed 5 s: %.2f, and %.2f while all tasks run for 10 s", before.Exceeds(5*time.Second), after.Exceeds(5*time.Second))
	}
}

// TestQuickKindIsPreferred guards against placing work on slow workers while quick ones are free, and
// against an order by kind where nothing is learned.
func TestQuickKindIsPreferred(t *testing.T) {
	cases := map[string]struct {
		durations Durations
		observed  map[string]time.Duration
		want      string
	}{
		"learned":          {DurationsLearned, map[string]time.Duration{"slow": 3 * time.Second, "quick": 2 * time.Second}, "w2"},
		"small difference": {DurationsLearned, map[string]time.Duration{"slow": 2010 * time.Millisecond, "quick": 2 * time.Second}, "w1"},
		"nothing known":    {DurationsLearned, nil, "w1"},
		"estimates":        {DurationsEstimates, map[string]time.Duration{"slow": 3 * time.Second, "quick": 2 * time.Second}, "w1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			slow, quick := testWorker("w1"), testWorker("w2")
			slow.Labels, quick.Labels = []string{"slow", "r1"}, []string{"quick", "r1"}
			e := newTestEngine(t, Options{Durations: c.durations}, slow, quick)
			job := testJob("job", 1)
			for range 400 {
				for kind, duration := range c.observed {
					e.learned.Observe(e.now, learn.Key{Queue: job.Queue.Name, WorkerKind: kind}, time.Second, duration, true)
				}
			}
			e.apply(JobAccepted{Job: job})
			starts := commandsOfType[Start](e.runPass(0))
			if len(starts) != 1 || starts[0].Worker != c.want {
				t.Errorf("starts %+v, want one on %s", starts, c.want)
			}
		})
	}
}

// TestStoppedRunsAreLowerBounds guards against taking a run that was stopped for a short task, and
// against learning from a run that never began.
func TestStoppedRunsAreLowerBounds(t *testing.T) {
	cases := map[string]struct {
		reported bool
		end      jobs.End
		want     learn.Counts
	}{
		"stopped":        {true, jobs.EndStopped, learn.Counts{Censored: 1}},
		"failed":         {true, jobs.EndFailed, learn.Counts{}},
		"never reported": {false, jobs.EndStopped, learn.Counts{}},
		"done":           {true, jobs.EndDone, learn.Counts{Ended: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Durations: DurationsLearned}, testWorker("w1"))
			e.apply(JobAccepted{Job: testJob("job", 1)})
			s := commandsOfType[Start](e.runPass(0))[0]
			if c.reported {
				e.poll("w1", Report{Running: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10}}})
			}
			e.now = e.now.Add(time.Second)
			e.poll("w1", Report{Results: []RunResult{{Sequence: 1, Task: s.Task, Run: s.Run, End: c.end}}})
			if got := e.learned.Counts(); got != c.want {
				t.Errorf("counts %+v, want %+v", got, c.want)
			}
		})
	}
}
