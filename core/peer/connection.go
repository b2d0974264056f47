package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is a QUIC connection with one peer. Both ends send messages on it,
// whichever of them opened it.
type connection struct {
	node *Node
	conn *quic.Conn
	peer Identity
	// transport has the socket of a connection that this node opened; nil otherwise.
	transport *quic.Transport
	// heardAt is when the peer last sent a message or an answer, in Unix nanoseconds.
	lastActive atomic.Int64
	suspect    atomic.Bool
	calls      atomic.Int64

	mu sync.Mutex
	// taken is how many messages of the peer this node has begun to handle.
	acceptedCount int64
	closed        bool
}

// streamNotTaken is the code of a stream whose message was not handled.
const streamNotHandled quic.StreamErrorCode = 1

// closedBase is added to the number of messages that were taken, to make the code
// that a connection is closed with: the peer can tell which ones were not. Codes
// below it say nothing.
const closeCodeBase quic.ApplicationErrorCode = 1 << 16

// streamsPerID is the distance between the IDs of two streams that one end opens.
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

// run answers the peer's messages until the connection ends, and frees it.
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
		go (&incomingExchange{node: c.node, from: c.peer, stream: stream}).run(ctx)
	}
}

// take counts the message of a stream as one that is handled. It reports false
// once the node or the connection is closing: the message is not handled then.
// Streams arrive in the order of their IDs.
func (c *connection) accept(stream *quic.Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.node.beginExchange() {
		return false
	}
	c.acceptedCount = int64(stream.StreamID())/streamIDStep + 1
	return true
}

// close ends the connection and tells the peer which of its messages were taken.
func (c *connection) close(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.conn.CloseWithError(closeCodeBase+quic.ApplicationErrorCode(c.acceptedCount), why)
}

// provesNotTaken reports whether the error of a stream means that the peer has
// not handled its message.
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

func (c *connection) cleanup() {
	c.close("end")
	c.node.untrack(c)
	if c.transport != nil {
		_ = c.transport.Close()
		_ = c.transport.Conn.Close()
	}
}

// usable reports whether new messages may take the connection.
func (c *connection) usable() bool {
	return c != nil && !c.suspect.Load() && c.conn.Context().Err() == nil
}

func (c *connection) markActive() { c.lastActive.Store(time.Now().UnixNano()) }

// unanswered notes that a message sent at that time got no answer. Unless the
// peer was heard since, the next message has to ping first: packets that were
// already on their way then do not show that the connection still works.
func (c *connection) markUnanswered(sent time.Time) {
	heardAt := c.lastActive.Load()
	if heardAt < sent.UnixNano() && time.Since(sent) >= SuspectAfter {
		c.lastActive.CompareAndSwap(heardAt, 0)
	}
}

// silence is the time since the peer was last heard.
func (c *connection) idleTime() time.Duration { return time.Since(time.Unix(0, c.lastActive.Load())) }

// doubt makes later messages take a new connection. Messages that wait on this
// one keep waiting: their answers may still come.
func (c *connection) markSuspect() {
	if !c.suspect.Swap(true) {
		c.node.stats.SuspectConnections.Add(1)
	}
}

// leave ends a call's use of the connection and closes a suspect one with its
// last call.
func (c *connection) release() {
	if c.calls.Add(-1) == 0 && c.suspect.Load() {
		c.close("replaced")
	}
}

func (c *connection) packetsReceived() uint64 { return c.conn.ConnectionStats().PacketsReceived }

func (c *connection) bytes() uint64 {
	stats := c.conn.ConnectionStats()
	return stats.BytesSent + stats.BytesReceived
}

// sweeper closes connections that this node opened and nobody uses any more,
// such as one of two that both ends opened at the same time.
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
		if c.transport != nil && c.calls.Load() == 0 && c.idleTime() > unusedTimeout {
			c.close("unused")
		}
	}
}
