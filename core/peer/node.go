package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"tanagerstack.org/core/guard"
	"tanagerstack.org/core/keys"
)

const (
	// IdleTimeout is how long a connection stays open without receiving a packet.
	IdleTimeout = 3 * time.Second
	// SuspectAfter is how long a message may wait without any packet from the peer before its
	// connection becomes suspect. Later messages then use a new connection.
	SuspectAfter = 400 * time.Millisecond
	// PingAfter is how long a connection counts as live after a message or answer of the peer.
	// After that, a ping has to be answered before the next message is sent.
	PingAfter = 1500 * time.Millisecond
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout = 10 * time.Second

	// keepAlivePeriod is longer than the time between heartbeats, so that a connection that
	// carries heartbeats sends no keep-alives.
	keepAlivePeriod = 1400 * time.Millisecond
	// unusedTimeout is how long a connection without messages stays open.
	unusedTimeout    = 10 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	protocolName     = "tanager-peer-1"

	// maxStreamWindow and maxConnectionWindow bound what a peer may send before this node has read
	// it, in bytes. Between regions, 24 ms there and back, they allow 40 MB per second and more.
	maxStreamWindow     = 1 << 20
	maxConnectionWindow = 2 << 20
	// connectionCost and exchangeCost are what an accepted connection and a message that is being
	// handled take of the byte budget, besides the message; messageCost is what a byte of the message
	// takes: it is read, copied and decoded.
	connectionCost = 64 << 10
	exchangeCost   = 16 << 10
	messageCost    = 3
	// handshakesPerSecond and handshakeBurst are the handshakes that a node begins with an address
	// that is not verified. Beyond that, an address has to answer a token first.
	handshakesPerSecond = 64
	handshakeBurst      = 256
)

// Address is the name of an entry VM and the UDP address of its peer listener.
type Address struct {
	Name string
	Addr netip.AddrPort
}

// Options configure a Node.
type Options struct {
	// Name is the name of this VM; its certificate must be valid for it.
	Name string
	// Listen is the address of the UDP socket. Port 0 selects a free port.
	Listen netip.AddrPort
	// Keys provides this VM's certificate and the certificate authorities that it trusts.
	Keys *keys.Source
	// Mux has the handlers; nil means only pings are answered. Handlers may be added later.
	Mux *Mux
	// Port bounds what peers can make this node hold; nil sets no limit.
	Port *guard.Port
}

// Stats counts the events of a Node. All counts only increase.
type Stats struct {
	Calls, NotSent, NoAnswer  atomic.Int64
	Handled                   atomic.Int64
	Dials, SuspectConnections atomic.Int64
	// endedBytes counts the bytes of QUIC packets on connections that have ended.
	endedBytes atomic.Uint64
}

// Node sends messages to other entry VMs and handles those from them. It is safe for concurrent
// use.
type Node struct {
	opts      Options
	codec     *codec
	stats     Stats
	transport *quic.Transport
	listener  *quic.Listener
	local     netip.AddrPort

	ctx    context.Context
	cancel context.CancelFunc
	// serving counts accepted messages that are still being handled.
	serving sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	links       map[Address]*link
	connections map[*connection]struct{}
}

// NewNode opens the UDP socket and starts to handle messages.
func NewNode(opts Options) (*Node, error) {
	if opts.Mux == nil {
		opts.Mux = NewMux()
	}
	if err := checkName(opts.Keys, opts.Name); err != nil {
		return nil, err
	}
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, fmt.Errorf("opening socket of peer listener: %w", err)
	}
	n := &Node{
		opts:        opts,
		codec:       c,
		transport:   &quic.Transport{Conn: socket, VerifySourceAddress: newHandshakeLimit().isExceeded},
		local:       localAddress(socket),
		links:       make(map[Address]*link),
		connections: make(map[*connection]struct{}),
	}
	n.listener, err = n.transport.Listen(n.serverTLS(), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("starting peer listener: %w", err), socket.Close())
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go (&acceptor{node: n}).run(n.ctx)
	go (&sweeper{node: n}).loop(n.ctx)
	return n, nil
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() netip.AddrPort { return n.local }

// Stats returns the node's counters.
func (n *Node) Stats() *Stats { return &n.stats }

// Bytes returns the number of bytes that the node's connections have sent and received.
func (n *Node) Bytes() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.stats.endedBytes.Load()
	for c := range n.connections {
		total += c.bytes()
	}
	return total
}

// Close stops accepting messages, waits for running handlers until ctx ends, and closes all
// connections.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	waited := &groupWaiter{group: &n.serving, done: make(chan struct{})}
	go waited.run()
	select {
	case <-waited.done:
	case <-ctx.Done():
	}
	n.cancel()
	for _, c := range n.openConnections() {
		c.close("shutdown")
	}
	return errors.Join(n.listener.Close(), n.transport.Close(), n.transport.Conn.Close())
}

// openConnections returns the connections that have not ended.
func (n *Node) openConnections() []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.connections))
}

// groupWaiter closes done when the group has finished.
type groupWaiter struct {
	group *sync.WaitGroup
	done  chan struct{}
}

func (w *groupWaiter) run() {
	w.group.Wait()
	close(w.done)
}

// track adds a connection to those that Close closes and Bytes counts. It returns false if the
// node is closed.
func (n *Node) track(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = struct{}{}
	return !n.closed
}

// untrack removes a connection that has ended and keeps its byte count.
func (n *Node) untrack(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
	n.stats.endedBytes.Add(c.bytes())
}

// serverTLS returns a configuration that requires a certificate from each peer. It gets the keys
// for each connection again, so that they can be rotated.
func (n *Node) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair := n.opts.Keys.Credentials(time.Now())
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocolName},
				Certificates:           []tls.Certificate{pair.Cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              pair.Roots,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientTLS returns a configuration that accepts only a peer with a certificate for name.
func (n *Node) clientTLS(name string) *tls.Config {
	pair := n.opts.Keys.Credentials(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		Certificates: []tls.Certificate{pair.Cert},
		RootCAs:      pair.Roots,
		ServerName:   name,
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       IdleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreams,
		// Messages use bidirectional streams only.
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}

// handshakeLimit bounds the handshakes with addresses that are not verified.
type handshakeLimit struct{ limiter *rate.Limiter }

func newHandshakeLimit() handshakeLimit {
	return handshakeLimit{rate.NewLimiter(handshakesPerSecond, handshakeBurst)}
}

// isExceeded reports whether an address has to be verified before the handshake.
func (h handshakeLimit) isExceeded(net.Addr) bool { return !h.limiter.Allow() }

// checkName returns an error unless the certificate is valid for the VM's own name. Otherwise
// every peer would reject this VM's connections, each with an error of its own.
func checkName(source *keys.Source, name string) error {
	if source == nil {
		return errors.New("peer keys: not set")
	}
	leaf, err := x509.ParseCertificate(source.Credentials(time.Now()).Cert.Certificate[0])
	if err != nil {
		return fmt.Errorf("peer keys: %w", err)
	}
	if err := leaf.VerifyHostname(name); err != nil {
		return fmt.Errorf("peer keys: certificate is not valid for VM name %q: %w", name, err)
	}
	return nil
}

func localAddress(socket *net.UDPConn) netip.AddrPort {
	if addr, ok := socket.LocalAddr().(*net.UDPAddr); ok {
		return addr.AddrPort()
	}
	return netip.AddrPort{}
}
