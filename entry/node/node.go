package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/member"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/conf"
	"tanagerstack.org/core/guard"
	"tanagerstack.org/core/keys"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/core/trace"
	"tanagerstack.org/entry/front"
	"tanagerstack.org/entry/oper"
	"tanagerstack.org/entry/sched"
	"tanagerstack.org/entry/shared"
)

const (
	membersTimeout = 5 * time.Second
	// leaveNoticePeriod is how long a stopping VM still accepts requests, so that the load
	// balancer and the other VMs learn that it is leaving.
	leaveNoticePeriod = time.Second
	// closeTimeout limits the shutdown steps that follow the drain of the requests in flight.
	closeTimeout = 5 * time.Second
)

// Node is the daemon of one entry VM.
type Node struct {
	settings conf.Settings
	policy   *policy.ActiveVersion
	trace    *trace.Log
	burn     *burn.Recorder
	tables   *store.Client
	peers    *peer.Node
	roster   *roster.Tracker
	front    *front.Front
	sched    *sched.Scheduler
	oper     *oper.Service
	health   *health
	guard    *guard.Guard
	// stopGuard ends the loop of guard.
	stopGuard context.CancelFunc

	stop     chan struct{}
	stopOnce sync.Once
}

// New returns a Node with an open peer socket. Run opens the HTTP listeners.
func New(settings conf.Settings) (*Node, error) {
	n := &Node{
		settings: settings,
		policy:   &policy.ActiveVersion{},
		trace:    trace.NewLog(trace.Options{VM: settings.Name}),
		burn:     burn.NewRecorder(burn.Options{}),
		stop:     make(chan struct{}),
	}
	n.startGuard()
	mux := peer.NewMux()
	if err := n.connect(mux); err != nil {
		n.stopGuard()
		return nil, err
	}
	if err := n.buildServices(mux); err != nil {
		return nil, errors.Join(err, n.close(context.Background()))
	}
	n.health = &health{policy: n.policy, view: n.roster.View}
	return n, nil
}

// startGuard sets the limits on clients, and the memory limit of the Go runtime unless the
// environment sets one.
func (n *Node) startGuard() {
	limits := guard.Limits{MemoryBytes: int64(n.settings.MemoryMB) * 1e6, Descriptors: n.settings.MaxFDs}.WithDefaults()
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(guard.GoMemoryShare * float64(limits.MemoryBytes)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopGuard = cancel
	n.guard = guard.New(ctx, guard.Options{Limits: limits, Log: klog.InfoS})
}

// connect creates the table service client and the peer node, which opens the peer socket.
func (n *Node) connect(mux *peer.Mux) error {
	s := n.settings
	source, err := keys.NewSource(keys.Files{CA: s.CAFile, Cert: s.CertFile, Key: s.KeyFile})
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	n.tables, err = store.New(store.Options{Address: s.TablesAddress, CommitsPerSecond: n.commitsPerSecond})
	if err != nil {
		return err
	}
	n.peers, err = peer.NewNode(peer.Options{Name: s.Name, Listen: s.PeersAddress, Keys: source, Mux: mux, Port: n.guard.Port(guard.Peers, guard.Refusal{})})
	if err != nil {
		n.tables.Close()
		return err
	}
	return nil
}

// buildServices builds the services that use the connections, and registers their message handlers.
func (n *Node) buildServices(mux *peer.Mux) error {
	if err := n.buildRoster(); err != nil {
		return err
	}
	if err := n.buildScheduler(); err != nil {
		return err
	}
	if err := n.buildFront(); err != nil {
		return err
	}
	if err := n.buildOperatorService(); err != nil {
		return err
	}
	n.roster.Register(mux)
	n.sched.Register(mux)
	n.front.Register(mux)
	n.oper.Register(mux)
	return nil
}

func (n *Node) buildRoster() error {
	s := n.settings
	members, err := member.NewClient("http://"+s.MembersAddress.String(), member.WithClient(&http.Client{Timeout: membersTimeout}))
	if err != nil {
		return fmt.Errorf("membership list client: %w", err)
	}
	n.roster, err = roster.NewTracker(roster.Options{
		Name:           s.Name,
		Domain:         s.Domain,
		Region:         s.Region,
		CallersAddress: s.CallersAddress,
		PeerAddress:    s.PeersAddress,
		Members:        members,
		Seeds:          s.Seeds,
		Peers:          n.peers,
		Tables:         n.tables,
		SeatsPerDomain: s.SeatsPerDomain,
		ClockSkew:      s.ClockSkew,
		MaxWindow:      n.longestWindow,
		PolicyVersion:  n.policyVersion,
		LeaseEpoch:     n.leaseEpoch,
	})
	return err
}

// sharedOptions returns the options that the scheduler and both APIs have in common.
func (n *Node) sharedOptions() shared.CommonOptions {
	return shared.CommonOptions{
		Name:      n.settings.Name,
		Domain:    n.settings.Domain,
		Region:    n.settings.Region,
		Policy:    n.policy,
		Roster:    n.roster.View,
		Peers:     n.peers,
		Tables:    n.tables,
		Trace:     n.trace,
		ClockSkew: n.settings.ClockSkew,
	}
}

func (n *Node) buildScheduler() (err error) {
	n.sched, err = sched.New(sched.Options{CommonOptions: n.sharedOptions()})
	return err
}

func (n *Node) buildFront() (err error) {
	n.front, err = front.New(front.Options{
		CommonOptions:     n.sharedOptions(),
		MarkTargetLeaving: n.roster.MarkTargetLeaving,
		Burn:              n.burn,
		Jobs:              n.sched,
	})
	return err
}

func (n *Node) buildOperatorService() (err error) {
	n.oper, err = oper.New(oper.Options{
		CommonOptions:  n.sharedOptions(),
		Burn:           n.burn,
		Roles:          n.sched.Roles,
		Drain:          n.Stop,
		OperatorTokens: n.settings.OperatorTokens,
	})
	return err
}

// commitsPerSecond returns this VM's share of the fleet's commit rate. It returns the whole rate
// until the roster is built.
func (n *Node) commitsPerSecond() float64 {
	if n.roster == nil {
		return store.FleetCommitsPerSecond
	}
	return store.FleetCommitsPerSecond / float64(max(1, len(n.roster.View().VMs)))
}

// longestWindow returns the longest window of the policy in force, or 0 if none is.
func (n *Node) longestWindow() time.Duration {
	version := n.policy.Current()
	if version == nil {
		return 0
	}
	return version.Document.LongestWindow()
}

// policyVersion returns the number of the policy version in force, or 0 if none is.
func (n *Node) policyVersion() int64 {
	version := n.policy.Current()
	if version == nil {
		return 0
	}
	return version.Number
}

// leaseEpoch returns the epoch of the domain lease that this VM holds, or 0 if it holds none. The
// roster calls it while the node is still being built, before the scheduler exists.
func (n *Node) leaseEpoch() int64 {
	if n.sched == nil {
		return 0
	}
	grant, holds := n.sched.Lease().Current(time.Now())
	if !holds {
		return 0
	}
	return grant.Epoch
}

// Stop begins a graceful shutdown and returns at once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
}

// Run serves until ctx is done, Stop is called or a listener fails, then shuts down gracefully. It
// returns an error if a listener cannot be opened or fails, or if requests are still in flight at
// the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return errors.Join(err, n.close(context.Background()))
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.start(runCtx)
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go s.run(failed)
	}
	klog.InfoS("entry VM started", "name", n.settings.Name, "domain", n.settings.Domain,
		"callers", n.settings.CallersAddress, "operators", n.settings.OperatorsAddress, "peers", n.peers.Addr())
	select {
	case err = <-failed:
		klog.ErrorS(err, "listener failed; stopping")
	case <-n.stop:
	case <-ctx.Done():
	}
	return errors.Join(err, n.shutdown(servers, cancel))
}

func (n *Node) start(ctx context.Context) {
	n.roster.Start(ctx)
	n.oper.Start(ctx)
	n.sched.Start(ctx)
	n.front.Start(ctx)
}

// shutdown stops the node in an order that interrupts no request: it first notifies the peers and
// the load balancer, and closes last what the requests in flight need.
func (n *Node) shutdown(servers []*server, cancel context.CancelFunc) error {
	klog.InfoS("entry VM stopping", "name", n.settings.Name)
	n.health.leaving.Store(true)
	n.roster.SetLeaving()
	time.Sleep(leaveNoticePeriod)
	drainErr := n.drain()
	closeCtx, cancelCloseCtx := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelCloseCtx()
	if err := n.sched.Stop(closeCtx); err != nil {
		klog.ErrorS(err, "domain lease not handed over; it expires at its deadline")
	}
	if drainErr == nil {
		n.releaseSeat(closeCtx)
	}
	for _, s := range servers {
		s.shutdown(closeCtx)
	}
	cancel()
	if err := n.close(closeCtx); err != nil {
		klog.V(1).ErrorS(err, "peer connections not closed cleanly")
	}
	klog.InfoS("entry VM stopped", "name", n.settings.Name, "drained", drainErr == nil)
	klog.Flush()
	return drainErr
}

// releaseSeat releases the seat with the time until which this VM's requests may occupy target
// slots: a request whose response was lost may still run at its target. It must be called only when
// no request is in flight.
func (n *Node) releaseSeat(ctx context.Context) {
	if err := n.roster.ReleaseSeat(ctx, n.front.LostRequestsUntil()); err != nil {
		klog.ErrorS(err, "seat not released; the next instance of this VM has to wait until it may use the seat")
	}
}

// drain refuses new requests and waits for those in flight, at most for the drain timeout.
func (n *Node) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := n.front.Drain(ctx); err != nil {
		return fmt.Errorf("draining requests in flight: %w", err)
	}
	return nil
}

func (n *Node) close(ctx context.Context) error {
	n.stopGuard()
	n.tables.Close()
	return n.peers.Close(ctx)
}
