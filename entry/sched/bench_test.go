//go:build bench

package sched

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/place"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/entry/shared"
)

// The bounds come from the letter's sizes and the targets.
const (
	benchTasks       = 12000
	boundPerSecond   = 5000
	boundDecision    = 5 * time.Millisecond
	boundUrgent      = 3100 * time.Millisecond
	boundTakeover    = 2500 * time.Millisecond
	boundStoreWrites = 300
	boundStoreReads  = 1000
	boundNodeBytes   = 24 * 1024
	// domains is the number of failure domains that share the letter's size.
	domains = 5
)

// row prints a row with its bound and fails the test past it.
func row(t *testing.T, name string, got, bound float64, unit string, atLeast bool) {
	t.Helper()
	sign, ok := "<=", got <= bound
	if atLeast {
		sign, ok = ">=", got >= bound
	}
	verdict := "ok"
	if !ok {
		verdict = "PAST ITS BOUND"
		t.Fail()
	}
	fmt.Printf("%-58s %12.2f %s %10.2f %-12s %s\n", name, got, sign, bound, unit, verdict)
}

func TestBenchJobs(t *testing.T) {
	benchDecisions(t)
	benchPasses(t)
	benchPacking(t)
	benchTakeover(t)
	benchPeak(t)
	benchCancelWave(t)
}

// full is a ledger of n workers with benchTasks running tasks, and the tasks.
func full(n int, random *rand.Rand) (*ledger.Ledger, []ledger.Charge, []string) {
	l := &ledger.Ledger{}
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("worker-%03d", i)
		capacity := roster.Resources{Millicores: 64000, MemoryBytes: 256 * gibibyte}
		if i%3 != 0 {
			capacity.Accelerators = 2
		}
		l.SetWorker(names[i], fmt.Sprintf("rack-%02d", i/8), capacity)
		l.SetCondition(names[i], ledger.Usable)
	}
	charges := make([]ledger.Charge, benchTasks)
	places := make([]string, benchTasks)
	mean := int64(64000 * n / benchTasks)
	for i := range charges {
		charges[i] = ledger.Charge{Task: ledger.Task{Job: "job", Index: i}, State: ledger.Running, Amount: roster.Resources{
			Millicores: mean/2 + random.Int63n(mean*8/10), MemoryBytes: (1 + random.Int63n(2)) * gibibyte / 2,
		}}
		found := place.Choose(l, place.Demand{PerTask: charges[i].Amount, Count: 1, Strategy: place.Packed{}})
		if len(found.Workers) == 1 {
			places[i] = found.Workers[0]
			l.Charge(places[i], charges[i])
		}
	}
	return l, charges, places
}

// decide replaces random tasks one by one and returns how long each decision took.
func decide(n, decisions int) []time.Duration {
	random := rand.New(rand.NewSource(7))
	l, charges, places := full(n, random)
	policies := []place.Strategy{place.Packed{}, place.Packed{}, place.Packed{}, place.Spread{}, place.AllOrNothing{}}
	took := make([]time.Duration, 0, decisions)
	for range decisions {
		i := random.Intn(benchTasks)
		l.Release(places[i], charges[i].Task, ledger.WorkerReport{})
		began := time.Now()
		found := place.Choose(l, place.Demand{PerTask: charges[i].Amount, Count: 1, Strategy: policies[random.Intn(len(policies))]})
		places[i] = ""
		if len(found.Workers) == 1 {
			places[i] = found.Workers[0]
			l.Charge(places[i], charges[i])
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return took
}

func sum(took []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, d := range took {
		total += d
	}
	return total
}

// benchDecisions measures both sizes in turn, so that a busy moment of the
// machine strikes both, and goes by the median round.
func benchDecisions(t *testing.T) {
	sizes := []int{150, 560}
	rounds := map[int][]float64{}
	p99s := map[int][]float64{}
	for range 7 {
		for _, n := range sizes {
			took := decide(n, 4000)
			rounds[n] = append(rounds[n], float64(sum(took))/float64(len(took)))
			p99s[n] = append(p99s[n], float64(took[len(took)*99/100])/float64(time.Millisecond))
		}
	}
	for _, n := range sizes {
		row(t, fmt.Sprintf("decisions a second, one core, %d workers, 12,000 tasks", n), 1e9/median(rounds[n]), boundPerSecond, "1/s", true)
		row(t, fmt.Sprintf("p99 of a decision, %d workers, worst of 7 rounds", n), slices.Max(p99s[n]), float64(boundDecision.Milliseconds()), "ms", false)
	}
	row(t, "growth of a decision's cost from 150 to 560 workers", median(rounds[560])/median(rounds[150]), 560.0/150.0, "times", false)
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// benchPasses measures whole passes: queue, quota, placement, charge and trace.
func benchPasses(t *testing.T) {
	r := newRig(t, 0)
	s, err := New(Options{CommonOptions: shared.CommonOptions{Name: "entry-1", Domain: "zurich-a", Policy: r.policy, Tables: r.tables, Roster: r.view.Load}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.lease.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.lease.Start(t.Context())
	grant, _ := s.lease.Current(time.Now())
	h := newHolder(s, grant)
	h.settled = true
	for i := range 560 {
		name := fmt.Sprintf("worker-%03d", i)
		h.ledger.SetWorker(name, fmt.Sprintf("rack-%02d", i/8), roster.Resources{Millicores: 64000, MemoryBytes: 256 * gibibyte})
		h.ledger.SetCondition(name, ledger.Usable)
		h.links[name] = newLink(h, name)
	}
	const jobs, tasks = 2300, 10
	for i := range jobs {
		spec := *jobSpec(caller.JobSpecKindBatch, tasks, 500+int64(i%7)*100, "run", "1h")
		h.add(newJob(jobRow{ID: fmt.Sprintf("zurich-a-%04d", i), Team: fmt.Sprintf("team-%d", i%92), Domain: "zurich-a", Spec: spec, AcceptedAt: time.Now()}, 1, false))
	}
	began := time.Now()
	for h.queue.Len() > 0 {
		h.pass(time.Now())
	}
	row(t, "placements a second in whole passes, 2,300 jobs, 92 teams", jobs*tasks/time.Since(began).Seconds(), boundPerSecond, "1/s", true)
}

// optimum is the naive version: the greatest sum of sizes that any assignment places.
func optimum(rooms []int64, sizes []int64) int64 {
	if len(sizes) == 0 {
		return 0
	}
	best := optimum(rooms, sizes[1:])
	for i := range rooms {
		if rooms[i] >= sizes[0] {
			rooms[i] -= sizes[0]
			best = max(best, sizes[0]+optimum(rooms, sizes[1:]))
			rooms[i] += sizes[0]
		}
	}
	return best
}

// firstFit places in the order given, on the first worker with room.
func firstFit(rooms []roster.Resources, demands []roster.Resources) int64 {
	placed := int64(0)
	for _, d := range demands {
		for i := range rooms {
			if ledger.Fits(d, rooms[i]) {
				rooms[i] = ledger.Difference(rooms[i], d)
				placed += d.Millicores
				break
			}
		}
	}
	return placed
}

func bestFit(rooms []roster.Resources, demands []roster.Resources) int64 {
	l := &ledger.Ledger{}
	for i, room := range rooms {
		l.SetWorker(fmt.Sprintf("worker-%03d", i), "rack", room)
		l.SetCondition(fmt.Sprintf("worker-%03d", i), ledger.Usable)
	}
	placed := int64(0)
	for i, d := range demands {
		for _, name := range place.Choose(l, place.Demand{PerTask: d, Count: 1, Strategy: place.Packed{}}).Workers {
			l.Charge(name, ledger.Charge{Task: ledger.Task{Index: i}, Amount: d})
			placed += d.Millicores
		}
	}
	return placed
}

func benchPacking(t *testing.T) {
	random := rand.New(rand.NewSource(11))
	var got, best int64
	for range 300 {
		rooms := make([]int64, 3)
		resources := make([]roster.Resources, 3)
		for i := range rooms {
			rooms[i] = 8 + random.Int63n(8)
			resources[i] = roster.Resources{Millicores: rooms[i], MemoryBytes: 1 << 20}
		}
		sizes := make([]int64, 8)
		demands := make([]roster.Resources, 8)
		for i := range sizes {
			sizes[i] = 1 + random.Int63n(7)
			demands[i] = roster.Resources{Millicores: sizes[i], MemoryBytes: 1}
		}
		best += optimum(rooms, sizes)
		got += bestFit(resources, demands)
	}
	row(t, "packed, of the exhaustive optimum, 300 small cases", 100*float64(got)/float64(best), 95, "%", true)
	worst, roomiest := 1e9, 1e9
	for range 20 {
		resources := make([]roster.Resources, 150)
		for i := range resources {
			cores := []int64{16, 32, 64}[random.Intn(3)]
			resources[i] = roster.Resources{Millicores: cores * 1000, MemoryBytes: cores * 4 * gibibyte}
		}
		demands := make([]roster.Resources, 3000)
		for i := range demands {
			demands[i] = roster.Resources{Millicores: 500 + random.Int63n(5500), MemoryBytes: (1 + random.Int63n(20)) * gibibyte}
		}
		worst = min(worst, 100*float64(bestFit(resources, demands))/float64(firstFit(slices.Clone(resources), demands)))
		half := demands[:850]
		roomiest = min(roomiest, 100*largeRoom(resources, half, choosePacked)/largeRoom(resources, half, chooseFirst))
	}
	row(t, "packed, of first-fit, worst of 20 fleets of 150 workers", worst, 100, "%", true)
	row(t, "room for large tasks at half load, of first-fit, worst of 20", roomiest, 100, "%", true)
}

// largeRoom is how many tasks of 24 cores still fit after a fleet was half filled
// with small ones.
func largeRoom(rooms []roster.Resources, demands []roster.Resources, choose func(*ledger.Ledger, roster.Resources) string) float64 {
	l := &ledger.Ledger{}
	for i, room := range rooms {
		l.SetWorker(fmt.Sprintf("worker-%03d", i), "rack", room)
		l.SetCondition(fmt.Sprintf("worker-%03d", i), ledger.Usable)
	}
	for i, d := range demands {
		l.Charge(choose(l, d), ledger.Charge{Task: ledger.Task{Index: i}, Amount: d})
	}
	large := place.Demand{PerTask: roster.Resources{Millicores: 24000, MemoryBytes: 64 * gibibyte}, Count: 1000, Strategy: place.Packed{}}
	return float64(len(place.Choose(l, large).Workers))
}

func chooseFirst(l *ledger.Ledger, d roster.Resources) string {
	for _, w := range l.Workers() {
		if ledger.Fits(d, w.Free) {
			return w.Name
		}
	}
	return ""
}

func choosePacked(l *ledger.Ledger, d roster.Resources) string {
	found := place.Choose(l, place.Demand{PerTask: d, Count: 1, Strategy: place.Packed{}})
	return append(found.Workers, "")[0]
}

// benchTakeover kills the holder of a full domain and submits urgent work at once.
func benchTakeover(t *testing.T) {
	const runs, lanes = 20, 5
	var mu sync.Mutex
	var takeovers, urgents, steady []time.Duration
	t.Run("takeover", func(t *testing.T) {
		for lane := range lanes {
			t.Run(fmt.Sprint(lane), func(t *testing.T) {
				t.Parallel()
				for range runs / lanes {
					takeover, urgent, quiet := takeOver(t)
					mu.Lock()
					takeovers, urgents, steady = append(takeovers, takeover), append(urgents, urgent), append(steady, quiet)
					mu.Unlock()
				}
			})
		}
	})
	row(t, "urgent start at a full fleet, greatest of 20", slices.Max(steady).Seconds(), boundUrgent.Seconds(), "s", false)
	row(t, "takeover after a kill, greatest of 20", slices.Max(takeovers).Seconds(), boundTakeover.Seconds(), "s", false)
	row(t, "urgent start through a takeover, greatest of 20", slices.Max(urgents).Seconds(), boundUrgent.Seconds(), "s", false)
}

func takeOver(t *testing.T) (takeover, urgent, quiet time.Duration) {
	r := newRig(t, 2)
	first, kill := r.scheduler("entry-1")
	second, kill2 := r.scheduler("entry-2")
	for first.current() == nil && second.current() == nil {
		time.Sleep(time.Millisecond)
	}
	if first.current() == nil {
		first, second, kill, kill2 = second, first, kill2, kill
	}
	defer kill2()
	batch := r.submit(first, jobSpec(caller.JobSpecKindBatch, 8, 1000, "run", "1h")).ID
	r.await(first, batch, runningTasks(8))
	spec := jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1h")
	spec.Urgent = caller.NewOptBool(true)
	began := time.Now()
	quietID := r.submit(first, spec).ID
	r.await(first, quietID, runningTasks(1))
	quiet = time.Since(began)
	time.Sleep(time.Duration(rand.Int63n(int64(500 * time.Millisecond))))
	began = time.Now()
	kill()
	job := r.submit(second, spec)
	for second.current() == nil {
		time.Sleep(time.Millisecond)
	}
	takeover = time.Since(began)
	r.await(second, job.ID, runningTasks(1))
	return takeover, time.Since(began), quiet
}

// meter counts calls of the tables and bytes of the connections to workers.
type meter struct {
	store.Tables
	commits, reads atomic.Int64
	bytes          atomic.Int64
}

func (m *meter) Commit(ctx context.Context, changes ...store.Change) (int64, error) {
	m.commits.Add(1)
	return m.Tables.Commit(ctx, changes...)
}

func (m *meter) Read(ctx context.Context, table, key string) (store.Row, error) {
	m.reads.Add(1)
	return m.Tables.Read(ctx, table, key)
}

func (m *meter) Scan(ctx context.Context, table, prefix string) ([]store.Row, error) {
	m.reads.Add(1)
	return m.Tables.Scan(ctx, table, prefix)
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// benchPeak runs one of five failure domains at the letter's peak rate.
func benchPeak(t *testing.T) {
	r := newRig(t, 0)
	r.policy.Current().Document.Teams = nil
	r.policy.Current().Document.Jobs.TaskLease = 0
	var members []roster.Worker
	for i := range 560 / domains {
		w := startFakeWorker(t, fmt.Sprintf("worker-%03d", i), roster.Resources{Millicores: 64000, MemoryBytes: 256 * gibibyte})
		r.workers = append(r.workers, w)
		members = append(members, w.member("zurich-a", fmt.Sprintf("rack-%02d", i/8)))
	}
	r.view.Store(&roster.View{ListAsOf: time.Now(), Workers: members})
	m := &meter{Tables: r.tables}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return meteredConn{conn, m}, err
	}
	s, err := New(Options{
		CommonOptions: shared.CommonOptions{Name: "entry-1", Domain: "zurich-a", Policy: r.policy, Tables: m, Roster: r.view.Load},
		HTTP:          &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Start(t.Context())
	for range 24 {
		id := r.submit(s, jobSpec(caller.JobSpecKindService, benchTasks/domains/24, 1000, "run", "1h")).ID
		defer r.await(s, id, func(*caller.Job) bool { return true })
	}
	time.Sleep(5 * time.Second)
	const seconds, starts = 10, 130 / domains
	commits, reads, sent := m.commits.Load(), m.reads.Load(), m.bytes.Load()
	for range seconds {
		r.submit(s, jobSpec(caller.JobSpecKindBatch, starts, 100, "run", "500ms"))
		time.Sleep(time.Second)
	}
	perSecond := func(now, before int64) float64 { return float64(now-before) / seconds }
	row(t, "store writes a second at peak, all 5 domains", domains*perSecond(m.commits.Load(), commits), boundStoreWrites, "1/s", false)
	row(t, "store reads a second at peak, all 5 domains (holders)", domains*perSecond(m.reads.Load(), reads), boundStoreReads, "1/s", false)
	row(t, "control bytes a second at peak, a worker", perSecond(m.bytes.Load(), sent)/(560/domains)/1024, boundNodeBytes/1024, "KiB/s", false)
	row(t, "control bytes a second at peak, a domain's holder", perSecond(m.bytes.Load(), sent)/1024, boundNodeBytes/1024, "KiB/s", false)
}

// benchCancelWave cancels 10,000 waiting jobs at once.
func benchCancelWave(t *testing.T) {
	const jobs, callers = 10000, 256
	r := newRig(t, 1)
	m := &meter{Tables: r.tables}
	s, err := New(Options{CommonOptions: shared.CommonOptions{Name: "entry-1", Domain: "zurich-a", Policy: r.policy, Tables: m, Roster: r.view.Load}})
	if err != nil {
		t.Fatal(err)
	}
	s.Start(t.Context())
	for s.current() == nil {
		time.Sleep(time.Millisecond)
	}
	ids := make(chan string, jobs)
	for range jobs {
		ids <- r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 4000, "run", "1h")).ID
	}
	close(ids)
	commits, began := m.commits.Load(), time.Now()
	wave := &canceler{s: s, ids: ids}
	for range callers {
		wave.done.Add(1)
		go wave.run(t)
	}
	wave.done.Wait()
	took := time.Since(began).Seconds()
	row(t, "store writes a second in a wave of 10,000 cancellations", float64(m.commits.Load()-commits)/took, boundStoreWrites, "1/s", false)
	row(t, "durable cancellations a second in that wave", jobs/took, boundStoreWrites, "1/s", true)
}

// canceler cancels jobs from many callers.
type canceler struct {
	s    *Scheduler
	ids  chan string
	done sync.WaitGroup
}

func (c *canceler) run(t *testing.T) {
	defer c.done.Done()
	for id := range c.ids {
		if _, err := c.s.Cancel(t.Context(), "host", id); err != nil {
			t.Errorf("cancel %s: %v", id, err)
		}
	}
}
