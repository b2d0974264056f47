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
	// storeTime is how long the store takes to accept a job or to record progress,
	// the ways included.
	storeTime = 40 * time.Millisecond
	// passPause is the least time between two passes of the engine.
	passPause = 6 * time.Millisecond
	tickEvery = 50 * time.Millisecond
	// longestLease bounds the leases of workers; no leader is lost here.
	longestLease = 5 * time.Second
	// runOn is how long after the last arrival jobs may still finish.
	runOn = 30 * time.Second
)

// epoch is when a play begins.
var epoch = time.Unix(1_800_000_000, 0)

// Play lets the jobs of a seed arrive at a multiple of the scene's rates.
func Play(s *Scene, policy engine.Policy, seed uint64, load float64) *Tally {
	c := newCell(s, policy, seed)
	for _, p := range s.draw(seed, load) {
		c.plans[p.ID] = p
		c.after(p.arrives, func() { c.arrive(p) })
	}
	for _, loss := range s.Losses {
		c.after(time.Duration(loss.At), func() { c.lose(loss.Share) })
	}
	c.tick()
	c.run(epoch.Add(time.Duration(s.Length) + runOn))
	return c.settle()
}

// cell is one play.
type cell struct {
	scene   *Scene
	rand    *rand.Rand
	now     time.Time
	events  events
	engine  *engine.Engine
	workers []*worker
	byID    map[string]*worker
	plans   map[jobs.ID]*plan
	// tickets hold until when a worker takes tasks of a step.
	tickets map[ticketKey]time.Time
	// freeAt is when a VM's last question is answered.
	freeAt map[string]time.Time
	// done is when a caller sees that its job is done.
	done    map[jobs.ID]time.Time
	started map[jobs.ID]bool
	tally   *Tally
	passAt  time.Time
	pending bool
}

func newCell(s *Scene, policy engine.Policy, seed uint64) *cell {
	c := &cell{
		scene: s, rand: rand.New(rand.NewPCG(seed, 1<<32)), now: epoch,
		byID: make(map[string]*worker), plans: make(map[jobs.ID]*plan), tickets: make(map[ticketKey]time.Time),
		freeAt: make(map[string]time.Time), done: make(map[jobs.ID]time.Time), started: make(map[jobs.ID]bool),
		tally: &Tally{Queues: make(map[string]*QueueTally)},
	}
	c.engine = engine.New(engine.Options{Epoch: 1, MaxLease: longestLease, StopTime: time.Duration(s.Workers.StopTime), Policy: policy})
	config := &jobs.Config{Version: 1}
	for i := range s.Queues {
		config.Queues = append(config.Queues, s.Queues[i].settings())
		c.tally.Queues[s.Queues[i].Name] = &QueueTally{}
	}
	c.apply(engine.ConfigChanged{Config: config})
	names := make([]string, 0, s.VMs)
	for i := range s.VMs {
		names = append(names, fmt.Sprintf("vm-%02d", i))
	}
	c.apply(engine.AdviceProxiesChanged{Names: names})
	c.addWorkers()
	return c
}

// addWorkers lists the workers and looks at each of them.
func (c *cell) addWorkers() {
	f := c.scene.Workers
	for i := range f.Count {
		rack := fmt.Sprintf("rack-%d", i/f.PerRack)
		w := &worker{
			cell: c, speed: f.Speeds[i%len(f.Speeds)], way: time.Duration(f.Distances[i%len(f.Distances)]), running: make(map[jobs.TaskID]*run),
			entry: engine.Worker{
				ID: fmt.Sprintf("worker-%03d", i), Service: service, Rack: rack, Labels: []string{rack}, StartedAt: epoch,
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1),
				Capacity: roster.Resources{Millicores: f.Millicores, MemoryBytes: f.MemoryBytes},
			},
		}
		c.workers = append(c.workers, w)
		c.byID[w.entry.ID] = w
		c.apply(engine.WorkerListed{Worker: w.entry})
		c.apply(engine.WorkerPolled{Worker: w.entry.ID, Sent: c.now, Report: engine.Report{Clock: c.clock(), StartedAt: epoch}})
	}
	c.record()
	for _, w := range c.workers {
		c.lookAt(w)
	}
}

// record puts the workers on record at once.
func (c *cell) record() {
	wanted, _ := c.engine.WantedRoster(c.now)
	c.engine.RosterSent(wanted)
	c.engine.RosterRecorded(wanted)
}

func (c *cell) clock() time.Duration { return time.Minute + c.now.Sub(epoch) }

func (c *cell) after(d time.Duration, do func()) { c.events.add(c.now.Add(d), do) }

func (c *cell) run(end time.Time) {
	for c.events.Len() > 0 && c.events.list[0].at.Before(end) {
		next := heap.Pop(&c.events).(timed)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// arrive brings a job, once the store has it.
func (c *cell) arrive(p *plan) {
	p.ArrivedAt = c.now
	c.after(storeTime, func() { c.apply(engine.JobAccepted{Job: p.Job}) })
}

// lose takes workers away.
func (c *cell) lose(share float64) {
	for _, w := range c.workers {
		if w.gone || c.rand.Float64() >= share {
			continue
		}
		w.gone = true
		w.running = make(map[jobs.TaskID]*run)
		c.apply(engine.WorkerUnlisted{ID: w.entry.ID})
	}
}

func (c *cell) tick() {
	c.apply(engine.Tick{})
	c.record()
	c.after(tickEvery, c.tick)
}

// apply gives the engine an event and lets it make a pass soon.
func (c *cell) apply(event engine.Event) {
	c.carryOut(c.engine.Apply(c.now, event))
	if c.pending {
		return
	}
	c.pending = true
	c.after(max(0, c.passAt.Sub(c.now)), c.pass)
}

func (c *cell) pass() {
	c.pending = false
	c.passAt = c.now.Add(passPause)
	began := time.Now()
	commands := c.engine.Schedule(c.now)
	c.tally.LongestPass = max(c.tally.LongestPass, time.Since(began))
	c.carryOut(commands)
}

func (c *cell) carryOut(commands []engine.Command) {
	for _, command := range commands {
		switch cmd := command.(type) {
		case engine.Start:
			c.tally.Starts++
			c.noteStart(cmd.Task.Job)
			w := c.byID[cmd.Worker]
			c.reach(w, func() {
				outcome := w.start(cmd)
				c.after(w.way, func() {
					c.apply(engine.StartAnswered{Worker: cmd.Worker, Task: cmd.Task, Run: cmd.Run, Outcome: outcome})
				})
			})
		case engine.Stop:
			c.tally.Stops++
			w := c.byID[cmd.Worker]
			c.reach(w, func() {
				w.stop(cmd)
				c.after(w.way, func() {
					c.apply(engine.StopAnswered{Worker: cmd.Worker, Task: cmd.Task, Run: cmd.Run, Confirmed: true})
				})
			})
		case engine.AdviceRequest:
			c.ask(cmd)
		case engine.Record:
			c.after(storeTime, func() { c.recorded(cmd) })
		}
	}
}

// reach does something at a worker, unless it is gone by then.
func (c *cell) reach(w *worker, do func()) {
	c.after(w.way, func() {
		if !w.gone {
			do()
		}
	})
}

// lookAt sends the next look.
func (c *cell) lookAt(w *worker) {
	order, ok := c.engine.NextPoll(c.now, w.entry.ID)
	if !ok || w.gone {
		return
	}
	if order.AcksPending {
		c.after(storeTime, func() {
			if order, ok := c.engine.NextPoll(c.now, w.entry.ID); ok {
				sent := c.now
				c.reach(w, func() { w.hold(order, sent) })
			}
		})
		return
	}
	sent := c.now
	c.reach(w, func() { w.hold(order, sent) })
}

func (c *cell) noteStart(id jobs.ID) {
	if c.started[id] {
		return
	}
	c.started[id] = true
	p := c.plans[id]
	q := c.tally.Queues[p.queue.Name]
	q.waits = append(q.waits, c.now.Sub(p.ArrivedAt))
}

// recorded tells the engine that progress is stored, and a caller that its job is done.
func (c *cell) recorded(r engine.Record) {
	if r.Progress.State == jobs.Done && c.done[r.ID.Job].IsZero() {
		c.done[r.ID.Job] = c.now
	}
	c.apply(engine.Recorded{IDs: []engine.ProgressID{r.ID}})
}

// settle counts what each job's caller got.
func (c *cell) settle() *Tally {
	ids := make([]jobs.ID, 0, len(c.plans))
	for id := range c.plans {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := c.plans[id]
		var took time.Duration
		if at := c.done[id]; !at.IsZero() {
			took = at.Sub(p.ArrivedAt)
		}
		c.tally.count(p, took)
	}
	c.tally.CapacityCoreSeconds = float64(c.scene.Workers.Count) * float64(c.scene.Workers.Millicores) / 1000 * time.Duration(c.scene.Length).Seconds()
	return c.tally
}
