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

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
	"tanagerstack.org/core/store"
)

const (
	// helloEvery is how often a VM reports to the leader.
	helloEvery = 400 * time.Millisecond
	// helloTimeout bounds a report; helperFresh is how old the last report of a
	// VM may be for questions to go through it.
	helloTimeout = 700 * time.Millisecond
	helperFresh  = 1500 * time.Millisecond
	// newsTimeout bounds the message about a row that was just stored; the leader's
	// feed brings the row as well.
	newsTimeout = 500 * time.Millisecond
	// statusTimeout bounds a question about a job, after which the store is read.
	statusTimeout = 400 * time.Millisecond
	// peerDialTimeout bounds a new connection: a region away takes 24 ms.
	peerDialTimeout = 400 * time.Millisecond
	peerIdleTimeout = 20 * time.Second
	peerConnections = 64
	// peerBodyBytes bounds a message.
	peerBodyBytes = 1 << 20
)

// peerClient sends messages to other VMs.
type peerClient struct {
	http  *http.Client
	meter *meter.Meter
}

func newPeerClient(m *meter.Meter) *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerClient{meter: m, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}}}
}

// exchange sends a question and reads its reply. A call that times out closes
// its connection, so that one that has gone silent is not used again.
func exchange[Q, R any](ctx context.Context, c *peerClient, to netip.AddrPort, path string, question Q) (R, error) {
	var reply R
	body, err := cbor.Marshal(question)
	if err != nil {
		return reply, fmt.Errorf("encode %T: %w", question, err)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, peerBodyBytes))
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	c.meter.Received(path, len(data))
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s answered %d", to, response.StatusCode)
	}
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode %T: %w", reply, err)
	}
	return reply, nil
}

// tellLeader passes a row on without waiting, so that the leader need not wait for
// its feed. A message that is lost costs only that time.
func (n *Node) tellLeader(message news) {
	if l := n.leader(); l != nil {
		l.hear(message)
		return
	}
	if row := n.elector.current(); row.Address.IsValid() && !row.Released {
		go (&newsCall{node: n, to: row.Address, news: message}).run()
	}
}

// newsCall sends one message to the leader.
type newsCall struct {
	node *Node
	to   netip.AddrPort
	news news
}

func (c *newsCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	if _, err := exchange[news, newsReply](ctx, c.node.peers, c.to, pathNews, c.news); err != nil {
		c.node.opts.Logger.Warn("leader not told", "key", c.news.Row.Key, "leader", c.to, "error", err)
	}
}

// hear takes in a row before the feed brings it. Before the stored jobs are read
// it is left to the feed, which keeps the order. So it is while the store does not
// answer: another VM may have taken over since.
func (l *leader) hear(n news) {
	if !l.node.elector.inContact() {
		l.node.opts.Logger.Info("news left to the feed", "key", n.Row.Key, "why", "the store does not answer")
		return
	}
	l.mu.Lock()
	loaded := l.loaded
	l.mu.Unlock()
	if loaded {
		l.takeIn([]store.Row{{Table: JobsTable, Key: n.Row.Key, Version: n.Row.Version, Value: n.Row.Value}}, nil)
	}
}

func (l *leader) status(id jobs.ID) engine.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.Status(id)
}

// runHello reports to the leader until ctx ends.
func (n *Node) runHello(ctx context.Context) {
	for store.Sleep(ctx, helloEvery) {
		row := n.elector.current()
		if !row.Address.IsValid() || row.Released {
			continue
		}
		if l := n.leader(); l != nil {
			if counts := l.pending(); counts != nil {
				n.notePending(counts)
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		reply, err := exchange[hello, helloReply](callCtx, n.peers, row.Address, pathHello, hello{
			Name: n.opts.Name, Address: n.opts.PeerAddress, Epoch: row.Epoch, Zone: n.opts.Zone, Processors: n.opts.Processors,
		})
		cancel()
		n.noteReply(ctx, row, reply, err)
		if err != nil {
			n.opts.Logger.Warn("leader not reached", "leader", row.Holder, "epoch", row.Epoch, "error", err)
			continue
		}
		if reply.Leading && reply.Pending != nil {
			n.notePending(reply.Pending)
		}
	}
}

// noteReply takes in what the answer to a report says of the leader of a row.
func (n *Node) noteReply(ctx context.Context, row leaderRow, reply helloReply, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		n.elector.refresh(ctx)
		n.elector.holderGone(row.Instance, "no process listens at its address")
	case err != nil:
		// A leader that does not answer may live: its row tells.
	case reply.Instance != row.Instance:
		n.elector.refresh(ctx)
		n.elector.holderGone(row.Instance, "another process answers at its address")
	case reply.Leading:
		n.elector.confirm(row.Instance)
	default:
		n.elector.refresh(ctx)
	}
}

func (l *leader) pending() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pendingLocked()
}

// pendingLocked returns the counts of all queues, or nil before the jobs are
// read; l.mu is held.
func (l *leader) pendingLocked() map[string]int {
	if !l.loaded {
		return nil
	}
	return l.engine.PendingByQueue()
}

func (n *Node) notePending(counts map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending, n.pendingAt = counts, time.Now()
}
