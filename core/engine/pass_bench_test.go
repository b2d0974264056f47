package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// benchSizes are the fleets that a pass is measured with.
var benchSizes = []int{50, 350, 1100, 3000}

// crowd is an engine with a fleet that is nearly full, and jobs of three kinds that
// wait for advice, tickets or room: a burst on a large fleet.
type crowd struct {
	*Engine
	now   time.Time
	rand  *rand.Rand
	clock time.Duration
}

// newCrowd returns an engine with a number of workers and about tasks waiting tasks.
func newCrowd(workers, tasks int) *crowd {
	c := &crowd{
		Engine: New(Options{Epoch: 1, MaxLease: testLease, StopTime: time.Second}), now: start,
		rand: rand.New(rand.NewPCG(1, 2)), clock: time.Minute,
	}
	queues := []jobs.Queue{
		{Name: "quick", Service: "service", Attempts: 3, Stretch: 1.5, Slack: 400 * time.Millisecond, Advice: &jobs.AdviceSettings{RequestTime: 8 * time.Millisecond, PerWorkerTime: time.Millisecond / 2, TicketValidity: 1500 * time.Millisecond}},
		{Name: "wide", Service: "service", Priority: 1, Attempts: 3, Stretch: 3, Slack: time.Second, Advice: &jobs.AdviceSettings{RequestTime: 100 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 1500 * time.Millisecond}},
		{Name: "gangs", Service: "service", Priority: 2, Attempts: 3, Stretch: 3, Slack: time.Second, Advice: &jobs.AdviceSettings{RequestTime: 600 * time.Millisecond, PerWorkerTime: 4 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}},
	}
	c.Apply(c.now, ConfigChanged{Config: &jobs.Config{Version: 1, Queues: queues}})
	helpers := make([]string, 0, 147)
	for i := range 147 {
		helpers = append(helpers, fmt.Sprintf("vm%03d", i))
	}
	c.Apply(c.now, AdviceProxiesChanged{Names: helpers})
	for i := range workers {
		w := testWorker(fmt.Sprintf("i-%08x", i))
		w.Capacity = roster.Resources{Millicores: 16000, MemoryBytes: 32 << 30}
		w.Rack = fmt.Sprintf("r%d", i/8)
		c.Apply(c.now, WorkerListed{Worker: w})
		c.Apply(c.now, WorkerPolled{Worker: w.ID, Sent: c.now, Report: Report{Clock: c.clock, StartedAt: w.StartedAt}})
	}
	roster, _ := c.WantedRoster(c.now)
	c.RosterRecorded(roster)
	for _, w := range c.order {
		w.used.Millicores = int64(12000 + c.rand.IntN(4000))
	}
	for n, waiting := 0, 0; waiting < tasks; n++ {
		job := testJob(jobs.ID(fmt.Sprintf("%016x", n)), 4)
		step := &job.Steps[0]
		switch n % 10 {
		case 0:
			job.Queue, step.Count, step.PerTask.Millicores, step.Gang = queues[2], 40, 4500, true
		case 1, 2:
			job.Queue, step.Count, step.PerTask.Millicores = queues[1], 32, 2700
		default:
			job.Queue, step.PerTask.Millicores = queues[0], 3900
		}
		job.ArrivedAt = c.now
		waiting += step.Count
		c.Apply(c.now, JobAccepted{Job: job})
	}
	return c
}

// refresh keeps all workers looked at.
func (c *crowd) refresh() {
	for _, w := range c.order {
		w.lastSeen = c.now
	}
}

// answer gives the adviser's answers to the questions among commands.
func (c *crowd) answer(commands []Command) {
	for _, ask := range only[AdviceRequest](commands) {
		event := AdviceAnswered{Step: ask.Step, Proxy: ask.Proxy, Workers: ask.Workers, Cost: ask.Cost, Elapsed: ask.Cost, Valid: 1500 * time.Millisecond}
		for _, id := range ask.Workers {
			if c.rand.IntN(3) == 0 {
				event.Tickets = append(event.Tickets, Ticket{Worker: id, Value: "t"})
			}
		}
		c.Apply(c.now, event)
	}
}

// BenchmarkPass measures passes with 20,000 tasks waiting, by the size of the fleet.
func BenchmarkPass(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newCrowd(workers, 20_000)
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(20 * time.Millisecond)
				c.refresh()
				commands := c.Schedule(c.now)
				b.StopTimer()
				c.answer(commands)
				b.StartTimer()
			}
		})
	}
}
