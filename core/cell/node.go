package cell

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
	"tanagerstack.org/core/store"
)

// JobsTable is the table of jobs. It has a row or two for each job, written by
// all VMs; the other tables are written by the leader.
const JobsTable = "jobs"

// LeaderTable and LeaderKey name the row of the leader, which is renewed all the
// time and must not wait for other rows.
const (
	LeaderTable = "leader"
	LeaderKey   = "cell"
)

// The other table of a cell, and keys.
const (
	progressTable = "progress"
	epochKey      = "epoch"
	cancelSuffix  = "/cancel"
)

// configWait bounds a watch of the configuration. A connection that goes silent is
// noticed after it, and a change must be in force within four seconds (the brief).
const configWait = 2 * time.Second

// Options configure a Node. All fields are needed but those with a default and Meter.
type Options struct {
	// Name is the name of this VM, Peers the address where other VMs reach it.
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
	// MaxLease is the longest lease that workers grant, StopTime the longest that
	// they take to stop a run.
	MaxLease time.Duration
	StopTime time.Duration
	// Processors and MemoryBytes are what this VM has. VMs that have little leave
	// the leadership to others; zero counts as enough.
	Processors  float64
	MemoryBytes int64
}

// Node is one VM of a cell. It is safe for concurrent use.
type Node struct {
	opts     Options
	instance string
	config   atomic.Pointer[jobs.Config]
	elector  *elector
	peers    *peerClient
	metrics  *metrics

	mu      sync.Mutex
	leading *leader
	// pending is what the leader last told of its queues.
	pending   map[string]int
	pendingAt time.Time
	stopping  atomic.Bool
}

// New returns a node that does nothing before Run.
func New(opts Options) *Node {
	n := &Node{opts: opts, instance: rand.Text()}
	n.peers = newPeerClient(opts.Meter)
	n.metrics = newMetrics(n)
	n.elector = newElector(n)
	opts.Store.SetProxy(&detour{node: n}, LeaderTable, LeaderKey)
	return n
}

// Run takes part in the cell until ctx ends, and then hands its leadership over.
func (n *Node) Run(ctx context.Context) error {
	server, err := newPeerServer(n)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){server.run, n.runConfig, n.elector.run, n.runHello} {
		loops.Add(1)
		go (&task{call: loop, done: &loops}).run(ctx)
	}
	<-ctx.Done()
	n.HandOver()
	server.close()
	loops.Wait()
	return nil
}

// task is a call that runs beside others until its context ends.
type task struct {
	call func(context.Context)
	done *sync.WaitGroup
}

func (t *task) run(ctx context.Context) {
	defer t.done.Done()
	t.call(ctx)
}

// HandOver gives the leadership up, if this VM has it, and takes it no more. The
// node goes on serving callers.
func (n *Node) HandOver() {
	n.stopping.Store(true)
	n.elector.release()
}

// Config returns the configuration in force, or nil before the first.
func (n *Node) Config() *jobs.Config { return n.config.Load() }

// Ready reports whether the node can take jobs.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Config() != nil && n.opts.Store.Reachable()
}

// runConfig follows the configuration.
func (n *Node) runConfig(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:       n.opts.Store,
		Table:      n.opts.Directory.ConfigTable,
		Wait:       configWait,
		OnSnapshot: n.configRows,
		OnChanges:  n.configChanges,
		OnError:    n.watchFailed("config"),
	}
	watcher.Run(ctx)
}

func (n *Node) configChanges(changes []store.RowChange) {
	for _, change := range changes {
		if !change.Removed {
			n.configRows([]store.Row{change.Row})
		}
	}
}

// configRows puts a newer configuration in force. Versions never go back.
func (n *Node) configRows(rows []store.Row) {
	for _, row := range rows {
		if row.Key != n.opts.Directory.ConfigKey {
			continue
		}
		config, err := n.opts.Directory.Config(row)
		if err != nil {
			n.opts.Logger.Warn("config cannot be read", "row-version", row.Version, "error", err)
			continue
		}
		n.adoptConfig(config)
	}
}

func (n *Node) adoptConfig(config *jobs.Config) {
	before := n.config.Load()
	if before != nil && config.Version <= before.Version {
		return
	}
	n.config.Store(config)
	n.opts.Logger.Info("config in force", "version", config.Version, "queues", len(config.Queues))
	if l := n.leader(); l != nil {
		l.configChanged(config)
	}
}

// watchFailed returns a function that logs a failed watch.
func (n *Node) watchFailed(what string) func(error) {
	return func(err error) { n.opts.Logger.Warn("watch failed", "table", what, "error", err) }
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
