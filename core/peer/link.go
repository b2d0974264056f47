package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// link is the way to one peer: a connection, and at most one dial under way.
type link struct {
	node *Node
	to   Address

	mu      sync.Mutex
	current *outgoing
	dialing *dial
}

// outgoing is a connection that this node opened.
type outgoing struct {
	link      *link
	conn      *quic.Conn
	transport *quic.Transport
	// heardAt is when the peer last proved to be alive, in Unix nanoseconds.
	heardAt atomic.Int64
	suspect atomic.Bool
	calls   atomic.Int64
}

// dial opens a connection for all the calls that wait for it.
type dial struct {
	link *link
	done chan struct{}
	// result and err may be read once done is closed.
	result *outgoing
	err    error
}

func (n *Node) link(to Address) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("node is closed")
	}
	l, ok := n.links[to]
	if !ok {
		l = &link{node: n, to: to}
		n.links[to] = l
	}
	return l, nil
}

// connect returns a connection that is not known to be dead, dialing if there
// is none.
func (l *link) connect(ctx context.Context) (*outgoing, error) {
	l.mu.Lock()
	if l.current.usable() {
		defer l.mu.Unlock()
		l.current.calls.Add(1)
		return l.current, nil
	}
	if l.dialing == nil {
		l.dialing = &dial{link: l, done: make(chan struct{})}
		go l.dialing.run(l.node.ctx)
	}
	pending := l.dialing
	l.mu.Unlock()
	select {
	case <-pending.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if pending.err != nil {
		return nil, pending.err
	}
	pending.result.calls.Add(1)
	return pending.result, nil
}

func (d *dial) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	d.result, d.err = d.link.open(ctx)
	d.link.mu.Lock()
	d.link.dialing = nil
	if d.err == nil {
		d.link.current = d.result
	}
	d.link.mu.Unlock()
	close(d.done)
	if d.err != nil {
		d.link.forget()
		return
	}
	d.result.run()
}

// open dials from a socket of its own: what lies between may have lost track
// of the path that an older connection used, and would lose a new connection on
// the same pair of ports too.
func (l *link) open(ctx context.Context) (*outgoing, error) {
	l.node.stats.Dials.Add(1)
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.node.local.Addr(), 0))
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("socket for peer %s: %w", l.to.Name, err)
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(l.to.Addr), l.node.clientTLS(l.to.Name), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("dial of peer %s: %w", l.to.Name, err), transport.Close(), socket.Close())
	}
	o := &outgoing{link: l, conn: conn, transport: transport}
	o.heard()
	if !l.node.track(conn) {
		_ = conn.CloseWithError(0, "shutdown")
	}
	return o, nil
}

// run waits for the end of the connection and frees its socket.
func (o *outgoing) run() {
	<-o.conn.Context().Done()
	o.link.node.untrack(o.conn)
	_ = o.transport.Close()
	_ = o.transport.Conn.Close()
	o.link.forget()
}

// forget drops a link without a connection from the node.
func (l *link) forget() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing == nil && !l.current.usable() && l.node.links[l.to] == l {
		delete(l.node.links, l.to)
	}
}

// usable reports whether new messages may take the connection.
func (o *outgoing) usable() bool {
	return o != nil && !o.suspect.Load() && o.conn.Context().Err() == nil
}

func (o *outgoing) heard() { o.heardAt.Store(time.Now().UnixNano()) }

// proven reports whether the peer was heard of a short while ago.
func (o *outgoing) proven() bool {
	return time.Since(time.Unix(0, o.heardAt.Load())) < ProvenFor
}

// doubt makes later messages take a new connection. Messages that wait on this
// one keep waiting: their answers may still come.
func (o *outgoing) doubt() {
	if !o.suspect.Swap(true) {
		o.link.node.stats.Suspects.Add(1)
	}
}

// leave ends a call's use of the connection and closes a suspect one with its
// last call.
func (o *outgoing) leave() {
	if o.calls.Add(-1) == 0 && o.suspect.Load() {
		_ = o.conn.CloseWithError(0, "replaced")
	}
}
