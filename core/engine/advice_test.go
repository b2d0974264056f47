package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// TestWorkerSet guards against a verdict that counts for another worker.
func TestWorkerSet(t *testing.T) {
	var set workerSet
	want := make(map[int]bool)
	for _, n := range []int{70, 0, 64, 63, 300, 70} {
		set.add(&worker{number: n})
		want[n] = true
		for other := range 400 {
			if got := set.has(&worker{number: other}); got != want[other] {
				t.Fatalf("worker %d is in the set: %v, want %v", other, got, want[other])
			}
		}
	}
}

// TestVerdictEndsWithWorker guards against a verdict or ticket that counts for a later worker with the
// same ID, about which the adviser was not asked, so that it is never asked.
func TestVerdictEndsWithWorker(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	job := testJob("job", 1)
	job.Queue.Advice = &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: time.Hour}
	e.apply(JobAccepted{Job: job})
	e.apply(AdviceAnswered{Step: jobs.StepID{Job: "job"}, Workers: []string{"w1"}, Tickets: []Ticket{{Worker: "w1", Value: "t"}}, Valid: time.Hour})
	e.apply(WorkerUnlisted{ID: "w1"})
	e.now = e.now.Add(forgetAfter + time.Second)
	e.apply(PollFailed{Worker: "w1"})
	if e.workers["w1"] != nil {
		t.Fatal("the worker was not forgotten")
	}
	e.addWorker("w1")
	e.apply(AdviceProxiesChanged{Names: []string{"vm1"}})
	e.confirm()
	commands := e.runPass(0)
	if got := e.startsIn(commands); got != 0 {
		t.Error("a task started with the ticket for the earlier worker")
	}
	if got := len(commandsOfType[AdviceRequest](commands)); got != 1 {
		t.Errorf("%d advice requests about the new worker, want 1", got)
	}
}

// plainProxyFor looks through all proxies in the way that proxyFor describes.
func plainProxyFor(e *Engine, q jobs.Queue) *adviceProxy {
	queues := []jobs.Queue{q}
	for _, other := range e.config.Queues {
		if other.Advice != nil && other.Name != q.Name {
			queues = append(queues, other)
		}
	}
	slices.SortFunc(queues, func(a, b jobs.Queue) int {
		return cmp.Or(cmp.Compare(a.Advice.RequestTime, b.Advice.RequestTime), cmp.Compare(a.Name, b.Name))
	})
	position := slices.IndexFunc(queues, func(other jobs.Queue) bool { return other.Name == q.Name })
	ownCount := max(1, int(ownProxyShare*float64(len(e.adviceProxies))))
	var best *adviceProxy
	for i, p := range e.adviceProxies {
		ownerPosition := len(queues)
		if len(e.adviceProxies) > len(queues) {
			ownerPosition = min(i/ownCount, len(queues))
		}
		limit := maxRequestsPerProxy
		switch {
		case ownerPosition < position:
			continue
		case ownerPosition > position && proxyWait(p, testStart) > q.Advice.RequestTime:
			continue
		case ownerPosition != position:
			limit = 1
		}
		if p.pending < limit && (best == nil || proxyWait(p, testStart) < proxyWait(best, testStart)) {
			best = p
		}
	}
	return best
}

// TestProxyChoice guards against a choice of the proxy that depends on how the search is shortened.
func TestProxyChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	found := 0
	for n := range 3000 {
		e := New(Options{Epoch: 1})
		var queues []jobs.Queue
		for i := range random.IntN(6) {
			q := jobs.Queue{Name: fmt.Sprintf("queue%d", i)}
			if random.IntN(4) > 0 {
				q.Advice = &jobs.AdviceSettings{RequestTime: time.Duration(10*random.IntN(4)) * time.Millisecond}
			}
			queues = append(queues, q)
		}
		e.Apply(testStart, ConfigChanged{Config: &jobs.Config{Version: 1, Queues: queues}})
		for i := range random.IntN(40) {
			wait := time.Duration(random.IntN(60)-20) * time.Millisecond
			e.adviceProxies = append(e.adviceProxies, &adviceProxy{name: fmt.Sprint(i), pending: random.IntN(3), freeAt: testStart.Add(wait)})
		}
		// The queue of a job may have other settings than in the configuration, or not be in it.
		q := jobs.Queue{Name: fmt.Sprintf("queue%d", random.IntN(7)), Advice: &jobs.AdviceSettings{RequestTime: time.Duration(10*random.IntN(4)) * time.Millisecond}}
		want := plainProxyFor(e, q)
		if got := e.proxyFor(testStart, q); got != want {
			t.Fatalf("case %d: %+v was chosen, want %+v", n, got, want)
		}
		if want != nil {
			found++
		}
	}
	if found < 1000 {
		t.Errorf("a proxy was found in %d cases, which tests little", found)
	}
}

// TestGangSearchSkipsNoWorker guards against workers that the search for a gang takes for too full, or
// for asked about, while they are not.
func TestGangSearchSkipsNoWorker(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	found, asked := 0, 0
	for n := range 200 {
		e := gangSearchTest(t, random)
		e.passes++
		p := &pass{now: e.now, number: e.passes, dedicated: make(map[*worker]*step)}
		p.open = e.openWorkers(e.now)
		for round := range 12 {
			s := e.jobs[jobs.ID(fmt.Sprintf("gang%d", random.IntN(3)))].open[0].steps[0]
			for _, w := range e.sortedWorkers {
				if random.IntN(8) == 0 {
					s.advice.asked.add(w)
				}
			}
			got := workerIDs(e.unaskedForGang(p, s, s.Count))
			if want := plainSearchForGang(e, p, s); !slices.Equal(got, want) {
				t.Fatalf("case %d, search %d: found %v, want %v", n, round, got, want)
			}
			found += len(got)
			// A start takes free capacity in the pass, and a stop changes what its run counts as.
			w := e.sortedWorkers[random.IntN(len(e.sortedWorkers))]
			w.used.Millicores += int64(random.IntN(2000))
			if runs := w.sortedRuns(); len(runs) > 0 && e.evictable(e.now, s, runs[0]) {
				e.stopFor(e.now, runs[0], WastePreempted)
				asked++
			}
		}
	}
	if found < 1000 || asked < 10 {
		t.Errorf("%d workers were found and %d runs stopped, which tests little", found, asked)
	}
}

// gangSearchTest returns an engine with three gangs of different priorities and demands that wait, on
// workers that are full with other work, of which a part can be stopped.
func gangSearchTest(t *testing.T, random *rand.Rand) *testEngine {
	var workers []Worker
	for i := range 40 {
		w := testWorker(fmt.Sprintf("w%02d", i))
		w.Capacity.Millicores = int64(2000 * (1 + random.IntN(4)))
		workers = append(workers, w)
	}
	e := newTestEngine(t, Options{}, workers...)
	for i := range 3 {
		batch := testJob(jobs.ID(fmt.Sprintf("batch%d", i)), 25)
		batch.Queue.Name, batch.Queue.Priority, batch.Queue.Slack = fmt.Sprintf("batch%d", i), i, time.Hour
		batch.Steps[0].SavesCheckpoints = random.IntN(3) > 0
		e.apply(JobAccepted{Job: batch})
	}
	e.startAll(0)
	for i := range 3 {
		gang := testJob(jobs.ID(fmt.Sprintf("gang%d", i)), 1+random.IntN(12))
		gang.Queue.Name, gang.Queue.Priority = fmt.Sprintf("gang%d", i), i
		gang.Queue.Advice = &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
		gang.Steps[0].Gang, gang.Steps[0].PerTask.Millicores = true, int64(500*(1+random.IntN(12)))
		e.apply(JobAccepted{Job: gang})
	}
	for _, w := range e.sortedWorkers {
		if random.IntN(5) == 0 {
			w.reserved.Millicores = int64(random.IntN(2000))
		}
	}
	return e
}

// plainSearchForGang looks at all workers in the way that unaskedForGang describes.
func plainSearchForGang(e *testEngine, p *pass, s *step) []string {
	missing := float64(s.Count)
	share := e.estimatedPermittedShare(s)
	free, withEvictions := 0.0, 0.0
	var ids []string
	for _, entry := range p.workersByFree() {
		enough := free >= gangCapacityMargin*missing/share || withEvictions >= gangEvictionMargin*missing/share
		if len(ids) >= minWorkersPerRequest && enough {
			break
		}
		w := entry.worker
		capacity := w.freeFor(s)
		for _, r := range w.runs {
			if r.phase == stopping || e.evictable(p.now, s, r) {
				capacity = ledger.Sum(capacity, r.demand)
			}
		}
		if fits := ledger.FitCount(s.demand(), capacity, s.Count); fits > 0 && s.mayRequest(p, w) {
			ids = append(ids, w.ID)
			free += float64(ledger.FitCount(s.demand(), w.expectedFree(), s.Count))
			withEvictions += float64(fits)
		}
	}
	return ids
}

// TestStepCountsOncePerPass guards against steps that count twice among those that wait with tickets, so
// that half as many of them keep the others of their queue from requesting advice.
func TestStepCountsOncePerPass(t *testing.T) {
	for name, c := range map[string]struct{ ticketed, want int }{
		"one too few": {maxTicketedSteps - 1, 1},
		"enough":      {maxTicketedSteps, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
			e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 100}, orgs.Organization{Name: "south", Weight: 100}, orgs.Organization{Name: "east"})
			e.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2", "vm3"}})
			e.apply(JobAccepted{Job: testJob("running", 8)})
			if got := e.startsIn(e.runPass(0)); got != 8 {
				t.Fatalf("%d tasks started, want 8", got)
			}
			busy := testJob("south", 1)
			busy.Organization = "south"
			e.apply(JobAccepted{Job: busy})
			// Each step of north has more tasks than its fair share of four processors. The step without
			// tickets belongs to an organization without weight, so that it comes last.
			for i := range c.ticketed + 1 {
				job := orgJob(jobs.ID(fmt.Sprintf("job%02d", i)), 6)
				if i == c.ticketed {
					job.Organization = "east"
				}
				job.Queue.Name, job.Queue.Advice = "advised", &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
				e.apply(JobAccepted{Job: job})
				if i < c.ticketed {
					e.apply(AdviceAnswered{Step: jobs.StepID{Job: job.ID}, Workers: []string{"w1", "w2"}, Tickets: []Ticket{{Worker: "w1", Value: "t"}}, Valid: 2 * time.Second})
				}
			}
			if got := len(commandsOfType[AdviceRequest](e.runPass(time.Millisecond))); got != c.want {
				t.Errorf("%d advice requests for the step without tickets, want %d", got, c.want)
			}
		})
	}
}

// TestStepBeyondShareStartsInSamePass guards against tasks beyond the fair share that wait on idle
// workers for a further pass.
func TestStepBeyondShareStartsInSamePass(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
	e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 100}, orgs.Organization{Name: "south", Weight: 100})
	e.apply(JobAccepted{Job: orgJob("north", 9)})
	south := testJob("south", 1)
	south.Organization, south.Steps[0].PerTask = "south", roster.Resources{Millicores: 1000}
	e.apply(JobAccepted{Job: south})
	got := e.startsByOrganization(e.runPass(0))
	if got["north"] != 7 || got["south"] != 1 {
		t.Errorf("started %v, want 7 of north and 1 of south", got)
	}
}
