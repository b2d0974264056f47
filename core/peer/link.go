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

// link manages the connection to one peer: the current one, which messages use, and at most one
// dial in progress.
type link struct {
	node *Node
	to   Address

	mu      sync.Mutex
	current *connection
	dialing *dial
}

// dial is an attempt to open a connection, shared by all calls that wait for it.
type dial struct {
	link *link
	done chan struct{}
	// result and err may be read once done is closed.
	result *connection
	err    error
}

// linkTo returns the link to a peer, and creates it if there is none.
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

// connect returns a usable connection: the current one, another one with the peer, or a new one.
// It counts the caller as a user of the connection, which the caller has to release.
func (l *link) connect(ctx context.Context) (*connection, error) {
	l.mu.Lock()
	if !l.current.usable() {
		l.current = l.node.usableConnection(l.to.Name)
	}
	if l.current.usable() {
		defer l.mu.Unlock()
		l.current.uses.Add(1)
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
	pending.result.uses.Add(1)
	return pending.result, nil
}

// usableConnection returns a usable connection with the peer called name, whichever end opened
// it, or nil.
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

// open dials from a new socket: network equipment in between may have dropped the state for the
// pair of ports of an older connection, and would drop the packets of a new connection on the
// same ports as well.
func (l *link) open(ctx context.Context) (*connection, error) {
	l.node.stats.Dials.Add(1)
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.node.local.Addr(), 0))
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("opening socket for peer %s: %w", l.to.Name, err)
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(l.to.Addr), l.node.clientTLS(l.to.Name), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("dialing peer %s: %w", l.to.Name, err), transport.Close(), socket.Close())
	}
	c, err := newConnection(l.node, conn, transport)
	if err != nil {
		return nil, errors.Join(err, transport.Close(), socket.Close())
	}
	return c, nil
}

// forget removes the link from the node if it has neither a usable connection nor a dial in
// progress.
func (l *link) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	if l.dialing == nil && !l.current.usable() && l.node.links[l.to] == l {
		delete(l.node.links, l.to)
	}
}
