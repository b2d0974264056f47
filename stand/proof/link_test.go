package proof

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// tcpLink forwards TCP connections to an address. While cut is true, it closes new
// connections at once.
type tcpLink struct {
	to       netip.AddrPort
	listener net.Listener
	cut      atomic.Bool

	mu    sync.Mutex
	conns map[*forwardedConn]bool
}

// forwardedConn is one forwarded connection. Once stalled, it reads and discards all
// data and stays open.
type forwardedConn struct {
	link    *tcpLink
	client  net.Conn
	server  net.Conn
	stalled atomic.Bool
}

// newTCPLink listens at one address and forwards connections to another, until the end
// of the test.
func newTCPLink(t *testing.T, at, to netip.AddrPort) *tcpLink {
	t.Helper()
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	l := &tcpLink{to: to, listener: listener, conns: make(map[*forwardedConn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		l.closeConns()
	})
	go l.run()
	return l
}

// run accepts connections until the listener is closed.
func (l *tcpLink) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.cut.Load() {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", l.to.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &forwardedConn{link: l, client: client, server: server}
		l.mu.Lock()
		l.conns[p] = true
		l.mu.Unlock()
		go (&forwarder{conn: p, from: client, to: server}).run()
		go (&forwarder{conn: p, from: server, to: client}).run()
	}
}

// closeConns closes all open connections.
func (l *tcpLink) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	clear(l.conns)
}

// stall forwards no more data on the open connections, which stay open.
func (l *tcpLink) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.stalled.Store(true)
	}
}

// forwarder forwards one direction of a connection.
type forwarder struct {
	conn     *forwardedConn
	from, to net.Conn
}

func (c *forwarder) run() {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.from.Read(buffer)
		if c.conn.stalled.Load() {
			if err == nil {
				continue
			}
			// A stalled connection does not pass on that one end has closed it.
			return
		}
		if n > 0 {
			if _, err := c.to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				break
			}
			if tcpConn, ok := c.to.(*net.TCPConn); ok {
				_ = tcpConn.CloseWrite()
			}
			return
		}
	}
	_ = c.conn.client.Close()
	_ = c.conn.server.Close()
}

// udpLink forwards datagrams to the peer listener of an entry VM, and the answers back.
// It identifies a sender by its IP address, so that each sender can be cut separately.
type udpLink struct {
	to   netip.AddrPort
	conn *net.UDPConn

	mu         sync.Mutex
	cutSenders map[netip.Addr]bool
	sessions   map[netip.AddrPort]*udpSession
}

// udpSession forwards the datagrams of one sender.
type udpSession struct {
	link   *udpLink
	sender netip.AddrPort
	conn   *net.UDPConn
}

const maxDatagramBytes = 64 << 10

// newUDPLink listens at one address and forwards datagrams to another, until the end of
// the test.
func newUDPLink(t *testing.T, at, to netip.AddrPort) *udpLink {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	l := &udpLink{to: to, conn: conn, cutSenders: make(map[netip.Addr]bool), sessions: make(map[netip.AddrPort]*udpSession)}
	t.Cleanup(l.close)
	go l.run()
	return l
}

func (l *udpLink) close() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range l.sessions {
		_ = session.conn.Close()
	}
}

// run forwards datagrams from senders to the VM until the link is closed.
func (l *udpLink) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if session := l.session(sender); session != nil {
			_, _ = session.conn.Write(buffer[:n])
		}
	}
}

// session returns the session of a sender, and creates it if there is none. It returns
// nil if the sender is cut or the socket cannot be opened.
func (l *udpLink) session(sender netip.AddrPort) *udpSession {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutSenders[sender.Addr().Unmap()] {
		return nil
	}
	if known := l.sessions[sender]; known != nil {
		return known
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.to))
	if err != nil {
		return nil
	}
	session := &udpSession{link: l, sender: sender, conn: conn}
	l.sessions[sender] = session
	go session.run()
	return session
}

// run forwards datagrams from the VM to the sender until the session is closed.
func (p *udpSession) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := p.conn.Read(buffer)
		if err != nil {
			return
		}
		if p.link.allows(p.sender.Addr().Unmap()) {
			_, _ = p.link.conn.WriteToUDPAddrPort(buffer[:n], p.sender)
		}
	}
}

// allows reports whether datagrams to and from a sender pass.
func (l *udpLink) allows(from netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cutSenders[from]
}

// setCut drops all datagrams to and from a sender, or lets them pass again.
func (l *udpLink) setCut(from netip.Addr, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutSenders[from] = cut
}
