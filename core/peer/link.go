package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"
)

// link is the way to one peer: the connection that messages take, and at most
// one dial under way.
type link struct {
	node *Node
	to   Address

	mu      sync.Mutex
	current *connection
	dialing *dial
}

// dial opens a connection for all the calls that wait for it.
type dial struct {
	link *link
	done chan struct{}
	// result and err may be read once done is closed.
	result *connection
	err    error
}

func (n *Node) linkTo(to Address) (*link, error) {
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

// connect returns a connection that is not known to be dead: the one that was
// used last, or one that the peer has opened, or a new one.
func (l *link) connect(ctx context.Context) (*connection, error) {
	l.mu.Lock()
	if !l.current.usable() {
		l.current = l.node.usableConnection(l.to.Name)
	}
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

// opened returns a usable connection with the peer, whoever opened it, or nil.
func (n *Node) usableConnection(name string) *connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.connections {
		if c.peer.Name == name && c.usable() {
			return c
		}
	}
	return nil
}

func (d *dial) run(ctx context.Context) {
	dialing, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	d.result, d.err = d.link.open(dialing)
	d.link.mu.Lock()
	d.link.dialing = nil
	if d.err == nil {
		d.link.current = d.result
	}
	d.link.mu.Unlock()
	close(d.done)
	if d.err == nil {
		d.result.run(ctx)
	}
	d.link.forget()
}

// open dials from a socket of its own: what lies between may have lost track
// of the path that an older connection used, and would lose a new connection on
// the same pair of ports too.
func (l *link) open(ctx context.Context) (*connection, error) {
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
	c, err := newConnection(l.node, conn, transport)
	if err != nil {
		return nil, errors.Join(err, transport.Close(), socket.Close())
	}
	return c, nil
}

// forget drops a link without a connection from the node.
func (l *link) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	if l.dialing == nil && !l.current.usable() && l.node.links[l.to] == l {
		delete(l.node.links, l.to)
	}
}
