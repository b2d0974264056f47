package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is a QUIC connection with one peer. Both ends send messages on it, regardless of
// which of them opened it.
type connection struct {
	node *Node
	conn *quic.Conn
	peer Identity
	// transport owns the socket if this node opened the connection, and is nil otherwise.
	transport *quic.Transport
	// cost is what the connection has taken of the byte budget.
	cost int
	// lastActive is when the last message or answer of the peer arrived, in Unix nanoseconds; 0
	// forces a ping before the next message.
	lastActive atomic.Int64
	suspect    atomic.Bool
	// uses counts the calls of this node, and the peer's messages that it handles. releasedAt is when
	// the last of them ended, in Unix nanoseconds.
	uses       atomic.Int64
	releasedAt atomic.Int64

	mu sync.Mutex
	// acceptedCount is the number of the peer's messages that this node has started to handle.
	acceptedCount int64
	closed        bool
}

// streamNotHandled is the error code of a stream whose message was not handled.
const streamNotHandled quic.StreamErrorCode = 1

// closeCodeBase plus the number of accepted messages is the error code with which a node closes a
// connection. It tells the peer which of its messages were not handled. Smaller codes carry no
// such number.
const closeCodeBase quic.ApplicationErrorCode = 1 << 16

// streamIDStep is the difference between the IDs of two successive streams of one end.
const streamIDStep = 4

func newConnection(n *Node, conn *quic.Conn, transport *quic.Transport) (*connection, error) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) == 0 {
		return nil, errors.New("peer certificate has no DNS name")
	}
	c := &connection{node: n, conn: conn, peer: Identity{Name: certs[0].DNSNames[0]}, transport: transport}
	c.markActive()
	return c, nil
}

// run handles the peer's messages until the connection ends, then releases its resources.
func (c *connection) run(ctx context.Context) {
	defer c.cleanup()
	if !c.node.track(c) {
		return
	}
	for {
		stream, err := c.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if !c.accept(stream) {
			stream.CancelRead(streamNotHandled)
			stream.CancelWrite(streamNotHandled)
			continue
		}
		c.markActive()
		go (&incomingExchange{connection: c, stream: stream}).run(ctx)
	}
}

// accept counts the message of a stream as handled. It returns false, and the message must not
// be handled, once the node or the connection is closing. Streams arrive in the order of their
// IDs, so the ID of the last one gives the count.
func (c *connection) accept(stream *quic.Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.node.beginExchange() {
		return false
	}
	c.acceptedCount = int64(stream.StreamID())/streamIDStep + 1
	c.uses.Add(1)
	return true
}

// close closes the connection and tells the peer which of its messages were accepted.
func (c *connection) close(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.conn.CloseWithError(closeCodeBase+quic.ApplicationErrorCode(c.acceptedCount), why)
}

// provesNotHandled reports whether the error of a stream shows that the peer has not handled its
// message and will not.
func provesNotHandled(stream *quic.Stream, err error) bool {
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		return reset.Remote && reset.ErrorCode == streamNotHandled
	}
	var closed *quic.ApplicationError
	if !errors.As(err, &closed) || !closed.Remote || closed.ErrorCode < closeCodeBase {
		return false
	}
	taken := int64(closed.ErrorCode - closeCodeBase)
	return int64(stream.StreamID())/streamIDStep >= taken
}

// cleanup closes the connection and the socket that was opened for it.
func (c *connection) cleanup() {
	c.close("end")
	c.node.untrack(c)
	c.node.opts.Port.Give(c.cost)
	if c.transport != nil {
		_ = c.transport.Close()
		_ = c.transport.Conn.Close()
	}
}

// usable reports whether new messages may use the connection. c may be nil.
func (c *connection) usable() bool {
	return c != nil && !c.suspect.Load() && c.conn.Context().Err() == nil
}

// markActive records that a message or an answer of the peer has arrived.
func (c *connection) markActive() { c.lastActive.Store(time.Now().UnixNano()) }

// markUnanswered records that a message sent at the given time, at least SuspectAfter ago, got no
// answer. If nothing else has arrived from the peer since, the next message requires a ping
// first: acknowledgment packets do not prove that the connection still works, because they may
// have been sent before it failed.
func (c *connection) markUnanswered(sent time.Time) {
	heardAt := c.lastActive.Load()
	if heardAt < sent.UnixNano() && time.Since(sent) >= SuspectAfter {
		c.lastActive.CompareAndSwap(heardAt, 0)
	}
}

// idleTime returns the time since the last message or answer of the peer.
func (c *connection) idleTime() time.Duration { return time.Since(time.Unix(0, c.lastActive.Load())) }

// markSuspect makes later messages use a new connection. Messages that wait for an answer on this
// one keep waiting, since the answer may still arrive.
func (c *connection) markSuspect() {
	if !c.suspect.Swap(true) {
		c.node.stats.SuspectConnections.Add(1)
	}
}

// release ends the use of the connection by a call, or by a message of the peer.
func (c *connection) release() {
	c.releasedAt.Store(time.Now().UnixNano())
	c.uses.Add(-1)
}

// unusedFor reports whether neither end has used the connection for a time. An answer that was written
// at the last use has been sent by then.
func (c *connection) unusedFor(d time.Duration) bool {
	return c.uses.Load() == 0 && time.Since(time.Unix(0, c.releasedAt.Load())) > d && c.idleTime() > d
}

func (c *connection) packetsReceived() uint64 { return c.conn.ConnectionStats().PacketsReceived }

// bytes returns the bytes sent and received.
func (c *connection) bytes() uint64 {
	stats := c.conn.ConnectionStats()
	return stats.BytesSent + stats.BytesReceived
}

// sweeper closes connections that are no longer used, if this node opened them, such as one of two that
// both ends opened at the same time, or if they are suspect. The peer may still get answers on a suspect
// connection, so it is not closed while it is used.
type sweeper struct{ node *Node }

func (s *sweeper) loop(ctx context.Context) {
	ticker := time.NewTicker(unusedTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (s *sweeper) sweep() {
	for _, c := range s.node.openConnections() {
		if (c.transport != nil || c.suspect.Load()) && c.unusedFor(unusedTimeout) {
			c.close("unused")
		}
	}
}
