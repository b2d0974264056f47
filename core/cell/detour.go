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

// The load that the detour answers: the store turns single VMs away, or they are
// cut off from it, while callers keep their connections to these VMs. Such a VM
// passes its calls to the store through another one that the store answers, so
// that its callers are served and a leader keeps the leadership.

const (
	// detourTries is how many VMs a call is offered to.
	detourTries = 3
	// detourRest is how long a VM is left alone that could not take a call.
	detourRest = time.Second
)

// detour passes calls to the store through other VMs.
type detour struct {
	node *Node

	mu sync.Mutex
	// last took the last call.
	last netip.AddrPort
	// rests are until when VMs are left alone.
	rests map[netip.AddrPort]time.Time
}

var _ store.Proxy = (*detour)(nil)

// Commit implements store.Transport.
func (d *detour) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	reply, err := d.pass(ctx, storeQuestion{Commit: encodeGroup(group)})
	if err != nil {
		return nil, err
	}
	if len(reply.Results) != len(group) {
		return nil, fmt.Errorf("%w: %d results for %d transactions", store.ErrOutcomeUnknown, len(reply.Results), len(group))
	}
	return decodeResults(reply.Results), nil
}

// Read implements store.Transport.
func (d *detour) Read(ctx context.Context, table, key string) (store.Row, error) {
	reply, err := d.pass(ctx, storeQuestion{Read: &rowName{Table: table, Key: key}})
	if err != nil || len(reply.Rows) != 1 {
		return store.Row{}, errors.Join(err, reply.shortOf(1))
	}
	return reply.Rows[0], nil
}

// Scan implements store.Transport.
func (d *detour) Scan(ctx context.Context, table, prefix, cursor string) (store.Page, error) {
	reply, err := d.pass(ctx, storeQuestion{Scan: &scanQuestion{Table: table, Prefix: prefix, Cursor: cursor}})
	if err != nil {
		return store.Page{}, err
	}
	return store.Page{Rows: reply.Rows, Next: reply.Cursor, Version: reply.Version}, nil
}

// Watch implements store.Detour.
func (d *detour) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	reply, err := d.pass(ctx, storeQuestion{Watch: &watchQuestion{Table: table, After: after, Wait: wait}})
	if err != nil {
		return store.Changes{}, err
	}
	return store.Changes{Rows: reply.Changes, Next: reply.Version}, nil
}

// Close implements store.Transport. The connections belong to the node.
func (d *detour) Close() {}

// pass offers a call to several VMs, one after the other. A call that may have
// been carried out is offered to no other one.
func (d *detour) pass(ctx context.Context, q storeQuestion) (storeReply, error) {
	for _, address := range d.candidates() {
		reply, err := exchange[storeQuestion, storeReply](ctx, d.node.peers, address, pathStore, d.question(ctx, q))
		switch {
		case err == nil && !reply.NotTaken:
			d.took(address)
			return reply, reply.err()
		case err == nil || notSent(err):
			d.rest(address)
		default:
			d.rest(address)
			return reply, fmt.Errorf("%w: through a VM: %w", store.ErrOutcomeUnknown, err)
		}
	}
	return storeReply{}, store.ErrNoProxy
}

// question adds how long the caller still waits.
func (d *detour) question(ctx context.Context, q storeQuestion) storeQuestion {
	if deadline, ok := ctx.Deadline(); ok {
		q.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	return q
}

// notSent reports whether an exchange failed before anything was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// candidates returns the VMs to offer a call to: the one that took the last, then others.
func (d *detour) candidates() []netip.AddrPort {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []netip.AddrPort
	for _, vm := range d.node.elector.current().VMs {
		address := vm.Address
		if address != d.node.opts.PeerAddress && address != d.last && now.After(d.rests[address]) {
			list = append(list, address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if d.last.IsValid() {
		list = append([]netip.AddrPort{d.last}, list...)
	}
	return list[:min(len(list), detourTries)]
}

func (d *detour) took(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last != address {
		d.node.opts.Logger.Info("store reached through another vm", "address", address)
	}
	d.last = address
}

func (d *detour) rest(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == address {
		d.last = netip.AddrPort{}
	}
	if d.rests == nil {
		d.rests = make(map[netip.AddrPort]time.Time)
	}
	d.rests[address] = time.Now().Add(detourRest)
}

// store carries out a call for another VM, if the store answers this one.
func (s *peerServer) store(ctx context.Context, q storeQuestion) storeReply {
	direct := s.node.opts.Store.DirectTransport()
	if direct == nil {
		return storeReply{NotTaken: true}
	}
	if q.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, q.Timeout)
		defer cancel()
		ctx = limited
	}
	return q.carryOut(ctx, direct)
}
