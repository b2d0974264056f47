package guard

import (
	"io"
	"net"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// fresh connections have sent nothing yet; idle ones nothing since the last answer.
	fresh phase = iota
	idle
	header
	// body is the phase in which the server waits for bytes of a body.
	body
	// working is the phase in which the client is not to blame for a lack of progress.
	working
	// writing is the phase in which the server waits until the client reads an answer.
	writing
)

// writePiece is how much of an answer is written at a time, so that progress shows.
const writePiece = 16 << 10

// Conn is a connection of a port. It counts what arrives, and how long its client makes no progress.
type Conn struct {
	net.Conn
	port *Port
	// socket is closed to make room: the connection, or the stream that this stands for.
	socket io.Closer
	// cost is what it takes while it is open.
	cost int64

	// The mutex of the guard protects the fields below.
	phase phase
	// since is the start of the phase, progress the bytes since then, progressAt when progressBytes
	// had last arrived or left.
	since, progressAt time.Time
	progress, counted int64
	// held is the cost of the current request, bodyHeld the part that is for its body.
	held, bodyHeld int64
	// reads has the progress of the current body between two reads.
	reads    bodyReads
	hijacked bool
	detached bool
	// active is set while the server knows of a request on the connection.
	active bool
	// retired is set if the connection may carry no other request.
	retired bool
}

// bodyReads is the progress of a body while the server does not wait for it. The zero value is that
// of a body that was not read yet.
type bodyReads struct {
	since, progressAt, pausedAt time.Time
	progress, counted           int64
}

// enter starts a phase. The mutex must be held.
func (c *Conn) enter(p phase, now time.Time) {
	c.phase, c.since, c.progressAt, c.progress, c.counted = p, now, now, 0, 0
}

// advance adds bytes to the progress of the phase. The mutex must be held.
func (c *Conn) advance(n int, now time.Time) {
	c.progress += int64(n)
	if c.progress-c.counted >= progressBytes {
		c.counted, c.progressAt = c.progress, now
	}
}

// waitsForClient reports whether the connection may be closed to make room. The mutex must be held.
func (c *Conn) waitsForClient() bool { return c.phase != working && !c.hijacked }

// isTooSlow reports whether the connection has reached a timeout of its phase, or a body or the reading
// of an answer makes less than the least progress. The mutex must be held.
func (c *Conn) isTooSlow(now time.Time) bool {
	switch c.phase {
	case fresh, header:
		return c.port.headerTimeout > 0 && now.Sub(c.since) > c.port.headerTimeout
	case idle:
		return c.port.idleTimeout > 0 && now.Sub(c.since) > c.port.idleTimeout
	case working:
		return false
	case body, writing:
	}
	if c.hijacked {
		return false
	}
	allowed := progressGrace + time.Duration(c.progress)*time.Second/leastRate
	return now.Sub(c.progressAt) > stallTimeout || now.Sub(c.since) > allowed
}

// stallReason returns the reason for closing the connection in its phase. The mutex must be held.
func (c *Conn) stallReason() Reason {
	if c.Conn == nil {
		return Streams
	}
	switch c.phase {
	case header:
		return SlowHeader
	case body:
		return SlowBody
	case writing:
		return UnreadAnswer
	default:
		return Idle
	}
}

// release gives back the cost of the current request. The mutex must be held.
func (c *Conn) release() {
	c.port.share.used -= c.held
	c.held, c.bodyHeld, c.reads = 0, 0, bodyReads{}
}

// detach removes the connection from its port and gives back what it holds. The mutex must be held.
func (c *Conn) detach() {
	if c.detached {
		return
	}
	c.release()
	c.detached = true
	c.port.share.used -= c.cost
	delete(c.port.share.conns, c)
}

// hold takes the cost of bytes for the current request. The mutex must be held.
func (c *Conn) hold(cost int64, now time.Time) (closing []*Conn, ok bool) {
	if c.detached {
		return nil, false
	}
	closing, ok = c.port.guard.take(c.port.share, cost, now)
	switch {
	case ok && c.detached:
		// The connection was itself the longest without progress.
		c.port.share.used -= cost
		return closing, false
	case ok:
		c.held += cost
	}
	return closing, ok
}

// Read reads from the connection. Bytes of a header are taken from the budget. It returns io.EOF once
// the connection may carry no other request.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.mayRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, ErrRefused
	}
	return n, err
}

// received counts bytes that have arrived. It reports false, and has answered with a refusal, if
// there is no room for the header that they belong to.
func (c *Conn) received(n int) bool {
	g, now := c.port.guard, time.Now()
	g.mu.Lock()
	c.unretire()
	switch c.phase {
	case fresh, idle:
		c.enter(header, now)
	case body:
		c.advance(n, now)
	}
	if c.phase != header {
		g.mu.Unlock()
		return true
	}
	closing, ok := c.hold(int64(n)*headerCost, now)
	if !ok && !c.detached {
		g.refused[Memory]++
	}
	g.mu.Unlock()
	closeAll(closing)
	if !ok {
		c.port.refuse(c.Conn)
	}
	return ok
}

// Write writes an answer in pieces, so that the guard sees whether the client reads it.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.setPhase(writing)
	defer c.setPhase(before)
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.wrote(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *Conn) wrote(n int) {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	c.advance(n, time.Now())
}

// setPhase enters a phase and returns the one before.
func (c *Conn) setPhase(p phase) phase {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	before := c.phase
	c.enter(p, time.Now())
	return before
}

// CloseWrite closes the sending side, which lets the client read a refusal before the connection is
// closed.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.port.guard.mu.Lock()
	c.detach()
	c.port.guard.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest notes that the server knows of a request.
func (c *Conn) beginRequest() {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	c.active = true
}

// endRequest gives back the cost of a request that has been answered.
func (c *Conn) endRequest() {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	c.release()
	c.active = false
	c.enter(idle, time.Now())
}

// hijack notes that the connection no longer carries HTTP: its new owner has timeouts of its own.
func (c *Conn) hijack() {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	c.release()
	c.enter(working, time.Now())
	c.hijacked = true
}

// Take takes bytes of the port's share for a connection that no longer carries HTTP. The error
// wraps ErrRefused.
func (c *Conn) Take(n int) error {
	g := c.port.guard
	g.mu.Lock()
	closing, ok := c.hold(int64(n), time.Now())
	if !ok {
		g.refused[Memory]++
	}
	g.mu.Unlock()
	closeAll(closing)
	if !ok {
		return ErrRefused
	}
	return nil
}

// Give gives back all that Take has taken.
func (c *Conn) Give() {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	c.release()
}
