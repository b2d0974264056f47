package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"tanagerstack.org/core/store"
)

// The store may reject single VMs, or be unreachable from them, while callers keep their
// connections to these VMs. Such a VM sends its store calls through another VM that reaches the
// store, so that its callers are served and a leader keeps the leadership.

const (
	// maxProxyAttempts is the number of VMs that a call is sent to before it fails.
	maxProxyAttempts = 3
	// proxyRetryAfter is how long a VM is skipped after it could not execute a call.
	proxyRetryAfter = time.Second
)

// storeProxy implements store.Proxy: it sends store calls through other VMs.
type storeProxy struct {
	node *Node

	mu sync.Mutex
	// preferred is the VM that executed the last call; invalid if there is none.
	preferred netip.AddrPort
	// skipUntil holds, for each VM that failed, the time until which it is skipped.
	skipUntil map[netip.AddrPort]time.Time
}

var _ store.Proxy = (*storeProxy)(nil)

// Commit implements store.Transport.
func (p *storeProxy) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	reply, err := p.forward(ctx, storeRequest{Commit: encodeGroup(group)})
	if err != nil {
		return nil, err
	}
	if len(reply.Results) != len(group) {
		return nil, fmt.Errorf("%w: %d results for %d transactions", store.ErrOutcomeUnknown, len(reply.Results), len(group))
	}
	return decodeResults(reply.Results), nil
}

// Read implements store.Transport.
func (p *storeProxy) Read(ctx context.Context, table, key string) (store.Row, error) {
	reply, err := p.forward(ctx, storeRequest{Read: &readRequest{Table: table, Key: key}})
	if err != nil || len(reply.Rows) != 1 {
		return store.Row{}, errors.Join(err, reply.checkRowCount(1))
	}
	return reply.Rows[0], nil
}

// Scan implements store.Transport.
func (p *storeProxy) Scan(ctx context.Context, table, prefix, cursor string) (store.Page, error) {
	reply, err := p.forward(ctx, storeRequest{Scan: &scanRequest{Table: table, Prefix: prefix, Cursor: cursor}})
	if err != nil {
		return store.Page{}, err
	}
	return store.Page{Rows: reply.Rows, Next: reply.Cursor, Version: reply.Version}, nil
}

// Watch implements store.Proxy.
func (p *storeProxy) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	reply, err := p.forward(ctx, storeRequest{Watch: &watchRequest{Table: table, After: after, Wait: wait}})
	if err != nil {
		return store.Changes{}, err
	}
	return store.Changes{Rows: reply.Changes, Next: reply.Version}, nil
}

// Close implements store.Transport. It does nothing, since the connections belong to the node.
func (p *storeProxy) Close() {}

// forward sends a call to several VMs in turn until one executes it. A call that may have been
// executed is not sent to another VM.
func (p *storeProxy) forward(ctx context.Context, request storeRequest) (storeReply, error) {
	for _, address := range p.candidates() {
		reply, err := exchange[storeRequest, storeReply](ctx, p.node.peers, address, pathStore, p.withTimeout(ctx, request))
		switch {
		case err == nil && !reply.NotExecuted:
			p.noteSuccess(address)
			return reply, reply.err()
		case err == nil || notSent(err):
			p.noteFailure(address)
		default:
			p.noteFailure(address)
			return reply, fmt.Errorf("%w: through a proxy VM: %w", store.ErrOutcomeUnknown, err)
		}
	}
	return storeReply{}, store.ErrNoProxy
}

// withTimeout sets the time that the caller still waits.
func (p *storeProxy) withTimeout(ctx context.Context, request storeRequest) storeRequest {
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	return request
}

// notSent reports whether an exchange failed before anything was sent, that is, while
// connecting.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// candidates returns the VMs to send a call to: the preferred one first, then others in random
// order.
func (p *storeProxy) candidates() []netip.AddrPort {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for _, vm := range p.node.elector.current().VMs {
		address := vm.Address
		if address != p.node.opts.PeerAddress && address != p.preferred && now.After(p.skipUntil[address]) {
			list = append(list, address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if p.preferred.IsValid() {
		list = append([]netip.AddrPort{p.preferred}, list...)
	}
	return list[:min(len(list), maxProxyAttempts)]
}

func (p *storeProxy) noteSuccess(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.preferred != address {
		p.node.opts.Logger.Info("store proxy in use", "address", address)
	}
	p.preferred = address
}

func (p *storeProxy) noteFailure(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.preferred == address {
		p.preferred = netip.AddrPort{}
	}
	if p.skipUntil == nil {
		p.skipUntil = make(map[netip.AddrPort]time.Time)
	}
	p.skipUntil[address] = time.Now().Add(proxyRetryAfter)
}

// proxyStore executes a store call for another VM. It executes nothing if this VM does not
// reach the store directly.
func (s *peerServer) proxyStore(ctx context.Context, request storeRequest) storeReply {
	direct := s.node.opts.Store.DirectTransport()
	if direct == nil {
		return storeReply{NotExecuted: true}
	}
	if request.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, request.Timeout)
		defer cancel()
		ctx = limited
	}
	return request.execute(ctx, direct)
}
