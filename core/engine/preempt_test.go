package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// newPreemptionTest returns an engine whose two workers are full of work of a less urgent queue,
// and a waiting gang that needs both workers.
func newPreemptionTest(t *testing.T, change func(filler, gang *jobs.Job), policy Policy) *testEngine {
	t.Helper()
	e := newTestEngine(t, Options{Policy: policy}, testWorker("w1"), testWorker("w2"))
	e.apply(ConfigChanged{Config: &jobs.Config{Version: 1}})
	e.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2"}})
	filler := testJob("filler", 8)
	filler.Queue.Name, filler.Queue.Priority, filler.Queue.Slack = "filler", 2, time.Minute
	filler.Steps[0].SavesCheckpoints, filler.Steps[0].Estimate = true, 20*time.Second
	gang := testJob("gang", 2)
	gang.Queue.Name, gang.Queue.Priority, gang.Queue.Slack = "gang", 1, time.Minute
	gang.Queue.Advice = &jobs.AdviceSettings{RequestTime: 500 * time.Millisecond, PerWorkerTime: 5 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}
	gang.Steps[0].Gang, gang.Steps[0].PerTask = true, roster.Resources{Millicores: 4000}
	change(&filler, &gang)
	e.apply(JobAccepted{Job: filler})
	for _, s := range commandsOfType[Start](e.runPass(0)) {
		e.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	e.apply(JobAccepted{Job: gang})
	return e
}

// preemptionTest simulates the workers and the adviser of newPreemptionTest. The adviser permits all
// workers, and stops take 300 ms.
type preemptionTest struct {
	*testEngine
	ends    map[string][]RunResult
	pending []AdviceRequest
	stops   map[Stop]time.Time
	// stopped is the number of runs that were stopped, gangAfter the time at which the gang started
	// or zero.
	stopped   int
	gangAfter time.Duration
}

// runPreemptionTest simulates six seconds. It returns how many runs were stopped, and when the gang
// started or zero.
func runPreemptionTest(e *testEngine) (stopped int, gangAfter time.Duration) {
	p := &preemptionTest{testEngine: e, ends: make(map[string][]RunResult), stops: make(map[Stop]time.Time)}
	for p.now.Sub(testStart) < 6*time.Second {
		p.step()
	}
	return p.stopped, p.gangAfter
}

// step simulates 50 ms and returns the start commands.
func (p *preemptionTest) step() []Start {
	commands := p.runPass(50 * time.Millisecond)
	starts := commandsOfType[Start](commands)
	for _, s := range starts {
		if s.Task.Job == "gang" && p.gangAfter == 0 {
			p.gangAfter = p.now.Sub(testStart)
		}
		p.apply(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: StartAccepted})
	}
	for _, s := range commandsOfType[Stop](commands) {
		p.stops[s] = p.now
		p.stopped++
		p.apply(StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Confirmed: true})
	}
	for s, at := range p.stops {
		if p.now.Sub(at) >= 300*time.Millisecond {
			list := p.ends[s.Worker]
			p.ends[s.Worker] = append(list, RunResult{Sequence: int64(len(list) + 1), Task: s.Task, Run: s.Run, End: jobs.EndStopped, Checkpoint: "saved"})
			delete(p.stops, s)
		}
	}
	p.answerAdvice(commandsOfType[AdviceRequest](commands))
	for _, id := range []string{"w1", "w2"} {
		report := Report{Results: p.ends[id]}
		for key, r := range p.workers[id].runs {
			if r.phase == confirmed {
				report.Running = append(report.Running, ActiveRun{Task: key.task, Run: key.number, Percent: int(p.now.Sub(testStart) / (200 * time.Millisecond))})
			}
		}
		p.poll(id, report)
	}
	return starts
}

// answerAdvice answers the pending requests whose answer is due.
func (p *preemptionTest) answerAdvice(requests []AdviceRequest) {
	var outstanding []AdviceRequest
	for _, request := range append(p.pending, requests...) {
		if p.now.Sub(testStart) < request.Cost {
			outstanding = append(outstanding, request)
			continue
		}
		event := AdviceAnswered{Step: request.Step, Proxy: request.Proxy, Workers: request.Workers, Valid: 1500 * time.Millisecond}
		for _, id := range request.Workers {
			event.Tickets = append(event.Tickets, Ticket{Worker: id, Value: "t"})
		}
		p.apply(event)
	}
	p.pending = outstanding
}

// TestGangStopsLessUrgentWork checks when running work is preempted for a gang that needs all its
// capacity at once. Work that could continue later is stopped, and the gang starts within the
// time of two advice requests and a stop. Other work is not stopped.
func TestGangStopsLessUrgentWork(t *testing.T) {
	cases := map[string]struct {
		change  func(filler, gang *jobs.Job)
		policy  Policy
		stopped bool
	}{
		"less urgent work with checkpoints": {func(*jobs.Job, *jobs.Job) {}, Policy{}, true},
		"work without checkpoints":          {func(f, _ *jobs.Job) { f.Steps[0].SavesCheckpoints = false }, Policy{}, false},
		"work of the same priority":         {func(f, _ *jobs.Job) { f.Queue.Priority = 1 }, Policy{}, false},
		"work of another gang":              {func(f, _ *jobs.Job) { f.Steps[0].Gang = true }, Policy{}, false},
		"work that would end late":          {func(f, _ *jobs.Job) { f.Queue.Slack, f.Queue.Stretch = 0, 1.1 }, Policy{}, false},
		"gang that is already late":         {func(_, g *jobs.Job) { g.Queue.Slack, g.Queue.Stretch = 0, 0.1 }, Policy{}, false},
		"preemption disabled":               {func(*jobs.Job, *jobs.Job) {}, Policy{NoPreemption: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stopped, after := runPreemptionTest(newPreemptionTest(t, c.change, c.policy))
			if c.stopped != (stopped > 0) {
				t.Errorf("%d runs were stopped, want some: %v", stopped, c.stopped)
			}
			if c.stopped && (after == 0 || after > 3*time.Second) {
				t.Errorf("the gang started after %s, want 3 s at most", after)
			}
			if !c.stopped && after != 0 {
				t.Errorf("the gang started after %s, although other work uses all capacity", after)
			}
		})
	}
}

// TestEvictionsAreBounded guards against a task that is preempted again and again.
func TestEvictionsAreBounded(t *testing.T) {
	e := newPreemptionTest(t, func(*jobs.Job, *jobs.Job) {}, Policy{})
	for _, task := range e.jobs["filler"].open[0].steps[0].tasks {
		task.evictions = maxPreemptionsPerTask
	}
	if stopped, _ := runPreemptionTest(e); stopped != 0 {
		t.Errorf("%d runs were stopped after the maximum number of preemptions", stopped)
	}
}

// TestChooseEvictions checks that capacity that is free anyway is used first, and that the least
// work is stopped for the rest.
func TestChooseEvictions(t *testing.T) {
	newEviction := func(id string, ready, fits int, cost float64, runs int) eviction {
		return eviction{candidate: candidate{worker: &worker{Worker: Worker{ID: id}}, fits: fits}, fitsWithout: ready, cost: cost, runs: make([]*run, runs)}
	}
	options := func() []eviction {
		return []eviction{newEviction("costly", 0, 2, 9000, 2), newEviction("cheap", 1, 3, 4000, 2), newEviction("free", 2, 2, 0, 0)}
	}
	cases := map[string]struct {
		shortfall int
		want      map[string]int
		ok        bool
	}{
		"no eviction needed":         {0, map[string]int{"free": 2, "cheap": 1}, true},
		"cheapest eviction suffices": {2, map[string]int{"free": 2, "cheap": 3}, true},
		"all evictions needed":       {4, map[string]int{"free": 2, "cheap": 3, "costly": 2}, true},
		"shortfall not coverable":    {5, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chosen, ok := chooseEvictions(options(), c.shortfall)
			if ok != c.ok {
				t.Fatalf("shortfall covered: %v, want %v", ok, c.ok)
			}
			for _, o := range chosen {
				if c.ok && c.want[o.worker.ID] != o.fits {
					t.Errorf("%s fits %d tasks, want %d", o.worker.ID, o.fits, c.want[o.worker.ID])
				}
			}
			if c.ok && len(chosen) != len(c.want) {
				t.Errorf("%d workers, want %d", len(chosen), len(c.want))
			}
		})
	}
}
