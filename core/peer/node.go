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

	"tanagerstack.org/core/keys"
)

const (
	// IdleTimeout is how long a silent connection lasts.
	IdleTimeout = 3 * time.Second
	// SuspectAfter is how long a message may go without any packet from the
	// peer before its connection is suspect: later messages then take a new one.
	SuspectAfter = 400 * time.Millisecond
	// ProvenFor is how long a connection counts as alive after an answer. A
	// message that finds it older waits for a ping first.
	PingAfter = 1500 * time.Millisecond
	// CallTimeout ends a call whose context has no deadline.
	CallTimeout = 10 * time.Second

	// keepAlivePeriod is longer than the time between heartbeats, so that they
	// need no keep-alives beside them.
	keepAlivePeriod = 1400 * time.Millisecond
	// unusedFor is how long a connection stays open that no message takes.
	unusedTimeout    = 10 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	protocolName     = "tanager-peer-1"
)

// Address names an entry VM and where its peer listener is.
type Address struct {
	Name string
	Addr netip.AddrPort
}

// Options configure a Node.
type Options struct {
	// Name is the name of this VM; its certificate must carry it.
	Name string
	// Listen is the address of the UDP socket. Port 0 picks a free one.
	Listen netip.AddrPort
	// Keys are this VM's certificate and the authorities that it trusts.
	Keys *keys.Source
	// Mux has the handlers. More of them may be registered later.
	Mux *Mux
}

// Stats counts what a Node did. All counts only grow.
type Stats struct {
	Calls, NotSent, NoAnswer  atomic.Int64
	Handled                   atomic.Int64
	Dials, SuspectConnections atomic.Int64
	// Bytes of QUIC packets on connections that have ended.
	endedBytes atomic.Uint64
}

// Node sends and receives messages. It is safe for concurrent use.
type Node struct {
	opts      Options
	codec     *codec
	stats     Stats
	transport *quic.Transport
	listener  *quic.Listener
	local     netip.AddrPort

	ctx    context.Context
	cancel context.CancelFunc
	// serving counts exchanges whose handler runs.
	serving sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	links       map[Address]*link
	connections map[*connection]struct{}
}

// NewNode opens the socket and starts to answer messages.
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
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	n := &Node{
		opts:        opts,
		codec:       c,
		transport:   &quic.Transport{Conn: socket},
		local:       localAddress(socket),
		links:       make(map[Address]*link),
		connections: make(map[*connection]struct{}),
	}
	n.listener, err = n.transport.Listen(n.serverTLS(), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("peer listener: %w", err), socket.Close())
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go (&acceptor{node: n}).run(n.ctx)
	go (&sweeper{node: n}).loop(n.ctx)
	return n, nil
}

// Addr is the address that the node listens on.
func (n *Node) Addr() netip.AddrPort { return n.local }

// Stats returns the node's counts.
func (n *Node) Stats() *Stats { return &n.stats }

// Bytes returns how many bytes the node's connections have sent and received.
func (n *Node) Bytes() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.stats.endedBytes.Load()
	for c := range n.connections {
		total += c.bytes()
	}
	return total
}

// Close stops taking messages, waits for running handlers until ctx ends, and
// closes all connections.
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

// open returns the connections that have not ended.
func (n *Node) openConnections() []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.connections))
}

// waiter turns the end of a group into a channel.
type groupWaiter struct {
	group *sync.WaitGroup
	done  chan struct{}
}

func (w *groupWaiter) run() {
	w.group.Wait()
	close(w.done)
}

// track adds a connection to those that Close ends and Bytes counts. It reports
// whether the node is still open.
func (n *Node) track(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = struct{}{}
	return !n.closed
}

func (n *Node) untrack(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
	n.stats.endedBytes.Add(c.bytes())
}

// serverTLS demands a certificate from each peer. It reads the keys anew for
// each connection, so that they can rotate.
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

// clientTLS accepts only a peer whose certificate carries the name.
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
	}
}

// checkName fails unless the certificate carries the VM's own name: peers would
// refuse it otherwise, and each would report it anew.
func checkName(source *keys.Source, name string) error {
	if source == nil {
		return errors.New("peer keys: none given")
	}
	leaf, err := x509.ParseCertificate(source.Credentials(time.Now()).Cert.Certificate[0])
	if err != nil {
		return fmt.Errorf("peer keys: %w", err)
	}
	if err := leaf.VerifyHostname(name); err != nil {
		return fmt.Errorf("peer keys: the certificate is not for %q: %w", name, err)
	}
	return nil
}

func localAddress(socket *net.UDPConn) netip.AddrPort {
	if addr, ok := socket.LocalAddr().(*net.UDPAddr); ok {
		return addr.AddrPort()
	}
	return netip.AddrPort{}
}
