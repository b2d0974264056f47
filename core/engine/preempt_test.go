package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// crowded returns an engine whose two workers are full of work of a less urgent queue,
// and a gang that needs both of them and has been told that it may have them.
func crowded(t *testing.T, change func(filler, gang *jobs.Job), policy Policy) *bench {
	t.Helper()
	b := newBench(t, Options{Policy: policy}, testWorker("w1"), testWorker("w2"))
	b.apply(ConfigChanged{Config: &jobs.Config{Version: 1}})
	b.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2"}})
	filler := testJob("filler", 8)
	filler.Queue.Name, filler.Queue.Priority, filler.Queue.Slack = "filler", 2, time.Minute
	filler.Steps[0].SavesCheckpoints, filler.Steps[0].Estimate = true, 20*time.Second
	gang := testJob("gang", 2)
	gang.Queue.Name, gang.Queue.Priority, gang.Queue.Slack = "gang", 1, time.Minute
	gang.Queue.Advice = &jobs.AdviceSettings{RequestTime: 500 * time.Millisecond, PerWorkerTime: 5 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}
	gang.Steps[0].Gang, gang.Steps[0].PerTask = true, roster.Resources{Millicores: 4000}
	change(&filler, &gang)
	b.apply(JobAccepted{Job: filler})
	for _, s := range only[Start](b.pass(0)) {
		b.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	b.apply(JobAccepted{Job: gang})
	return b
}

// playCrowd plays seconds of it: the adviser allows all workers, stops take 300 ms. It
// returns how many runs were stopped and when the gang started.
func playCrowd(b *bench) (stopped int, gangAfter time.Duration) {
	ends := make(map[string][]RunResult)
	var pending []AdviceRequest
	stops := make(map[Stop]time.Time)
	for b.now.Sub(start) < 6*time.Second {
		commands := b.pass(50 * time.Millisecond)
		for _, s := range only[Start](commands) {
			if s.Task.Job == "gang" && gangAfter == 0 {
				gangAfter = b.now.Sub(start)
			}
			b.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
		}
		for _, s := range only[Stop](commands) {
			stops[s] = b.now
			stopped++
			b.apply(StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Confirmed: true})
		}
		for s, at := range stops {
			if b.now.Sub(at) >= 300*time.Millisecond {
				list := ends[s.Worker]
				ends[s.Worker] = append(list, RunResult{Sequence: int64(len(list) + 1), Task: s.Task, Run: s.Run, End: jobs.EndStopped, Checkpoint: "saved"})
				delete(stops, s)
			}
		}
		pending = append(pending, only[AdviceRequest](commands)...)
		var later []AdviceRequest
		for _, ask := range pending {
			if b.now.Sub(start) < ask.Cost {
				later = append(later, ask)
				continue
			}
			event := AdviceAnswered{Step: ask.Step, Proxy: ask.Proxy, Workers: ask.Workers, Valid: 1500 * time.Millisecond}
			for _, id := range ask.Workers {
				event.Tickets = append(event.Tickets, Ticket{Worker: id, Value: "t"})
			}
			b.apply(event)
		}
		pending = later
		for _, id := range []string{"w1", "w2"} {
			report := Report{Results: ends[id]}
			for key, r := range b.workers[id].runs {
				if r.phase == present {
					report.Running = append(report.Running, ActiveRun{Task: key.task, Run: key.run, Percent: int(b.now.Sub(start) / (200 * time.Millisecond))})
				}
			}
			b.look(id, report)
		}
	}
	return stopped, gangAfter
}

// TestGangStopsLessUrgentWork plays the load that preemption answers: workers that are
// full of work which could go on later, and a gang that needs all their room at once. Its
// caller gets it within the time of two questions and a stop. What may not be stopped is not.
func TestGangStopsLessUrgentWork(t *testing.T) {
	cases := map[string]struct {
		change  func(filler, gang *jobs.Job)
		policy  Policy
		stopped bool
	}{
		"less urgent work that saves its progress": {func(*jobs.Job, *jobs.Job) {}, Policy{}, true},
		"it does not save its progress":            {func(f, _ *jobs.Job) { f.Steps[0].SavesCheckpoints = false }, Policy{}, false},
		"it is as urgent":                          {func(f, _ *jobs.Job) { f.Queue.Priority = 1 }, Policy{}, false},
		"it is a gang":                             {func(f, _ *jobs.Job) { f.Steps[0].Gang = true }, Policy{}, false},
		"it would end late":                        {func(f, _ *jobs.Job) { f.Queue.Slack, f.Queue.Stretch = 0, 1.1 }, Policy{}, false},
		"the gang is late already":                 {func(_, g *jobs.Job) { g.Queue.Slack, g.Queue.Stretch = 0, 0.1 }, Policy{}, false},
		"switched off":                             {func(*jobs.Job, *jobs.Job) {}, Policy{NoPreemption: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stopped, after := playCrowd(crowded(t, c.change, c.policy))
			if c.stopped != (stopped > 0) {
				t.Errorf("%d runs were stopped, want some: %v", stopped, c.stopped)
			}
			if c.stopped && (after == 0 || after > 3*time.Second) {
				t.Errorf("the gang started after %s, want 3 s at most", after)
			}
			if !c.stopped && after != 0 {
				t.Errorf("the gang started after %s, beside work that takes all room", after)
			}
		})
	}
}

// TestEvictionsAreBounded checks that a task is not stopped for others again and again.
func TestEvictionsAreBounded(t *testing.T) {
	b := crowded(t, func(*jobs.Job, *jobs.Job) {}, Policy{})
	for _, task := range b.jobs["filler"].occurrences[0].steps[0].tasks {
		task.evictions = preemptsPerTask
	}
	if stopped, _ := playCrowd(b); stopped != 0 {
		t.Errorf("%d runs were stopped that had been often enough", stopped)
	}
}

// TestChooseEvictions checks that room which is there anyway is used first, and that the
// least work is stopped for the rest.
func TestChooseEvictions(t *testing.T) {
	option := func(id string, ready, fits int, cost float64, runs int) eviction {
		return eviction{candidate: candidate{worker: &worker{Worker: Worker{ID: id}}, fits: fits}, ready: ready, cost: cost, runs: make([]*run, runs)}
	}
	options := func() []eviction {
		return []eviction{option("dear", 0, 2, 9000, 2), option("cheap", 1, 3, 4000, 2), option("free", 2, 2, 0, 0)}
	}
	cases := map[string]struct {
		shortfall int
		want      map[string]int
		ok        bool
	}{
		"none is needed":     {0, map[string]int{"free": 2, "cheap": 1}, true},
		"the cheapest does":  {2, map[string]int{"free": 2, "cheap": 3}, true},
		"all are needed":     {4, map[string]int{"free": 2, "cheap": 3, "dear": 2}, true},
		"more than there is": {5, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chosen, ok := chooseEvictions(options(), c.shortfall)
			if ok != c.ok {
				t.Fatalf("enough: %v, want %v", ok, c.ok)
			}
			for _, o := range chosen {
				if c.ok && c.want[o.worker.ID] != o.fits {
					t.Errorf("%s gives room for %d, want %d", o.worker.ID, o.fits, c.want[o.worker.ID])
				}
			}
			if c.ok && len(chosen) != len(c.want) {
				t.Errorf("%d workers, want %d", len(chosen), len(c.want))
			}
		})
	}
}
