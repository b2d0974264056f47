package guard

import (
	"fmt"
	"io"
	"time"
)

// Stream is a message that arrives on one of many streams of a connection. A nil Stream sets no
// limits.
type Stream struct{ conn *Conn }

// OpenStream takes the cost of a stream. Until Complete is called, the guard may close the stream to
// make room for others, or because its message makes less than the least progress. The error wraps
// ErrRefused.
func (p *Port) OpenStream(cost int, stream io.Closer) (*Stream, error) {
	if p == nil {
		return nil, nil //nolint:nilnil // a nil stream sets no limits
	}
	if err := p.Take(cost, Streams); err != nil {
		return nil, err
	}
	c := &Conn{port: p, socket: stream, cost: int64(cost)}
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	c.enter(body, time.Now())
	p.share.conns[c] = struct{}{}
	return &Stream{c}, nil
}

// Received takes the cost of bytes that have arrived. The error wraps ErrRefused.
func (s *Stream) Received(n, cost int) error {
	if s == nil {
		return nil
	}
	g, c, now := s.conn.port.guard, s.conn, time.Now()
	g.mu.Lock()
	c.advance(n, now)
	closing, ok := c.hold(int64(cost), now)
	if !ok && !c.detached {
		g.refused[Memory]++
	}
	g.mu.Unlock()
	closeAll(closing)
	if !ok {
		return fmt.Errorf("%w: message of a stream", ErrRefused)
	}
	return nil
}

// Complete notes that the message has arrived and will be handled. It returns an error that wraps
// ErrRefused, and the message must not be handled, if the guard has closed the stream.
func (s *Stream) Complete() error {
	if s == nil {
		return nil
	}
	s.conn.port.guard.mu.Lock()
	defer s.conn.port.guard.mu.Unlock()
	if s.conn.detached {
		return fmt.Errorf("%w: stream was closed", ErrRefused)
	}
	s.conn.enter(working, time.Now())
	return nil
}

// Close gives back what the stream has taken.
func (s *Stream) Close() {
	if s == nil {
		return
	}
	s.conn.port.guard.mu.Lock()
	defer s.conn.port.guard.mu.Unlock()
	s.conn.detach()
}
