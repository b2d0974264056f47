package guard

import (
	"context"
	"net/http"
	"time"
)

const (
	// freshGrace is how long an open connection may send nothing at all before it counts as unused at a
	// shutdown.
	freshGrace = time.Second
	// headerGrace is how long a shutdown waits for the rest of a header.
	headerGrace = time.Second
	// shutdownInterval is the time between two looks at the connections.
	shutdownInterval = 2 * time.Millisecond
)

// aLongTimeAgo is a deadline that wakes a read that waits.
var aLongTimeAgo = time.Unix(1, 0)

// Shutdown is the method of the same name of a server of the port, except that each request that was
// read is answered. On its own, the server closes a connection as unused until it has parsed the header
// of the request, and drops each request of which it has parsed the header since the call.
func (p *Port) Shutdown(ctx context.Context, s *http.Server) error {
	if p != nil {
		p.close()
		p.awaitRequests(ctx)
	}
	return s.Shutdown(ctx)
}

// close closes the listeners. From then on, connections end with their next answer.
func (p *Port) close() {
	p.guard.mu.Lock()
	p.closing = true
	listeners := p.listeners
	p.listeners = nil
	p.guard.mu.Unlock()
	for _, l := range listeners {
		// It fails only if it is closed.
		_ = l.Close()
	}
}

// awaitRequests ends the connections that carry no request, and returns once the others have ended,
// or when ctx ends. It waits for a header that has arrived in part until headerGrace has passed.
func (p *Port) awaitRequests(ctx context.Context) {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for began := time.Now(); ; {
		now := time.Now()
		requests, headers := p.retireUnused(now)
		if requests == 0 && (headers == 0 || now.Sub(began) > headerGrace) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// retireUnused retires the connections that carry no request. It returns how many connections are
// still to be waited for, apart from those with a part of a header, and the number of these.
func (p *Port) retireUnused(now time.Time) (requests, headers int) {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	for c := range p.share.conns {
		if c.port != p || c.hijacked {
			continue
		}
		switch {
		case c.phase == header && !c.active:
			headers++
			continue
		case c.phase == idle, c.phase == fresh && now.Sub(c.since) > freshGrace:
			c.retire()
		}
		requests++
	}
	return requests, headers
}

// isClosing reports whether the port is shutting down.
func (p *Port) isClosing() bool {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	return p.closing
}

// retire ends a connection that carries no request: the next read returns nothing, and the server
// closes it. If a read has already returned bytes, they are served instead. The mutex must be held.
func (c *Conn) retire() {
	if c.retired {
		return
	}
	c.retired = true
	// It fails only if the connection is closed.
	_ = c.SetReadDeadline(aLongTimeAgo)
}

// unretire takes back a retirement, since bytes were read before it. The mutex must be held.
func (c *Conn) unretire() {
	if c.retired {
		c.retired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// mayRead reports whether the connection may carry another request.
func (c *Conn) mayRead() bool {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	return !c.retired && (!c.port.closing || c.phase != idle)
}
