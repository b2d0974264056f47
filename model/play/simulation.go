package play

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

const (
	service = "service"
	// storeLatency is the time to store a job or its progress, with the network delay both ways.
	storeLatency = 40 * time.Millisecond
	// minPassInterval is the shortest time between two scheduling passes of the engine.
	minPassInterval = 6 * time.Millisecond
	tickInterval    = 50 * time.Millisecond
	// leaseTerm is the length of the leases of workers. Simulations have no change of leader.
	leaseTerm = 5 * time.Second
	// completionPeriod is how long jobs may still finish after the arrival period.
	completionPeriod = 30 * time.Second
)

// startTime is the simulated time at which a simulation begins.
var startTime = time.Unix(1_800_000_000, 0)

// forever is later than any simulation lasts.
var forever = startTime.AddDate(1, 0, 0)

// Simulate runs the jobs drawn from a seed under a policy. Load multiplies the arrival rates of the
// scenario. The result is deterministic, except for LongestPass.
func Simulate(s *Scenario, policy engine.Policy, seed uint64, load float64) *Result {
	return newSimulation(s, policy, seed).simulate(seed, load)
}

func (c *simulation) simulate(seed uint64, load float64) *Result {
	s := c.scenario
	for _, p := range s.draw(seed, load) {
		c.jobs[p.ID] = p
		c.after(p.arrivalOffset, func() { c.submit(p) })
		if p.canceledAfter > 0 {
			c.after(p.arrivalOffset+p.canceledAfter+storeLatency, func() { c.apply(engine.JobCanceled{ID: p.ID}) })
		}
	}
	for _, loss := range s.Losses {
		c.after(time.Duration(loss.At), func() { c.removeWorkers(loss.Share) })
	}
	c.planFaults(seed)
	c.tick()
	c.run(startTime.Add(time.Duration(s.ArrivalPeriod) + completionPeriod))
	return c.summarize()
}

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario *Scenario
	rand     *rand.Rand
	now      time.Time
	events   eventQueue
	engine   *engine.Engine
	workers  []*worker
	byID     map[string]*worker
	jobs     map[jobs.ID]*simJob
	// tickets holds the expiry time of each ticket.
	tickets map[ticketKey]time.Time
	// proxyFreeAt is when the adviser has answered all requests that a VM sent so far.
	proxyFreeAt map[string]time.Time
	// doneAt is when the completion of a job was stored, which is when its caller sees it.
	doneAt      map[jobs.ID]time.Time
	started     map[jobs.ID]bool
	result      *Result
	nextPassAt  time.Time
	passPending bool
	// faultRand draws the faults of workers.
	faultRand *rand.Rand
	// door decides about submissions; nil accepts all.
	door *door
}

func newSimulation(s *Scenario, policy engine.Policy, seed uint64) *simulation {
	c := &simulation{
		scenario: s, rand: rand.New(rand.NewPCG(seed, 1<<32)), now: startTime,
		byID: make(map[string]*worker), jobs: make(map[jobs.ID]*simJob), tickets: make(map[ticketKey]time.Time),
		proxyFreeAt: make(map[string]time.Time), doneAt: make(map[jobs.ID]time.Time), started: make(map[jobs.ID]bool),
		result: newResult(),
	}
	c.engine = engine.New(engine.Options{Epoch: 1, LeaseTerm: leaseTerm, MaxLease: leaseTerm, StopTime: time.Duration(s.Workers.StopTime), EntryTerm: time.Hour, Policy: policy, Durations: s.Durations, Health: s.Health})
	directory, err := s.Organizations.directory(s)
	if err != nil {
		panic(err) // ParseScenario validates the organizations
	}
	config := &jobs.Config{Version: 1, Organizations: directory}
	for i := range s.Queues {
		config.Queues = append(config.Queues, s.Queues[i].settings())
		c.result.Queues[s.Queues[i].Name] = &QueueResult{}
	}
	// Nobody else leads in the model, and the entries of the workers stay as they are.
	c.apply(engine.LeadershipConfirmed{At: forever, Until: forever})
	c.apply(engine.ConfigChanged{Config: config})
	names := make([]string, 0, s.VMs)
	for i := range s.VMs {
		names = append(names, fmt.Sprintf("vm-%02d", i))
	}
	c.apply(engine.AdviceProxiesChanged{Names: names})
	c.addWorkers()
	return c
}

// addWorkers announces the workers to the engine, each with an empty first report, and polls them.
func (c *simulation) addWorkers() {
	f := c.scenario.Workers
	for i := range f.Count {
		rack, kind := fmt.Sprintf("rack-%d", i/f.PerRack), fmt.Sprintf("kind-%d", i%len(f.Slowdowns))
		w := &worker{
			sim: c, slowdown: f.Slowdowns[i%len(f.Slowdowns)], latency: time.Duration(f.Latencies[i%len(f.Latencies)]), running: make(map[jobs.TaskID]*run),
			info: engine.Worker{
				ID: fmt.Sprintf("worker-%03d", i), Service: service, Rack: rack, Labels: []string{kind, rack}, StartedAt: startTime,
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1),
				Capacity: roster.Resources{Millicores: f.Millicores, MemoryBytes: f.MemoryBytes},
			},
		}
		c.workers = append(c.workers, w)
		c.byID[w.info.ID] = w
		c.apply(engine.WorkerListed{Worker: w.info, WrittenAfter: forever})
		request, _ := c.engine.NextPoll(c.now, w.info.ID)
		c.apply(engine.WorkerPolled{Worker: w.info.ID, Sent: c.now, Fence: request.Fence, Report: engine.Report{Clock: c.clock(), StartedAt: startTime}})
	}
	c.recordRoster()
	for _, w := range c.workers {
		c.sendPoll(w)
	}
}

// recordRoster stores the roster that the engine wants, without delay.
func (c *simulation) recordRoster() {
	wanted, _ := c.engine.WantedRoster(c.now)
	c.engine.RosterSent(wanted)
	c.engine.RosterRecorded(wanted)
}

// clock returns the reading of the workers' clocks.
func (c *simulation) clock() time.Duration { return time.Minute + c.now.Sub(startTime) }

func (c *simulation) after(d time.Duration, do func()) { c.events.add(c.now.Add(d), do) }

// run executes events up to a time.
func (c *simulation) run(end time.Time) {
	for c.events.Len() > 0 && c.events.list[0].at.Before(end) {
		next := heap.Pop(&c.events).(timedEvent)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// submit records the job's arrival and, unless it is refused, gives it to the engine once it is stored.
func (c *simulation) submit(p *simJob) {
	if !c.admit(p) {
		return
	}
	p.ArrivedAt = c.now
	c.after(storeLatency, func() { c.apply(engine.JobAccepted{Job: p.Job}) })
}

// removeWorkers removes each worker with probability share. Its runs and unreported results are lost.
func (c *simulation) removeWorkers(share float64) {
	for _, w := range c.workers {
		if w.lost || c.rand.Float64() >= share {
			continue
		}
		w.lost = true
		w.running = make(map[jobs.TaskID]*run)
		c.apply(engine.WorkerUnlisted{ID: w.info.ID})
	}
}

func (c *simulation) tick() {
	c.apply(engine.Tick{})
	c.recordRoster()
	c.noteHealth()
	c.after(tickInterval, c.tick)
}

// apply gives the engine an event and schedules a pass, if none is due yet.
func (c *simulation) apply(event engine.Event) {
	c.execute(c.engine.Apply(c.now, event))
	if c.passPending {
		return
	}
	c.passPending = true
	c.after(max(0, c.nextPassAt.Sub(c.now)), c.pass)
}

func (c *simulation) pass() {
	c.passPending = false
	c.nextPassAt = c.now.Add(minPassInterval)
	began := time.Now()
	commands := c.engine.Schedule(c.now)
	c.result.LongestPass = max(c.result.LongestPass, time.Since(began))
	c.execute(commands)
}

// execute carries out commands of the engine on the simulated workers, adviser and store.
func (c *simulation) execute(commands []engine.Command) {
	for _, command := range commands {
		switch cmd := command.(type) {
		case engine.Start:
			c.result.Starts++
			c.noteFirstStart(cmd.Task.Job)
			w := c.byID[cmd.Worker]
			c.failIfDown(w, func() {
				c.apply(engine.StartAnswered{Worker: cmd.Worker, Task: cmd.Task, Run: cmd.Run, Outcome: engine.StartUnknown})
			})
			c.deliver(w, func() {
				outcome := w.start(cmd)
				c.after(w.latency, func() {
					c.apply(engine.StartAnswered{Worker: cmd.Worker, Task: cmd.Task, Run: cmd.Run, Outcome: outcome})
				})
			})
		case engine.Stop:
			c.result.Stops++
			w := c.byID[cmd.Worker]
			c.deliver(w, func() {
				w.stop(cmd)
				c.after(w.latency, func() {
					c.apply(engine.StopAnswered{Worker: cmd.Worker, Task: cmd.Task, Run: cmd.Run, Confirmed: true})
				})
			})
		case engine.AdviceRequest:
			c.requestAdvice(cmd)
		case engine.Record:
			c.after(storeLatency, func() { c.recorded(cmd) })
		}
	}
}

// deliver calls do after the network delay to a worker, unless the worker is lost by then.
func (c *simulation) deliver(w *worker, do func()) {
	c.after(w.latency, func() {
		if !w.lost {
			do()
		}
	})
}

// failIfDown calls do after commandTimeout if a worker that flaps is down by the time a command arrives.
func (c *simulation) failIfDown(w *worker, do func()) {
	if w.fault == nil || w.fault.FlapPeriod == 0 {
		return
	}
	c.after(w.latency, func() {
		if w.lost {
			c.after(commandTimeout, do)
		}
	})
}

// sendPoll sends the next poll to a worker. If results wait to be stored, it first waits
// storeLatency, so that the poll can acknowledge them.
func (c *simulation) sendPoll(w *worker) {
	request, ok := c.engine.NextPoll(c.now, w.info.ID)
	if !ok || w.lost {
		return
	}
	if request.AcksPending {
		c.after(storeLatency, func() {
			if request, ok := c.engine.NextPoll(c.now, w.info.ID); ok {
				sent := c.now
				c.deliver(w, func() { w.handlePoll(request, sent) })
			}
		})
		return
	}
	sent := c.now
	c.deliver(w, func() { w.handlePoll(request, sent) })
}

// noteFirstStart records how long a job waited for its first start.
func (c *simulation) noteFirstStart(id jobs.ID) {
	if c.started[id] {
		return
	}
	c.started[id] = true
	p := c.jobs[id]
	q := c.result.Queues[p.queue.Name]
	q.startWaits = append(q.startWaits, c.now.Sub(p.ArrivedAt))
}

// recorded tells the engine that progress is stored, and notes when a job is done.
func (c *simulation) recorded(r engine.Record) {
	if r.Progress.State == jobs.Done && c.doneAt[r.ID.Job].IsZero() {
		c.doneAt[r.ID.Job] = c.now
	}
	c.apply(engine.Recorded{IDs: []engine.ProgressID{r.ID}})
}

// summarize adds all jobs to the result and returns it.
func (c *simulation) summarize() *Result {
	ids := make([]jobs.ID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := c.jobs[id]
		var elapsed time.Duration
		if at := c.doneAt[id]; !at.IsZero() {
			elapsed = at.Sub(startTime.Add(p.arrivalOffset))
		}
		c.result.addJob(p, elapsed)
	}
	c.result.LostCoreSeconds = c.lostCoreSeconds()
	c.result.CapacityCoreSeconds = float64(c.scenario.Workers.Count) * float64(c.scenario.Workers.Millicores) / 1000 * time.Duration(c.scenario.ArrivalPeriod).Seconds()
	return c.result
}
