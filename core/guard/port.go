package guard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	// Socket buffers, in bytes; the kernel allows itself twice as much. Between regions, 24 ms there
	// and back, callerReceiveBuffer lets a body of 262,144 bytes arrive in 0.4 s. Links between VMs
	// carry up to 250 kB per second.
	callerReceiveBuffer = 16 << 10
	otherReceiveBuffer  = 32 << 10
	sendBuffer          = 64 << 10
	// callerBacklog and otherBacklog are the connections that wait to be accepted. The kernel receives
	// for them as well, at most 22 MB for callers. A caller that finds the backlog full connects a second later.
	callerBacklog = 1024
	otherBacklog  = 128

	// A refused client is to come back after minRetryAfter to maxRetryAfter, at random so that a
	// crowd does not return together.
	minRetryAfter, maxRetryAfter = 1, 3
	// refusalTimeout bounds the writing of a refusal to a socket whose send buffer is empty.
	refusalTimeout = 100 * time.Millisecond
)

// Refusal is the body of an answer 503. The zero Refusal is a JSON object with the field error.
type Refusal struct {
	ContentType string
	Body        string
}

// defaultRefusal says that the request has not run.
var defaultRefusal = Refusal{ContentType: "application/json", Body: `{"error":"overloaded, the request has not run"}`}

// Port is the part of a guard for the listener of one class of clients.
type Port struct {
	guard   *Guard
	class   Class
	share   *share
	refusal Refusal

	// The mutex of the guard protects the timeouts: those of the server, and those in force. Zero is
	// none.
	serverHeader, serverIdle   time.Duration
	headerTimeout, idleTimeout time.Duration
	// closing is set once the port shuts down, listeners holds the listeners to close then. The mutex of
	// the guard protects both.
	closing   bool
	listeners []net.Listener
}

// Port returns the port of a class. Several listeners may use one class; they then have one share.
func (g *Guard) Port(class Class, refusal Refusal) *Port {
	if g == nil {
		return nil
	}
	if refusal.Body == "" {
		refusal = defaultRefusal
	}
	return &Port{guard: g, class: class, share: g.ports[class], refusal: refusal}
}

// Listen opens a TCP listener whose connections are bounded in number and in kernel buffers.
func (p *Port) Listen(address string) (net.Listener, error) {
	if p == nil {
		return net.Listen("tcp", address)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = p.boundBuffers(int(fd)) })
		if err != nil {
			return err
		}
		return failed
	}}
	// A socket of multipath TCP has buffers of its own besides those of its paths.
	config.SetMultipathTCP(false)
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := p.boundBacklog(inner); err != nil {
		return nil, errors.Join(err, inner.Close())
	}
	return p.listener(inner), nil
}

// listener returns a listener of the port, which closes it when it shuts down.
func (p *Port) listener(inner net.Listener) net.Listener {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.listeners = append(p.listeners, inner)
	return &listener{Listener: inner, port: p}
}

// boundBacklog replaces the backlog of a listener, which is the system's largest.
func (p *Port) boundBacklog(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("set backlog: %w", err)
	}
	backlog := otherBacklog
	if p.class == Callers {
		backlog = callerBacklog
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("set backlog: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set backlog: %w", failed)
	}
	return nil
}

// boundBuffers sets the buffers of a listening socket, which its connections inherit.
func (p *Port) boundBuffers(fd int) error {
	receive := otherReceiveBuffer
	if p.class == Callers {
		receive = callerReceiveBuffer
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive); err != nil {
		return fmt.Errorf("set receive buffer: %w", err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer); err != nil {
		return fmt.Errorf("set send buffer: %w", err)
	}
	return nil
}

// listener refuses connections beyond the port's limit.
type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection for which there is room. The error is http.ErrServerClosed once
// the port shuts down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err != nil && l.port.isClosing():
			return nil, http.ErrServerClosed
		case err != nil:
			return nil, err
		}
		if c := l.port.admit(conn); c != nil {
			return c, nil
		}
		l.port.refuse(conn)
		_ = conn.Close()
	}
}

// admit returns the connection with its cost taken, or nil if there is no room or the port shuts down.
func (p *Port) admit(conn net.Conn) *Conn {
	g, s, now := p.guard, p.share, time.Now()
	g.mu.Lock()
	if p.closing {
		g.mu.Unlock()
		return nil
	}
	var closing []*Conn
	if len(s.conns) >= s.maxConnections {
		target := s.maxConnections - 1 - int(roomShare*float64(s.maxConnections))
		closing = g.evict(s, now, func() bool { return len(s.conns) <= target })
	}
	var c *Conn
	if len(s.conns) >= s.maxConnections {
		g.refused[Connections]++
	} else {
		more, ok := g.take(s, connectionCost, now)
		closing = append(closing, more...)
		if ok {
			c = &Conn{Conn: conn, port: p, socket: conn, cost: connectionCost}
			c.enter(fresh, now)
			s.conns[c] = struct{}{}
		} else {
			g.refused[Memory]++
		}
	}
	g.mu.Unlock()
	closeAll(closing)
	return c
}

// refuse writes a refusal to a connection that has sent no complete header.
func (p *Port) refuse(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		retryAfter(), p.refusal.ContentType, len(p.refusal.Body), p.refusal.Body)
}

// retryAfter returns the value of a Retry-After header, in seconds.
func retryAfter() string {
	return strconv.Itoa(minRetryAfter + rand.IntN(maxRetryAfter-minRetryAfter+1))
}

// Wrap adds the limits of the port to a server and returns it. The server must serve listeners of
// the port. The port takes over its timeouts of headers and idle connections.
func (p *Port) Wrap(s *http.Server) *http.Server {
	if p == nil {
		return s
	}
	p.guard.mu.Lock()
	p.serverHeader, p.serverIdle = s.ReadHeaderTimeout, s.IdleTimeout
	p.headerTimeout, p.idleTimeout = p.serverHeader, p.serverIdle
	p.guard.mu.Unlock()
	// Without a value of its own, the server would take ReadTimeout for both.
	s.ReadHeaderTimeout, s.IdleTimeout = -1, -1
	s.Handler = &handler{next: s.Handler, port: p}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.beginRequest()
		case http.StateIdle:
			c.endRequest()
		case http.StateHijacked:
			c.hijack()
		case http.StateNew, http.StateClosed:
		}
	}
	return s
}

// Take takes bytes of the port's share for a message that does not arrive through a listener of
// the port. The error wraps ErrRefused; it is counted under a reason.
func (p *Port) Take(n int, why Reason) error {
	if p == nil {
		return nil
	}
	p.guard.mu.Lock()
	closing, ok := p.guard.take(p.share, int64(n), time.Now())
	if !ok {
		p.guard.refused[why]++
	}
	p.guard.mu.Unlock()
	closeAll(closing)
	if !ok {
		return fmt.Errorf("%w: %s", ErrRefused, why)
	}
	return nil
}

// Give gives back bytes that Take has taken.
func (p *Port) Give(n int) {
	if p == nil {
		return
	}
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.share.used -= int64(n)
}

// SetTimeouts replaces the timeouts of headers and of idle connections. Zero means that of the
// server.
func (p *Port) SetTimeouts(header, idle time.Duration) {
	if p == nil {
		return
	}
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.headerTimeout, p.idleTimeout = p.serverHeader, p.serverIdle
	if header > 0 {
		p.headerTimeout = header
	}
	if idle > 0 {
		p.idleTimeout = idle
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}
