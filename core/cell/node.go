package cell

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/guard"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
	"tanagerstack.org/core/store"
)

// JobsTable is the table of jobs. It has one or two rows for each job, written by all VMs; the
// other tables are written by the leader.
const JobsTable = "jobs"

// LeaderTable and LeaderKey identify the leader row, which is renewed all the time and must not
// wait for other rows.
const (
	LeaderTable = "leader"
	LeaderKey   = "cell"
)

// The table of progress, the key of the epoch row, and the suffix of the keys of cancellations.
const (
	progressTable = "progress"
	epochKey      = "epoch"
	cancelSuffix  = "/cancel"
)

// configWatchWait bounds a watch of the configuration. A connection that has gone silent is
// noticed after that time, and a change must be in force within four seconds (the brief).
const configWatchWait = 2 * time.Second

// Options configure a Node. All fields are required but Meter, Dial, Processors, MemoryBytes and RevokeWithin.
type Options struct {
	// Name is the name of this VM, PeerAddress the address on which it serves other VMs.
	Name        string
	PeerAddress netip.AddrPort
	// Zone is the failure domain of this VM.
	Zone      string
	Store     *store.Client
	Workers   Workers
	Adviser   Adviser
	Directory Directory
	Logger    Logger
	// Meter counts the bytes exchanged with other VMs; it may be nil.
	Meter *meter.Meter
	// Guard bounds what other VMs can make this one hold; nil sets no limits.
	Guard *guard.Guard
	// Dial opens connections to other VMs; nil means net.Dialer.DialContext.
	Dial meter.Dialer
	// MaxLease is the longest lease that workers grant, StopTime the longest time they take to
	// stop a run.
	MaxLease time.Duration
	StopTime time.Duration
	// MaxRowBytes is the largest value of a row that the store accepts; zero means no limit.
	MaxRowBytes int
	// Processors and MemoryBytes are what this VM has. A VM that has little leaves the
	// leadership to others; zero counts as enough.
	Processors  float64
	MemoryBytes int64
	// RevokeWithin is the time after which a key that a configuration removed no longer works on any
	// VM, also on one that is cut off. Zero means that revocation is not strict.
	RevokeWithin time.Duration
	// Admission selects whether jobs are refused for the load.
	Admission Admission
	// Durations selects what predictions of durations rest on; the zero value means the callers'
	// estimates.
	Durations engine.Durations
	// Health selects how unreliable workers are told from others; the zero value means
	// engine.HealthBasic.
	Health engine.Health
}

// Node is one VM of a cell. It is safe for concurrent use.
type Node struct {
	opts     Options
	instance string
	config   atomic.Pointer[jobs.Config]
	elector  *elector
	peers    *peerClient
	metrics  *metrics
	// keyRefusals bounds the log lines about requests that were refused for their key.
	keyRefusals *logLimit
	// configMu makes changes of config take turns.
	configMu sync.Mutex
	proof    configProof
	// configReads triggers a read of the configuration.
	configReads chan struct{}
	// answerComplete is set if the last answer about the configuration had all changes. Only the
	// watcher of the configuration uses it.
	answerComplete bool

	mu      sync.Mutex
	leading *leader
	// pending is the number of pending jobs by queue as last reported by the leader.
	pending   map[string]int
	pendingAt time.Time
	admission admission
	stopping  atomic.Bool
	// withdrawalLimit bounds the tombstones that this VM writes.
	withdrawalLimit *rate.Limiter
}

// New returns a node that is idle until Run is called.
func New(opts Options) *Node {
	n := &Node{opts: opts, instance: rand.Text(), configReads: make(chan struct{}, 1), withdrawalLimit: newWithdrawalLimiter()}
	if n.opts.Dial == nil {
		n.opts.Dial = (&net.Dialer{}).DialContext
	}
	n.peers = newPeerClient(&n.opts)
	n.metrics = newMetrics(n)
	n.keyRefusals = newLogLimit(maxRefusalLines, maxRefusalLines)
	n.elector = newElector(n)
	opts.Store.SetProxy(&storeProxy{node: n}, LeaderTable, LeaderKey)
	return n
}

// Run serves as a VM of the cell until ctx ends, and then hands over the leadership if this VM
// has it.
func (n *Node) Run(ctx context.Context) error {
	server, err := newPeerServer(n)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){server.run, n.runConfig, n.runConfigReads, n.elector.run, n.runHello} {
		loops.Add(1)
		go (&task{call: loop, done: &loops}).run(ctx)
	}
	<-ctx.Done()
	n.HandOver()
	server.close()
	loops.Wait()
	return nil
}

// task is a call that runs in a goroutine of its own until its context ends.
type task struct {
	call func(context.Context)
	done *sync.WaitGroup
}

func (t *task) run(ctx context.Context) {
	defer t.done.Done()
	t.call(ctx)
}

// HandOver hands over the leadership, if this VM has it, and never acquires it again. The node
// continues to serve callers.
func (n *Node) HandOver() {
	n.stopping.Store(true)
	n.elector.release()
}

// Config returns the configuration in force, or nil before the first was read.
func (n *Node) Config() *jobs.Config { return n.config.Load() }

// Ready reports whether the node can accept jobs.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Config() != nil && n.opts.Store.Reachable() && !n.ConfigView().Unproved()
}

// runConfig follows the configuration until ctx ends.
func (n *Node) runConfig(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:       configFeed{n},
		Table:      n.opts.Directory.ConfigTable,
		Wait:       configWatchWait,
		OnSnapshot: n.configSnapshot,
		OnChanges:  n.configChanges,
		OnCaughtUp: n.configCaughtUp,
		AwaitNext:  n.awaitConfigWatch,
		OnError:    n.watchErrorLogger("config"),
	}
	watcher.Run(ctx)
}

// configSnapshot processes all rows of the table of the configuration.
func (n *Node) configSnapshot(rows []store.Row) {
	n.answerComplete = false
	for _, row := range rows {
		if row.Key == n.opts.Directory.ConfigKey {
			n.configRow(row, true)
			n.answerComplete = true
		}
	}
}

// configChanges processes the changes in the answer to a watch.
func (n *Node) configChanges(changes []store.RowChange) {
	size := 0
	for _, change := range changes {
		size += len(change.Value)
		if !change.Removed && change.Key == n.opts.Directory.ConfigKey {
			n.configRow(change.Row, true)
		}
	}
	n.answerComplete = size < maxProvingBytes
}

// configRow puts a newer configuration in force. Older versions are ignored. A row that cannot be
// decoded is logged if it is a new one or logAgain is set.
func (n *Node) configRow(row store.Row, logAgain bool) {
	config, err := n.opts.Directory.DecodeConfig(row)
	if err == nil {
		n.applyConfig(config)
	}
	if isNew := n.proof.noteRow(row.Version, err == nil); err != nil && (isNew || logAgain) {
		n.noteUnreadableRow("config", row, err)
	}
}

func (n *Node) applyConfig(config *jobs.Config) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	before := n.config.Load()
	if before != nil && config.Version <= before.Version {
		return
	}
	n.config.Store(config)
	n.noteUnreadable("queue", n.opts.Directory.ConfigKey, config.SkippedQueues, nil)
	n.noteUnreadable("organization", n.opts.Directory.ConfigKey, config.SkippedOrganizations, config.OrganizationFaults)
	n.opts.Logger.Info("config in force", "version", config.Version, "queues", len(config.Queues))
	if l := n.leader(); l != nil {
		l.configChanged(config)
	}
}

// watchErrorLogger returns a function that logs a failed watch of a table.
func (n *Node) watchErrorLogger(table string) func(error) {
	return func(err error) { n.opts.Logger.Warn("watch failed", "table", table, "error", err) }
}

// leader returns this VM's leadership, or nil.
func (n *Node) leader() *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

func (n *Node) setLeader(l *leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
}
