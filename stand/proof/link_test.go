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

// tcpLink forwards connections to an address until it is cut.
type tcpLink struct {
	to       netip.AddrPort
	listener net.Listener
	cut      atomic.Bool

	mu    sync.Mutex
	pipes map[*pipe]bool
}

// pipe is one forwarded connection.
type pipe struct {
	link     *tcpLink
	near     net.Conn
	far      net.Conn
	silenced atomic.Bool
}

func newTCPLink(t *testing.T, at, to netip.AddrPort) *tcpLink {
	t.Helper()
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	l := &tcpLink{to: to, listener: listener, pipes: make(map[*pipe]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		l.drop()
	})
	go l.run()
	return l
}

// run accepts connections until the test ends.
func (l *tcpLink) run() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.cut.Load() {
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", l.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{link: l, near: near, far: far}
		l.mu.Lock()
		l.pipes[p] = true
		l.mu.Unlock()
		go (&copier{pipe: p, from: near, to: far}).run()
		go (&copier{pipe: p, from: far, to: near}).run()
	}
}

// drop closes all connections.
func (l *tcpLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	clear(l.pipes)
}

// silence lets no byte more pass over the open connections, which stay open.
func (l *tcpLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.silenced.Store(true)
	}
}

// copier forwards one direction of a connection.
type copier struct {
	pipe     *pipe
	from, to net.Conn
}

func (c *copier) run() {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.from.Read(buffer)
		if c.pipe.silenced.Load() {
			if err == nil {
				continue
			}
			// A silent link does not tell the other end that this one has gone.
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
			if half, ok := c.to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
	_ = c.pipe.near.Close()
	_ = c.pipe.far.Close()
}

// udpLink stands in front of an entry VM's peer listener. It tells the sender of
// a datagram by its IP number, so that links can be cut one by one.
type udpLink struct {
	to   netip.AddrPort
	conn *net.UDPConn

	mu      sync.Mutex
	cutFrom map[netip.Addr]bool
	paths   map[netip.AddrPort]*udpPath
}

// udpPath carries the datagrams of one sender.
type udpPath struct {
	link   *udpLink
	sender netip.AddrPort
	conn   *net.UDPConn
}

const datagramBytes = 64 << 10

func newUDPLink(t *testing.T, at, to netip.AddrPort) *udpLink {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	l := &udpLink{to: to, conn: conn, cutFrom: make(map[netip.Addr]bool), paths: make(map[netip.AddrPort]*udpPath)}
	t.Cleanup(l.close)
	go l.run()
	return l
}

func (l *udpLink) close() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, path := range l.paths {
		_ = path.conn.Close()
	}
}

// run forwards what senders send to the VM.
func (l *udpLink) run() {
	buffer := make([]byte, datagramBytes)
	for {
		n, sender, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if path := l.path(sender); path != nil {
			_, _ = path.conn.Write(buffer[:n])
		}
	}
}

// path returns the path of a sender, or nil if it is cut off.
func (l *udpLink) path(sender netip.AddrPort) *udpPath {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutFrom[sender.Addr().Unmap()] {
		return nil
	}
	if known := l.paths[sender]; known != nil {
		return known
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.to))
	if err != nil {
		return nil
	}
	path := &udpPath{link: l, sender: sender, conn: conn}
	l.paths[sender] = path
	go path.run()
	return path
}

// run forwards what the VM answers to the sender.
func (p *udpPath) run() {
	buffer := make([]byte, datagramBytes)
	for {
		n, err := p.conn.Read(buffer)
		if err != nil {
			return
		}
		if p.link.passes(p.sender.Addr().Unmap()) {
			_, _ = p.link.conn.WriteToUDPAddrPort(buffer[:n], p.sender)
		}
	}
}

func (l *udpLink) passes(from netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cutFrom[from]
}

func (l *udpLink) setCut(from netip.Addr, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom[from] = cut
}
