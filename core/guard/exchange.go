package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// handler serves requests with bodies and answers that are taken from the budget.
type handler struct {
	next http.Handler
	port *Port
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.setPhase(working)
	x := &exchange{ResponseWriter: w, conn: c, ended: r.Body == nil || r.Body == http.NoBody}
	if !x.ended {
		// The server decides by the type of the body in its own request whether to read the rest.
		copied := *r
		copied.Body = &requestBody{ReadCloser: r.Body, exchange: x}
		r = &copied
	}
	h.next.ServeHTTP(x, r)
	x.begin(http.StatusOK)
}

// exchange is a request and its answer.
type exchange struct {
	http.ResponseWriter
	conn *Conn
	// ended is true once the body was read to its end. refused is the status of the guard's own
	// answer, 0 if it has not refused the request.
	ended   bool
	refused int
	begun   bool
}

// begin prepares the answer: it replaces that of the handler if the request was refused. After
// that, the server may read what is left of the body.
func (x *exchange) begin(status int) {
	if x.begun {
		return
	}
	x.begun = true
	if x.refused != 0 {
		x.writeRefusal()
		return
	}
	if !x.ended {
		x.conn.setPhase(body)
	}
	if x.conn.port.isClosing() {
		x.Header().Set("Connection", "close")
	}
	if status != http.StatusOK {
		x.ResponseWriter.WriteHeader(status)
	}
}

func (x *exchange) writeRefusal() {
	header, refusal := x.Header(), x.conn.port.refusal
	clear(header)
	header.Set("Connection", "close")
	header.Set("Content-Type", refusal.ContentType)
	if x.refused == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter())
	}
	// The server waits a moment before it closes the connection. Meanwhile it may make room.
	x.conn.setPhase(idle)
	x.ResponseWriter.WriteHeader(x.refused)
	_, _ = io.WriteString(x.ResponseWriter, refusal.Body)
}

// WriteHeader sends the status of the answer.
func (x *exchange) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		x.begin(status)
		return
	}
	x.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer. It takes its bytes from the budget while the client has not
// read them. An answer exists already, so it is written even if there is no room.
func (x *exchange) Write(p []byte) (int, error) {
	x.begin(http.StatusOK)
	if x.refused != 0 {
		return len(p), nil
	}
	cost := int64(len(p)) * answerCost
	x.conn.holdAnswer(cost)
	defer x.conn.giveAnswer(cost)
	return x.ResponseWriter.Write(p)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

// Flush sends what was written.
func (x *exchange) Flush() {
	x.begin(http.StatusOK)
	_ = http.NewResponseController(x.ResponseWriter).Flush()
}

// Hijack takes over the connection. It keeps its place and its cost until it is closed.
func (x *exchange) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	x.begun = true
	return http.NewResponseController(x.ResponseWriter).Hijack()
}

// holdAnswer takes the cost of an answer. If there is no room, stalled connections are closed, and
// the cost is taken beyond the share.
func (c *Conn) holdAnswer(cost int64) {
	g, now := c.port.guard, time.Now()
	g.mu.Lock()
	closing, ok := c.hold(cost, now)
	if !ok && !c.detached {
		c.held += cost
		c.port.share.used += cost
	}
	g.mu.Unlock()
	closeAll(closing)
}

func (c *Conn) giveAnswer(cost int64) {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	if !c.detached {
		c.held -= cost
		c.port.share.used -= cost
	}
}

// requestBody is a body whose bytes are taken from the budget as they arrive.
type requestBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads from the body. It returns ErrRefused, and the answer will be a refusal, if there is no
// room for what arrived.
func (b *requestBody) Read(p []byte) (int, error) {
	x := b.exchange
	if x.refused != 0 {
		return 0, ErrRefused
	}
	x.conn.beginRead()
	n, err := b.ReadCloser.Read(p)
	if status := x.conn.endRead(n); status != 0 {
		x.refused = status
		return 0, ErrRefused
	}
	if err == io.EOF {
		x.ended = true
	}
	return n, err
}

// beginRead notes that the server waits for the body. The time between reads is not held against
// the client.
func (c *Conn) beginRead() {
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	now := time.Now()
	c.enter(body, now)
	if r := c.reads; !r.since.IsZero() {
		pause := now.Sub(r.pausedAt)
		c.since, c.progressAt, c.progress, c.counted = r.since.Add(pause), r.progressAt.Add(pause), r.progress, r.counted
	}
}

// endRead counts bytes of a body and takes their cost. It returns the status of a refusal, or 0.
func (c *Conn) endRead(n int) int {
	g, now := c.port.guard, time.Now()
	g.mu.Lock()
	c.reads = bodyReads{since: c.since, progressAt: c.progressAt, pausedAt: now, progress: c.progress, counted: c.counted}
	c.enter(working, now)
	cost := int64(n) * bodyCost
	if c.bodyHeld+cost > c.port.share.maxBody {
		g.refused[Memory]++
		g.mu.Unlock()
		return http.StatusRequestEntityTooLarge
	}
	closing, ok := c.hold(cost, now)
	if ok {
		c.bodyHeld += cost
	} else if !c.detached {
		g.refused[Memory]++
	}
	g.mu.Unlock()
	closeAll(closing)
	if !ok {
		return http.StatusServiceUnavailable
	}
	return 0
}
