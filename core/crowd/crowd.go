package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Form is how the clients of a crowd send their requests.
type Form int

// The forms of requests.
const (
	// Whole sends a body with its length in one write.
	Whole Form = iota
	// Pieces sends a body with its length in writes of pieceBytes.
	Pieces
	// LargeChunks sends a chunked body in chunks of largeChunkBytes.
	LargeChunks
	// SmallChunks sends a chunked body in chunks of smallChunkBytes.
	SmallChunks
	// SlowHeader sends one byte of the header per slowInterval, slowBytes in all.
	SlowHeader
	// Unread sends pipelined requests without a body, and reads no answer.
	Unread
	// Idle sends nothing.
	Idle
)

const (
	pieceBytes      = 16 << 10
	largeChunkBytes = 64 << 10
	smallChunkBytes = 4
	slowInterval    = 50 * time.Millisecond
	slowBytes       = 60
	// pipelined is the number of requests that a client of the form Unread sends.
	pipelined = 4000
	// completeOneIn is the number of clients per client that completes its body.
	completeOneIn = 10
	// dialsAtOnce stays below the backlog of a listener.
	dialsAtOnce = 64
	// sendTimeout ends the sending of a client whose server does not read.
	sendTimeout = 20 * time.Second
	// unreadReceiveBytes is the receive buffer of a client that does not read.
	unreadReceiveBytes = 4096
)

// Options describe a crowd.
type Options struct {
	Address netip.AddrPort
	Clients int
	// Head is the request line and the header lines, each with its line end, without those that
	// tell the length of the body.
	Head string
	Body []byte
	Form Form
	// Missing is the number of bytes that most clients leave out at the end of the body, and do
	// not end it. One in completeOneIn sends it whole; all do if Missing is 0.
	Missing int
}

// Crowd is a set of clients.
type Crowd struct {
	opts    Options
	sending sync.WaitGroup
	dials   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// Start starts the clients.
func Start(opts Options) *Crowd {
	c := &Crowd{opts: opts, dials: make(chan struct{}, dialsAtOnce)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	whole, short := wire(opts, 0), wire(opts, opts.Missing)
	for i := range opts.Clients {
		data := short
		if i%completeOneIn == 0 {
			data = whole
		}
		c.sending.Add(1)
		go (&client{crowd: c, data: data}).run()
	}
	return c
}

// Wait waits until each client has sent all that it will send, or has failed.
func (c *Crowd) Wait() { c.sending.Wait() }

// Close closes all connections.
func (c *Crowd) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
}

// keep adds a connection to those that Close closes.
func (c *Crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	if c.closed {
		_ = conn.Close()
	}
}

// wire returns what a client sends, with the last missing bytes of the body left out.
func wire(opts Options, missing int) []byte {
	var out bytes.Buffer
	out.WriteString(opts.Head)
	switch opts.Form {
	case Whole, Pieces:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(opts.Body))
		out.Write(opts.Body[:len(opts.Body)-missing])
	case LargeChunks, SmallChunks:
		size := largeChunkBytes
		if opts.Form == SmallChunks {
			size = smallChunkBytes
		}
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := opts.Body[:len(opts.Body)-missing]; len(rest) > 0; {
			n := min(size, len(rest))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		if missing == 0 {
			out.WriteString("0\r\n\r\n")
		}
	case Unread:
		out.WriteString("\r\n")
		return bytes.Repeat(out.Bytes(), pipelined)
	case SlowHeader:
		return append(out.Bytes(), "X-Slow: "+string(bytes.Repeat([]byte("x"), slowBytes))...)
	case Idle:
		return nil
	}
	return out.Bytes()
}

// client is one client of a crowd.
type client struct {
	crowd *Crowd
	data  []byte
}

// run connects and sends. What the server does with the connection is of no interest.
func (c *client) run() {
	defer c.crowd.sending.Done()
	c.crowd.dials <- struct{}{}
	conn, err := c.dial()
	<-c.crowd.dials
	if err != nil {
		return
	}
	c.crowd.keep(conn)
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	switch c.crowd.opts.Form {
	case SlowHeader:
		head := len(c.data) - slowBytes
		if _, err := conn.Write(c.data[:head]); err != nil {
			return
		}
		c.send(conn, c.data[head:], 1, slowInterval)
	case Pieces:
		c.send(conn, c.data, pieceBytes, time.Millisecond)
	default:
		_, _ = conn.Write(c.data)
	}
}

func (c *client) dial() (net.Conn, error) {
	dialer := net.Dialer{}
	if c.crowd.opts.Form == Unread {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadReceiveBytes)
			})
		}
	}
	return dialer.DialContext(c.crowd.ctx, "tcp", c.crowd.opts.Address.String())
}

// send writes data in pieces with a pause after each, until a write fails or the crowd is closed.
func (c *client) send(conn net.Conn, data []byte, size int, pause time.Duration) {
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
		select {
		case <-c.crowd.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}
