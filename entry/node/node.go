package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/member"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/conf"
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
	// noticeTime is how long a stopping VM goes on taking requests, so that the
	// balancer and the other VMs notice that it is leaving.
	noticeTime = time.Second
	// closeTime bounds the end of a stop, after requests in flight have ended.
	closeTime = 5 * time.Second
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
	oper     *oper.Operators
	health   *health

	stop     chan struct{}
	stopOnce sync.Once
}

// New builds a node. The peer socket is open when it returns.
func New(settings conf.Settings) (*Node, error) {
	n := &Node{
		settings: settings,
		policy:   &policy.ActiveVersion{},
		trace:    trace.NewLog(trace.Options{VM: settings.Name}),
		burn:     burn.NewRecorder(burn.Options{}),
		stop:     make(chan struct{}),
	}
	mux := peer.NewMux()
	if err := n.connect(mux); err != nil {
		return nil, err
	}
	if err := n.assemble(mux); err != nil {
		return nil, errors.Join(err, n.close(context.Background()))
	}
	n.health = &health{policy: n.policy, view: n.roster.View}
	return n, nil
}

// connect makes the links to the platform and to the other entry VMs.
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
	n.peers, err = peer.NewNode(peer.Options{Name: s.Name, Listen: s.PeersAddress, Keys: source, Mux: mux})
	if err != nil {
		n.tables.Close()
		return err
	}
	return nil
}

// assemble builds the parts that rest on the links.
func (n *Node) assemble(mux *peer.Mux) error {
	if err := n.buildRoster(); err != nil {
		return err
	}
	if err := n.buildScheduler(); err != nil {
		return err
	}
	if err := n.buildFront(); err != nil {
		return err
	}
	if err := n.buildOperators(); err != nil {
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
		return fmt.Errorf("client of the membership list: %w", err)
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

// parts is what the scheduler and both APIs share.
func (n *Node) parts() shared.Parts {
	return shared.Parts{
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
	n.sched, err = sched.New(sched.Options{Parts: n.parts()})
	return err
}

func (n *Node) buildFront() (err error) {
	n.front, err = front.New(front.Options{
		Parts:             n.parts(),
		NoteTargetLeaving: n.roster.MarkTargetLeaving,
		Burn:              n.burn,
		Jobs:              n.sched,
	})
	return err
}

func (n *Node) buildOperators() (err error) {
	n.oper, err = oper.New(oper.Options{
		Parts:          n.parts(),
		Burn:           n.burn,
		Roles:          n.sched.Roles,
		Drain:          n.Stop,
		OperatorTokens: n.settings.OperatorTokens,
	})
	return err
}

// commitsPerSecond is this VM's part of what the fleet may write.
func (n *Node) commitsPerSecond() float64 {
	if n.roster == nil {
		return store.FleetCommitsPerSecond
	}
	return store.FleetCommitsPerSecond / float64(max(1, len(n.roster.View().VMs)))
}

// longestWindow is zero while no policy is in force.
func (n *Node) longestWindow() time.Duration {
	version := n.policy.Current()
	if version == nil {
		return 0
	}
	return version.Document.LongestWindow()
}

func (n *Node) policyVersion() int64 {
	version := n.policy.Current()
	if version == nil {
		return 0
	}
	return version.Number
}

// leaseEpoch is zero unless this VM holds its domain's lease. The roster asks
// for it while the node is still being built, before there is a scheduler.
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

// Run serves until ctx ends or Stop is called, and shuts down gracefully. The
// error is nil if no request in flight was cut off.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return errors.Join(err, n.close(context.Background()))
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.start(work)
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go s.run(failed)
	}
	klog.InfoS("Entry VM started", "name", n.settings.Name, "domain", n.settings.Domain,
		"callers", n.settings.CallersAddress, "operators", n.settings.OperatorsAddress, "peers", n.peers.Addr())
	select {
	case err = <-failed:
		klog.ErrorS(err, "A listener failed; stopping")
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

// shutdown ends the node in an order that cuts off nothing: peers and balancer
// hear of it first, and what requests in flight need is closed last.
func (n *Node) shutdown(servers []*server, cancel context.CancelFunc) error {
	klog.InfoS("Stopping", "name", n.settings.Name)
	n.health.leaving.Store(true)
	n.roster.SetLeaving()
	time.Sleep(noticeTime)
	drained := n.drain()
	closing, cancelClose := context.WithTimeout(context.Background(), closeTime)
	defer cancelClose()
	if err := n.sched.Stop(closing); err != nil {
		klog.ErrorS(err, "Domain lease not handed over; it ends at its deadline")
	}
	if drained == nil {
		n.releaseSeat(closing)
	}
	for _, s := range servers {
		s.shutdown(closing)
	}
	cancel()
	if err := n.close(closing); err != nil {
		klog.V(1).ErrorS(err, "Links not closed in order")
	}
	klog.InfoS("Stopped", "name", n.settings.Name, "drained", drained == nil)
	klog.Flush()
	return drained
}

// releaseSeat may only be called once no request is in flight any more. Those
// whose answer was lost may still run at their targets for a while.
func (n *Node) releaseSeat(ctx context.Context) {
	if err := n.roster.ReleaseSeat(ctx, n.front.SlotsHeldUntil()); err != nil {
		klog.ErrorS(err, "Seat not released; the next start waits for it")
	}
}

// drain waits for the requests in flight.
func (n *Node) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := n.front.Drain(ctx); err != nil {
		return fmt.Errorf("drain of requests in flight: %w", err)
	}
	return nil
}

func (n *Node) close(ctx context.Context) error {
	n.tables.Close()
	return n.peers.Close(ctx)
}
