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

// memoryStore is an in-memory store with a feed. Commits can fail or lose their answers.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[[2]string]store.Row
	log     []store.RowChange
	version int64
	changed chan struct{}
	// scans and watches count the calls by table.
	scans, watches map[string]int
	// newerAnswers makes each answer to a write give a later version than that of the rows, as if
	// another write had been executed before the answer was sent.
	newerAnswers bool
	// maxValue is the largest value that is accepted; zero means no limit.
	maxValue int
	// fault, if set, is called before each commit and returns how it fails.
	fault func(changes []store.Change) storeFault
	// late holds the commits that executeLate executes.
	late [][]store.Change
}

// storeFault is how a commit fails.
type storeFault int

const (
	noFault storeFault = iota
	storeDown
	answerLost
	writeLost
	writeRejected
	// writeLate means that the commit gets no answer and is executed by executeLate.
	writeLate
)

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[[2]string]store.Row), scans: make(map[string]int), watches: make(map[string]int), changed: make(chan struct{})}
}

func (m *memoryStore) setFault(fault func([]store.Change) storeFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

func (m *memoryStore) Close() {}

func (m *memoryStore) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	bundler := store.Batcher{Service: m, Limits: store.Limits{Entries: 100, Bytes: 1 << 20}}
	return bundler.Commit(ctx, group), nil
}

func (m *memoryStore) Apply(_ context.Context, changes []store.Change) (int64, error) {
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
	case writeRejected:
		return 0, store.ErrRejected
	case writeLate:
		m.late = append(m.late, changes)
		return 0, store.ErrOutcomeUnknown
	}
	for _, change := range changes {
		if put, ok := change.(store.Put); ok && m.maxValue > 0 && len(put.Value) > m.maxValue {
			return 0, store.ErrRejected
		}
	}
	version, err := m.apply(changes)
	if fault == answerLost {
		return 0, store.ErrOutcomeUnknown
	}
	return version, err
}

// executeLate executes the commits that were late, if their conditions still hold, and returns their
// number.
func (m *memoryStore) executeLate() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := m.late
	m.late = nil
	for _, changes := range late {
		_, _ = m.apply(changes)
	}
	return len(late)
}

func (m *memoryStore) apply(changes []store.Change) (int64, error) {
	conflict := &store.ConflictError{}
	for _, change := range changes {
		key, expected := changeTarget(change)
		if present := m.row(key); expected != nil && present.Version != *expected {
			conflict.Rows = append(conflict.Rows, present)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	m.version++
	for _, change := range changes {
		switch c := change.(type) {
		case store.Put:
			row := store.Row{Table: c.Table, Key: c.Key, Version: m.version, Value: slices.Clone(c.Value)}
			m.rows[[2]string{c.Table, c.Key}] = row
			m.log = append(m.log, store.RowChange{Row: row})
		case store.Delete:
			delete(m.rows, [2]string{c.Table, c.Key})
			m.log = append(m.log, store.RowChange{Row: store.Row{Table: c.Table, Key: c.Key, Version: m.version}, Removed: true})
		case store.Check:
		}
	}
	if m.newerAnswers {
		m.version += 2
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

func changeTarget(change store.Change) ([2]string, *int64) {
	switch c := change.(type) {
	case store.Put:
		return [2]string{c.Table, c.Key}, c.Expected
	case store.Delete:
		return [2]string{c.Table, c.Key}, c.Expected
	case store.Check:
		return [2]string{c.Table, c.Key}, &c.Expected
	default:
		return [2]string{}, nil
	}
}

func (m *memoryStore) row(key [2]string) store.Row {
	if row, ok := m.rows[key]; ok {
		return row
	}
	return store.Row{Table: key[0], Key: key[1]}
}

func (m *memoryStore) Read(_ context.Context, table, key string) (store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row([2]string{table, key}), nil
}

func (m *memoryStore) Scan(_ context.Context, table, prefix, _ string) (store.Page, error) {
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

func (m *memoryStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
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

// put writes a row without a condition, as an operator or a worker does.
func (m *memoryStore) put(t *testing.T, table, key, value string) {
	t.Helper()
	if _, err := m.Apply(t.Context(), []store.Change{store.Put{Table: table, Key: key, Value: []byte(value)}}); err != nil {
		t.Fatal(err)
	}
}

// putJob stores a job.
func (m *memoryStore) putJob(t *testing.T, job jobs.Job) {
	t.Helper()
	data, err := jobs.Encode(job)
	if err != nil {
		t.Fatal(err)
	}
	m.put(t, JobsTable, string(job.ID), string(data))
}

// fakeWorkers runs each task for a fixed time.
type fakeWorkers struct {
	mu           sync.Mutex
	startedAt    time.Time
	fence        int64
	running      map[string]engine.ActiveRun
	results      []engine.RunResult
	starts       map[jobs.TaskID]int
	lastSequence int64
	runTime      time.Duration
	// dropsFirstStart means that the first start command of each task gets no answer and has no
	// effect.
	dropsFirstStart bool
	attempts        map[jobs.TaskID]int
}

func newFakeWorkers(runTime time.Duration) *fakeWorkers {
	return &fakeWorkers{
		startedAt: time.Now().Truncate(time.Millisecond), runTime: runTime,
		running: make(map[string]engine.ActiveRun), starts: make(map[jobs.TaskID]int),
		attempts: make(map[jobs.TaskID]int),
	}
}

func (f *fakeWorkers) Start(ctx context.Context, command engine.Start) (engine.StartOutcome, error) {
	if f.dropStart(command.Task) {
		<-ctx.Done()
		return engine.StartUnknown, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if command.Fence < f.fence {
		return engine.StartFenced, errors.New("fenced")
	}
	f.starts[command.Task]++
	name := command.Task.String()
	f.running[name] = engine.ActiveRun{Task: command.Task, Run: command.Run}
	time.AfterFunc(f.runTime, func() { f.finish(name, jobs.EndDone) })
	return engine.StartAccepted, nil
}

// dropStart counts a start command and reports whether it is dropped.
func (f *fakeWorkers) dropStart(task jobs.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[task]++
	return f.dropsFirstStart && f.attempts[task] == 1
}

func (f *fakeWorkers) finish(name string, end jobs.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row, ok := f.running[name]; ok {
		delete(f.running, name)
		f.lastSequence++
		f.results = append(f.results, engine.RunResult{Sequence: f.lastSequence, Task: row.Task, Run: row.Run, End: end})
	}
}

func (f *fakeWorkers) Stop(_ context.Context, command engine.Stop) error {
	f.finish(command.Task.String(), jobs.EndStopped)
	return nil
}

func (f *fakeWorkers) Poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error) {
	store.Sleep(ctx, min(wait, 20*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if request.Fence < f.fence {
		return engine.Report{}, ErrSuperseded
	}
	f.fence = request.Fence
	f.results = slices.DeleteFunc(f.results, func(e engine.RunResult) bool { return e.Sequence <= request.AckedUpTo })
	report := engine.Report{Clock: time.Since(f.startedAt) + time.Second, StartedAt: f.startedAt, Results: slices.Clone(f.results)}
	for _, row := range f.running {
		report.Running = append(report.Running, row)
	}
	return report, nil
}

func (f *fakeWorkers) Advise(context.Context, jobs.StepID, []string) (Advice, error) {
	return Advice{}, ErrOverloaded
}

// testLogger writes to the test's log.
type testLogger struct{ t *testing.T }

func (l testLogger) Info(message string, keysAndValues ...any) {
	l.t.Log(append([]any{message}, keysAndValues...)...)
}
func (l testLogger) Warn(message string, keysAndValues ...any) { l.Info(message, keysAndValues...) }

// silentLogger discards the log lines of nodes that may outlive their test.
type silentLogger struct{}

func (silentLogger) Info(string, ...any) {}
func (silentLogger) Warn(string, ...any) {}

// testNode starts a node and returns it with a function that stops it.
func testNode(t *testing.T, name string, transport *memoryStore, workers *fakeWorkers) (node *Node, stop func()) {
	t.Helper()
	return testNodeOnTransport(t, name, transport, workers)
}

// testNodeOnTransport is testNode with a given transport to the store.
func testNodeOnTransport(t *testing.T, name string, transport store.Transport, workers *fakeWorkers) (node *Node, stop func()) {
	t.Helper()
	return testNodeWithOptions(t, name, transport, workers, workers, nil)
}

// testNodeWithOptions is testNodeOnTransport with changed options; change may be nil.
func testNodeWithOptions(t *testing.T, name string, transport store.Transport, workers Workers, adviser Adviser, change func(*Options)) (node *Node, stop func()) {
	t.Helper()
	client, err := store.New(store.Options{Transport: transport, CommitTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	opts := Options{
		Name: name, PeerAddress: freeAddress(t), Store: client, Workers: workers, Adviser: adviser,
		Directory: Directory{
			WorkerTable: "workers", DecodeWorker: testWorker, ConfigTable: "config", ConfigKey: "config", DecodeConfig: testConfig,
			Interval: 100 * time.Millisecond, Grace: 4 * time.Second,
		},
		Logger: silentLogger{}, MaxLease: 3 * time.Second, StopTime: 100 * time.Millisecond,
		MaxRowBytes: 65_536,
	}
	if change != nil {
		change(&opts)
	}
	node = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	run := &nodeRun{t: t, node: node, ctx: ctx, done: make(chan struct{})}
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
	t    *testing.T
	node *Node
	ctx  context.Context
	done chan struct{}
}

func (r *nodeRun) run() {
	defer close(r.done)
	if err := r.node.Run(r.ctx); err != nil {
		r.t.Errorf("node %s: %v", r.node.opts.Name, err)
	}
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

// testConfig decodes a version and returns a config with one queue.
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

// eventually waits for a condition. It fails the test only after a minute, which no correct run
// needs.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within a minute: %s", what)
}

func leads(n *Node) func() bool { return func() bool { return n.leader() != nil } }
