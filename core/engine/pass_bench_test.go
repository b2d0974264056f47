package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// benchFleetSizes are the numbers of workers for which a pass is measured.
var benchFleetSizes = []int{50, 350, 1100, 3000}

// passBenchmark is an engine with a fleet that is nearly full, and jobs of three kinds that wait
// for advice, tickets or capacity: a burst on a large fleet.
type passBenchmark struct {
	*Engine
	now         time.Time
	rand        *rand.Rand
	workerClock time.Duration
}

// benchOrganizations is the number of organizations with which a pass is measured.
const benchOrganizations = 92

// benchTasksPerJob is the mean number of tasks of the jobs of newPassBenchmark.
const benchTasksPerJob = 13

// benchDirectory returns organizations that have a cap, of which none is reached. All jobs of
// newPassBenchmark arrive at once, so that a third of them are excess.
func benchDirectory(count, jobCount int) *orgs.Directory {
	if count == 0 {
		return nil
	}
	list := make([]orgs.Organization, 0, count)
	for i := range count {
		list = append(list, orgs.Organization{
			Name: fmt.Sprintf("org-%02d", i), Weight: float64(2*jobCount) / float64(3*count),
			Cap: roster.Resources{Millicores: 500_000_000, MemoryBytes: 1 << 46},
		})
	}
	directory, err := orgs.NewDirectory(list)
	if err != nil {
		panic(err) // the list is sound
	}
	return directory
}

// newPassBenchmark returns an engine with the given number of workers and at least the given
// number of waiting tasks, of the given number of organizations.
func newPassBenchmark(workers, tasks, organizations int) *passBenchmark {
	c := &passBenchmark{
		Engine: New(Options{Epoch: 1, LeaseTerm: testLease, MaxLease: testLease, StopTime: time.Second, EntryTerm: simEntryTerm}), now: testStart,
		rand: rand.New(rand.NewPCG(1, 2)), workerClock: time.Minute,
	}
	queues := []jobs.Queue{
		{Name: "quick", Service: "service", Attempts: 3, Stretch: 1.5, Slack: 400 * time.Millisecond, Advice: &jobs.AdviceSettings{RequestTime: 8 * time.Millisecond, PerWorkerTime: time.Millisecond / 2, TicketValidity: 1500 * time.Millisecond}},
		{Name: "wide", Service: "service", Priority: 1, Attempts: 3, Stretch: 3, Slack: time.Second, Advice: &jobs.AdviceSettings{RequestTime: 100 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 1500 * time.Millisecond}},
		{Name: "gangs", Service: "service", Priority: 2, Attempts: 3, Stretch: 3, Slack: time.Second, Advice: &jobs.AdviceSettings{RequestTime: 600 * time.Millisecond, PerWorkerTime: 4 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}},
	}
	// Without a term, Schedule does nothing.
	c.Apply(c.now, LeadershipConfirmed{At: c.now, Until: c.now.AddDate(1, 0, 0)})
	c.Apply(c.now, ConfigChanged{Config: &jobs.Config{Version: 1, Queues: queues, Organizations: benchDirectory(organizations, tasks/benchTasksPerJob)}})
	helpers := make([]string, 0, 147)
	for i := range 147 {
		helpers = append(helpers, fmt.Sprintf("vm%03d", i))
	}
	c.Apply(c.now, AdviceProxiesChanged{Names: helpers})
	for i := range workers {
		w := testWorker(fmt.Sprintf("i-%08x", i))
		w.Capacity = roster.Resources{Millicores: 16000, MemoryBytes: 32 << 30}
		w.Rack = fmt.Sprintf("r%d", i/8)
		c.Apply(c.now, WorkerListed{Worker: w, WrittenAfter: c.now.AddDate(1, 0, 0)})
		c.Apply(c.now, WorkerPolled{Worker: w.ID, Sent: c.now, Fence: c.fence(c.workers[w.ID]), Report: Report{Clock: c.workerClock, StartedAt: w.StartedAt}})
	}
	roster, _ := c.WantedRoster(c.now)
	c.RosterRecorded(roster)
	for _, w := range c.sortedWorkers {
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
		if organizations > 0 {
			job.Organization = fmt.Sprintf("org-%02d", n%organizations)
		}
		waiting += step.Count
		c.Apply(c.now, JobAccepted{Job: job})
	}
	return c
}

// pollWorkers marks all workers as just polled.
func (c *passBenchmark) pollWorkers() {
	for _, w := range c.sortedWorkers {
		w.lastSeen = c.now
	}
}

// answerAdvice delivers the adviser's answers to the advice requests among commands.
func (c *passBenchmark) answerAdvice(commands []Command) {
	for _, request := range commandsOfType[AdviceRequest](commands) {
		event := AdviceAnswered{Step: request.Step, Proxy: request.Proxy, Workers: request.Workers, Cost: request.Cost, Elapsed: request.Cost, Valid: 1500 * time.Millisecond}
		for _, id := range request.Workers {
			if c.rand.IntN(3) == 0 {
				event.Tickets = append(event.Tickets, Ticket{Worker: id, Value: "t"})
			}
		}
		c.Apply(c.now, event)
	}
}

// BenchmarkPass measures passes with 20,000 waiting tasks, by the size of the fleet, without
// organizations and with benchOrganizations.
func BenchmarkPass(b *testing.B) {
	for _, workers := range benchFleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkPass(b, workers, 0) })
		b.Run(fmt.Sprintf("workers=%d/organizations=%d", workers, benchOrganizations), func(b *testing.B) { benchmarkPass(b, workers, benchOrganizations) })
	}
}

func benchmarkPass(b *testing.B, workers, organizations int) {
	c := newPassBenchmark(workers, 20_000, organizations)
	b.ReportAllocs()
	for b.Loop() {
		c.now = c.now.Add(20 * time.Millisecond)
		c.pollWorkers()
		commands := c.Schedule(c.now)
		b.StopTimer()
		c.answerAdvice(commands)
		b.StartTimer()
	}
}
