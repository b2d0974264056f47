package cell

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// memoryPlatform is a store with a feed, in memory, whose answers can be lost.
type memoryPlatform struct {
	mu      sync.Mutex
	rows    map[[2]string]store.Row
	log     []store.RowChange
	version int64
	changed chan struct{}
	// scans and watches count the scans of each table, and the calls to watch it.
	scans, watches map[string]int
	// fault, if set, is asked before each commit.
	fault func(changes []store.Change) storeFault
}

// storeFault is how a commit goes wrong.
type storeFault int

const (
	noFault storeFault = iota
	storeDown
	answerLost
	writeLost
)

func newMemoryPlatform() *memoryPlatform {
	return &memoryPlatform{rows: make(map[[2]string]store.Row), scans: make(map[string]int), watches: make(map[string]int), changed: make(chan struct{})}
}

func (m *memoryPlatform) setFault(fault func([]store.Change) storeFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

func (m *memoryPlatform) Close() {}

func (m *memoryPlatform) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	bundler := store.Batcher{Service: m, Limits: store.Limits{Entries: 100, Bytes: 1 << 20}}
	return bundler.Commit(ctx, group), nil
}

func (m *memoryPlatform) Apply(_ context.Context, changes []store.Change) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := noFault
	if m.fault != nil {
		fault = m.fault(changes)
	}
	switch fault {
	case storeDown:
		return 0, store.ErrUnavailable
	case writeLost:
		return 0, store.ErrOutcomeUnknown
	}
	version, err := m.apply(changes)
	if fault == answerLost {
		return 0, store.ErrOutcomeUnknown
	}
	return version, err
}

func (m *memoryPlatform) apply(changes []store.Change) (int64, error) {
	conflict := &store.ConflictError{}
	for _, change := range changes {
		key, expected := target(change)
		if present := m.row(key); expected != nil && present.Version != *expected {
			conflict.Rows = append(conflict.Rows, present)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	m.version++
	for _, change := range changes {
		if put, ok := change.(store.Put); ok {
			row := store.Row{Table: put.Table, Key: put.Key, Version: m.version, Value: slices.Clone(put.Value)}
			m.rows[[2]string{put.Table, put.Key}] = row
			m.log = append(m.log, store.RowChange{Row: row})
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

func target(change store.Change) ([2]string, *int64) {
	switch c := change.(type) {
	case store.Put:
		return [2]string{c.Table, c.Key}, c.Expected
	case store.Check:
		return [2]string{c.Table, c.Key}, &c.Expected
	default:
		return [2]string{}, nil
	}
}

func (m *memoryPlatform) row(key [2]string) store.Row {
	if row, ok := m.rows[key]; ok {
		return row
	}
	return store.Row{Table: key[0], Key: key[1]}
}

func (m *memoryPlatform) Read(_ context.Context, table, key string) (store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row([2]string{table, key}), nil
}

func (m *memoryPlatform) Scan(_ context.Context, table, prefix, _ string) (store.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scans[table]++
	page := store.Page{Version: m.version}
	for key, row := range m.rows {
		if key[0] == table && strings.HasPrefix(key[1], prefix) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

func (m *memoryPlatform) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.mu.Lock()
	m.watches[table]++
	m.mu.Unlock()
	for {
		m.mu.Lock()
		changes := store.Changes{Next: m.version}
		for _, change := range m.log {
			if change.Table == table && change.Version > after {
				changes.Rows = append(changes.Rows, change)
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if len(changes.Rows) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
}

// put writes a row as an operator or a worker would.
func (m *memoryPlatform) put(t *testing.T, table, key, value string) {
	t.Helper()
	if _, err := m.Apply(t.Context(), []store.Change{store.Put{Table: table, Key: key, Value: []byte(value)}}); err != nil {
		t.Fatal(err)
	}
}

// fakeWorkers run each task for a moment.
type fakeWorkers struct {
	mu      sync.Mutex
	born    time.Time
	fence   int64
	running map[string]engine.ActiveRun
	ended   []engine.RunResult
	starts  map[jobs.TaskID]int
	last    int64
	takes   time.Duration
	// losesFirst says that the first order of each start gets no answer and does nothing.
	losesFirst bool
	tried      map[jobs.TaskID]int
}

func newFakeWorkers(takes time.Duration) *fakeWorkers {
	return &fakeWorkers{
		born: time.Now().Truncate(time.Millisecond), takes: takes,
		running: make(map[string]engine.ActiveRun), starts: make(map[jobs.TaskID]int),
		tried: make(map[jobs.TaskID]int),
	}
}

func (f *fakeWorkers) Start(ctx context.Context, order engine.Start) (engine.StartOutcome, error) {
	if f.lose(order.Task) {
		<-ctx.Done()
		return engine.StartUnknown, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if order.Fence < f.fence {
		return engine.StartFenced, errors.New("fenced")
	}
	f.starts[order.Task]++
	name := order.Task.String()
	f.running[name] = engine.ActiveRun{Task: order.Task, Run: order.Run}
	time.AfterFunc(f.takes, func() { f.end(name, jobs.EndDone) })
	return engine.StartAccepted, nil
}

// lose counts an order and reports whether it is lost.
func (f *fakeWorkers) lose(task jobs.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tried[task]++
	return f.losesFirst && f.tried[task] == 1
}

func (f *fakeWorkers) end(name string, how jobs.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row, ok := f.running[name]; ok {
		delete(f.running, name)
		f.last++
		f.ended = append(f.ended, engine.RunResult{Sequence: f.last, Task: row.Task, Run: row.Run, End: how})
	}
}

func (f *fakeWorkers) Stop(_ context.Context, order engine.Stop) error {
	f.end(order.Task.String(), jobs.EndStopped)
	return nil
}

func (f *fakeWorkers) Poll(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error) {
	store.Sleep(ctx, min(wait, 20*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if order.Fence < f.fence {
		return engine.Report{}, ErrSuperseded
	}
	f.fence = order.Fence
	f.ended = slices.DeleteFunc(f.ended, func(e engine.RunResult) bool { return e.Sequence <= order.AckedUpTo })
	report := engine.Report{Clock: time.Since(f.born) + time.Second, StartedAt: f.born, Results: slices.Clone(f.ended)}
	for _, row := range f.running {
		report.Running = append(report.Running, row)
	}
	return report, nil
}

func (f *fakeWorkers) Advise(context.Context, jobs.StepID, []string) (Advice, error) {
	return Advice{}, ErrOverloaded
}

// testLogger hands lines to the test.
type testLogger struct{ t *testing.T }

func (l testLogger) Info(message string, keysAndValues ...any) {
	l.t.Log(append([]any{message}, keysAndValues...)...)
}
func (l testLogger) Warn(message string, keysAndValues ...any) { l.Info(message, keysAndValues...) }

// silentLogger drops lines of nodes that may outlive their test.
type silentLogger struct{}

func (silentLogger) Info(string, ...any) {}
func (silentLogger) Warn(string, ...any) {}

// testNode starts a node and returns it with a function that stops it.
func testNode(t *testing.T, name string, platform *memoryPlatform, workers *fakeWorkers) (node *Node, stop func()) {
	t.Helper()
	return testNodeOn(t, name, platform, workers)
}

// testNodeOn is testNode with a way of its own to the platform.
func testNodeOn(t *testing.T, name string, platform store.Transport, workers *fakeWorkers) (node *Node, stop func()) {
	t.Helper()
	return testNodeWith(t, name, platform, workers, workers, nil)
}

// testNodeWith is testNodeOn with options of its own; change may be nil.
func testNodeWith(t *testing.T, name string, platform store.Transport, workers Workers, adviser Adviser, change func(*Options)) (node *Node, stop func()) {
	t.Helper()
	client, err := store.New(store.Options{Transport: platform, CommitTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	opts := Options{
		Name: name, PeerAddress: freeAddress(t), Store: client, Workers: workers, Adviser: adviser,
		Directory: Directory{
			WorkerTable: "workers", Worker: testWorker, ConfigTable: "config", ConfigKey: "config", Config: testConfig,
		},
		Logger: silentLogger{}, MaxLease: 3 * time.Second, StopTime: 100 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	node = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	run := &nodeRun{node: node, ctx: ctx, done: make(chan struct{})}
	go run.run()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			<-run.done
			client.Close()
		})
	}
	t.Cleanup(stop)
	return node, stop
}

type nodeRun struct {
	node *Node
	ctx  context.Context
	done chan struct{}
}

func (r *nodeRun) run() {
	defer close(r.done)
	_ = r.node.Run(r.ctx)
}

func testWorker(row store.Row) (engine.Worker, error) {
	if string(row.Value) != "ready" {
		return engine.Worker{}, errors.New("not a worker")
	}
	return engine.Worker{
		ID: row.Key, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Capacity: roster.Resources{Millicores: 4000, MemoryBytes: 4 << 30},
	}, nil
}

// testConfig reads a version and makes a config of one queue.
func testConfig(row store.Row) (*jobs.Config, error) {
	if len(row.Value) != 1 {
		return nil, errors.New("not a config")
	}
	return &jobs.Config{Version: int64(row.Value[0] - '0'), Queues: []jobs.Queue{testQueue}}, nil
}

var testQueue = jobs.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second}

func testJob(id jobs.ID) jobs.Job {
	return jobs.Job{
		ID: id, Queue: testQueue, Spec: jobs.NewSpec("spec"), ArrivedAt: time.Now(),
		Steps: []jobs.Step{{Count: 2, PerTask: roster.Resources{Millicores: 500}, Estimate: 50 * time.Millisecond, DisruptionBudget: -1}},
	}
}

// eventually waits for a condition, and fails the test only after a time that no
// sound run comes near.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("did not come about: %s", what)
}

func leads(n *Node) func() bool { return func() bool { return n.leader() != nil } }
