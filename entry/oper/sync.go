package oper

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
)

// exchangeTimeout limits one exchange with another VM. A VM that does not answer is tried again at
// the next policy change or after about one second.
const exchangeTimeout = time.Second

// exchangeRequest tells a VM the sender's policy version and requests a newer one.
type exchangeRequest struct {
	// Number is the number of the version in force at the sender; 0 if none is.
	Number int64 `cbor:"1,keyasint"`
	// Row is the encoded row of that version. It is set only if the sender knows that the receiver
	// has an older version.
	Row []byte `cbor:"2,keyasint,omitempty"`
}

// Kind returns the message kind.
func (exchangeRequest) Kind() string { return "policy-exchange" }

// exchangeResponse answers an exchangeRequest.
type exchangeResponse struct {
	// Number is the number of the version in force at the receiver after it has processed the
	// request's row; 0 if none is.
	Number int64 `cbor:"1,keyasint"`
	// Row is the encoded row of the receiver's version if that is newer than the sender's.
	Row []byte `cbor:"2,keyasint,omitempty"`
}

// syncer exchanges policy versions with the other VMs until the newest one is in force on all of
// them. It runs at most one exchange with each VM at a time, so that many changes in quick
// succession need few messages. A VM that does not answer does not delay the exchanges with others.
type syncer struct {
	opts Options

	mu      sync.Mutex
	ctx     context.Context
	running map[string]*peerSync
}

func newSyncer(opts Options) *syncer {
	return &syncer{opts: opts, running: make(map[string]*peerSync)}
}

// start allows exchanges until ctx is done. Before start, none begin.
func (s *syncer) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// activate puts v in force if it is newer than the present version. If so, it starts an exchange
// with all other VMs.
func (s *syncer) activate(v *policy.Version) {
	if !s.opts.Policy.SetIfNewer(v) {
		return
	}
	klog.InfoS("policy version in force", "vm", s.opts.Name, "version", v.Number, "author", v.Author)
	for _, vm := range s.opts.peers() {
		s.syncWith(vm)
	}
}

// syncDiffering starts exchanges with the live VMs whose heartbeats name a different version, and
// with a random one of the VMs that are not live and last named a different version. It sends
// nothing when all VMs have the same version.
func (s *syncer) syncDiffering() {
	active := activeNumber(s.opts.Policy)
	var notLive []roster.VM
	for _, vm := range s.opts.peers() {
		switch {
		case vm.PolicyVersion == active:
		case vm.State == roster.Live:
			s.syncWith(vm)
		default:
			notLive = append(notLive, vm)
		}
	}
	if len(notLive) > 0 {
		s.syncWith(notLive[rand.Intn(len(notLive))])
	}
}

// syncWith starts an exchange with vm. If one is running already, it is followed by another, which
// sends the newest version. Without a peer node, and unless the syncer is started, it does nothing.
func (s *syncer) syncWith(vm roster.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil || s.opts.Peers == nil {
		return
	}
	if c, running := s.running[vm.Name]; running {
		c.rerun = true
		return
	}
	c := &peerSync{syncer: s, to: peer.Address{Name: vm.Name, Addr: vm.PeerAddress}}
	s.running[vm.Name] = c
	go c.run(s.ctx)
}

// handle answers an exchange that another VM started.
func (s *syncer) handle(_ context.Context, from peer.Identity, request exchangeRequest) (exchangeResponse, error) {
	s.activateRow(request.Row, from.Name)
	response := exchangeResponse{Number: activeNumber(s.opts.Policy)}
	if response.Number > request.Number {
		response.Row = s.activeRow()
	}
	return response, nil
}

// activateRow decodes the version that another VM sent and puts it in force if it is newer than the
// present one. It ignores an empty row.
func (s *syncer) activateRow(row []byte, from string) {
	if len(row) == 0 {
		return
	}
	v, err := policy.DecodeRow(row)
	if err != nil {
		klog.ErrorS(err, "cannot decode the policy version of a peer", "vm", s.opts.Name, "peer", from)
		return
	}
	s.activate(v)
}

// activeRow returns the encoded row of the version in force, or nil if there is none or it cannot be
// encoded.
func (s *syncer) activeRow() []byte {
	v := s.opts.Policy.Current()
	if v == nil {
		return nil
	}
	row, err := policy.EncodeRow(v)
	if err != nil {
		klog.ErrorS(err, "cannot encode the policy version in force", "vm", s.opts.Name)
	}
	return row
}

// peerSync runs the exchanges with one VM until no further one is requested.
type peerSync struct {
	syncer *syncer
	to     peer.Address
	// rerun requests one more exchange. It is guarded by syncer.mu.
	rerun bool
}

func (c *peerSync) run(ctx context.Context) {
	for {
		c.exchange(ctx)
		if c.finish() {
			return
		}
	}
}

// finish reports whether no further exchange is requested. If so, it removes c from the running
// exchanges.
func (c *peerSync) finish() bool {
	c.syncer.mu.Lock()
	defer c.syncer.mu.Unlock()
	if c.rerun {
		c.rerun = false
		return false
	}
	delete(c.syncer.running, c.to.Name)
	return true
}

// exchange sends the number of the version in force to the VM. If the VM's version is newer, the
// response contains it and it is put in force here. If it is older, a second message sends the row.
func (c *peerSync) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := exchangeRequest{Number: activeNumber(c.syncer.opts.Policy)}
	response, err := c.call(ctx, request)
	if err != nil {
		return
	}
	if response.Number < activeNumber(c.syncer.opts.Policy) {
		request = exchangeRequest{Number: activeNumber(c.syncer.opts.Policy), Row: c.syncer.activeRow()}
		// If this message is lost, the next exchange sends the row again.
		_, _ = c.call(ctx, request)
	}
}

// call sends request to the VM and puts the version in its response in force if it is newer.
func (c *peerSync) call(ctx context.Context, request exchangeRequest) (exchangeResponse, error) {
	response, err := peer.Call[exchangeResponse](ctx, c.syncer.opts.Peers, c.to, request)
	if err != nil {
		klog.V(3).InfoS("policy exchange failed", "vm", c.syncer.opts.Name, "peer", c.to.Name, "err", err)
		return exchangeResponse{}, err
	}
	c.syncer.activateRow(response.Row, c.to.Name)
	return response, nil
}
