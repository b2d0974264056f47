package cell

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
	"tanagerstack.org/core/store"
)

const (
	// helloInterval is the time between a VM's heartbeats to the leader.
	helloInterval = 400 * time.Millisecond
	// helloTimeout bounds a heartbeat. followerTimeout is how old the last heartbeat of a VM
	// may be for advice requests and commands to go through it.
	helloTimeout    = 700 * time.Millisecond
	followerTimeout = 1500 * time.Millisecond
	// notifyTimeout bounds the notification about a row that was just stored. The leader gets
	// the row from its feed as well.
	notifyTimeout = 500 * time.Millisecond
	// statusTimeout bounds a status request to the leader, after which the store is read.
	statusTimeout = 400 * time.Millisecond
	// peerDialTimeout bounds a new connection. Connecting to another region takes 24 ms.
	peerDialTimeout        = 400 * time.Millisecond
	peerIdleTimeout        = 20 * time.Second
	maxIdlePeerConnections = 64
	// maxPeerMessageBytes bounds a message, maxListElements a list in it: a worker's name takes ten
	// bytes and more. Messages longer than longMessageBytes are rare.
	maxPeerMessageBytes = 1 << 20
	maxListElements     = 1 << 15
	longMessageBytes    = 64 << 10
	// peerHeaderTimeout and maxPeerHeaderBytes limit the header of a message, which has a few fields.
	peerHeaderTimeout  = 3 * time.Second
	maxPeerHeaderBytes = 4096
)

// peerClient sends messages to other VMs.
type peerClient struct {
	http  *http.Client
	meter *meter.Meter
}

func newPeerClient(opts *Options) *peerClient {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
		defer cancel()
		return opts.Dial(ctx, network, address)
	}
	return &peerClient{meter: opts.Meter, http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}}}
}

// exchange sends a message and returns its reply. A call that times out closes its connection,
// so that a connection that has gone silent is not used again.
func exchange[Q, R any](ctx context.Context, c *peerClient, to netip.AddrPort, path string, message Q) (R, error) {
	var reply R
	body, err := cbor.Marshal(message)
	if err != nil {
		return reply, fmt.Errorf("encode %T: %w", message, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	c.meter.Sent(path, len(body))
	response, err := c.http.Do(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPeerMessageBytes))
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	c.meter.Received(path, len(data))
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s answered with status %d", to, response.StatusCode)
	}
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode %T: %w", reply, err)
	}
	return reply, nil
}

// notifyLeader sends a row to the leader without waiting, so that the leader need not wait for
// its feed. A lost notification costs only that time.
func (n *Node) notifyLeader(message rowUpdate) {
	if l := n.leader(); l != nil {
		l.handleRowUpdate(message)
		return
	}
	if row := n.elector.current(); row.Address.IsValid() && !row.Released {
		go (&notifyCall{node: n, to: row.Address, update: message}).run()
	}
}

// notifyCall sends one row update to the leader.
type notifyCall struct {
	node   *Node
	to     netip.AddrPort
	update rowUpdate
}

func (c *notifyCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := exchange[rowUpdate, rowUpdateReply](ctx, c.node.peers, c.to, pathRowUpdate, c.update); err != nil {
		c.node.opts.Logger.Warn("leader not notified", "key", c.update.Row.Key, "leader", c.to, "error", err)
	}
}

// handleRowUpdate ingests a row before the feed delivers it. Until the stored jobs are loaded
// the row is left to the feed, which keeps the order. The same holds while the store does not
// answer, since another VM may have taken over in the meantime.
func (l *leader) handleRowUpdate(update rowUpdate) {
	if !l.node.elector.isReachable() {
		l.node.opts.Logger.Info("row update left to the feed", "key", update.Row.Key, "why", "store unreachable")
		return
	}
	l.mu.Lock()
	loaded := l.loaded
	l.mu.Unlock()
	if loaded {
		l.ingest([]store.Row{{Table: JobsTable, Key: update.Row.Key, Version: update.Row.Version, Value: update.Row.Value}}, nil)
	}
}

func (l *leader) statusReply(id jobs.ID) statusReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.engine.Status(id)
	organization, queue := l.engine.Owner(id)
	return statusReply{Leading: true, Known: status.Known, State: status.State, Organization: organization, Queue: queue}
}

// runHello sends heartbeats to the leader until ctx ends.
func (n *Node) runHello(ctx context.Context) {
	for store.Sleep(ctx, helloInterval) {
		row := n.elector.current()
		if !row.Address.IsValid() || row.Released {
			continue
		}
		if l := n.leader(); l != nil {
			if counts := l.pending(); counts != nil {
				n.setPending(counts)
			}
			n.admission.received(l.loadSnapshot(), time.Now())
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		sent := time.Now()
		reply, err := exchange[hello, helloReply](callCtx, n.peers, row.Address, pathHello, hello{
			Name: n.opts.Name, Address: n.opts.PeerAddress, Epoch: row.Epoch, Zone: n.opts.Zone, Processors: n.opts.Processors,
		})
		cancel()
		n.handleHelloReply(ctx, row, reply, err)
		if err != nil {
			n.opts.Logger.Warn("heartbeat to leader failed", "leader", row.Holder, "epoch", row.Epoch, "error", err)
			continue
		}
		if reply.Leading {
			n.noteLeaderConfig(sent, reply.Config)
		}
		if reply.Leading && reply.Pending != nil {
			n.setPending(reply.Pending)
		}
		if reply.Leading {
			n.admission.received(reply.Load, sent)
		}
	}
}

// handleHelloReply updates the elector with what the reply to a heartbeat, or its error, tells
// about the leader of a row.
func (n *Node) handleHelloReply(ctx context.Context, row leaderRow, reply helloReply, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		n.elector.refreshRow(ctx)
		n.elector.noteHolderGone(row.Instance, "no process listens on its address", false)
	case err != nil:
		// A leader that does not answer may be alive: whether it renews its row decides.
	case reply.Instance != row.Instance:
		n.elector.refreshRow(ctx)
		n.elector.noteHolderGone(row.Instance, "another process listens on its address", true)
	case reply.Leading:
		n.elector.noteConfirmed(row.Instance)
	default:
		n.elector.refreshRow(ctx)
	}
}

func (l *leader) pending() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pendingLocked()
}

// pendingLocked returns the number of pending jobs by queue, or nil until the jobs are loaded.
// The caller holds l.mu.
func (l *leader) pendingLocked() map[string]int {
	if !l.loaded {
		return nil
	}
	return l.engine.PendingByQueue()
}

func (n *Node) setPending(counts map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending, n.pendingAt = counts, time.Now()
}
