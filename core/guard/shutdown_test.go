package guard

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// heldConn holds back what one read returns until it is resumed, as a processor does that is busy with
// something else.
type heldConn struct {
	net.Conn
	hold      chan struct{}
	read      chan struct{}
	resume    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.hold:
		if n > 0 {
			close(c.read)
			<-c.resume
		}
	default:
	}
	return n, err
}

func (c *heldConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// heldListener accepts connections as heldConns.
type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &heldConn{Conn: conn, hold: make(chan struct{}), read: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{})}
	l.conns <- c
	return c, nil
}

// heldServer is a server with the connection of one client.
type heldServer struct {
	port   *Port
	server *http.Server
	conn   *heldConn
	client net.Conn
	reader *bufio.Reader
}

const (
	firstRequest  = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
	secondRequest = "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
)

// newHeldServer returns a server whose client has connected and, if kept is set, has had the answer to a
// request.
func newHeldServer(t *testing.T, kept bool) *heldServer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := New(ctx, Options{Limits: testLimits})
	port := g.Port(Callers, Refusal{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: l, conns: make(chan *heldConn, 1)}
	server := port.Wrap(&http.Server{
		ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
		}),
	})
	go (&testServer{server, port.listener(held)}).run()
	t.Cleanup(func() { _ = server.Close() })
	s := &heldServer{port: port, server: server, client: dialTest(t, l.Addr().String())}
	s.reader = bufio.NewReader(s.client)
	s.conn = <-held.conns
	if kept {
		s.send(t, firstRequest)
		s.expect(t, "/first ", false)
	}
	return s
}

func (s *heldServer) send(t *testing.T, request string) {
	t.Helper()
	if _, err := io.WriteString(s.client, request); err != nil {
		t.Fatal(err)
	}
}

// expect checks the next answer, and whether it announces the end of the connection.
func (s *heldServer) expect(t *testing.T, want string, last bool) {
	t.Helper()
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(body) != want || response.Close != last {
		t.Errorf("answer %d %q, close %v, error %v; want 200 %q, close %v", response.StatusCode, body, response.Close, err, want, last)
	}
}

// sendHeld sends the second request and waits until the server has read it.
func (s *heldServer) sendHeld(t *testing.T) {
	t.Helper()
	close(s.conn.hold)
	s.send(t, secondRequest)
	<-s.conn.read
}

// resumeAfter resumes the read once the connection is closed, or after a time that is long enough to
// close it.
func (s *heldServer) resumeAfter(wait time.Duration) {
	select {
	case <-s.conn.closed:
	case <-time.After(wait):
	}
	close(s.conn.resume)
}

// shutdownCall is a call of Shutdown.
type shutdownCall struct {
	*heldServer
	done chan error
}

func (c *shutdownCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.done <- c.port.Shutdown(ctx, c.server)
}

// TestShutdownAnswersRequestThatWasRead guards against a request that ends without an answer because
// the server was told to shut down after it had read the request and before it had parsed it.
func TestShutdownAnswersRequestThatWasRead(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			s := newHeldServer(t, kept)
			s.sendHeld(t)
			call := &shutdownCall{s, make(chan error, 1)}
			go call.run()
			s.resumeAfter(100 * time.Millisecond)
			s.expect(t, "/second body", true)
			if err := <-call.done; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
		})
	}
}

// TestIdleTimeoutAnswersRequestThatWasRead guards against the same when the timeout of idle connections
// is reached, which a configuration may shorten.
func TestIdleTimeoutAnswersRequestThatWasRead(t *testing.T) {
	s := newHeldServer(t, true)
	s.sendHeld(t)
	s.port.SetTimeouts(3*time.Second, time.Millisecond)
	s.resumeAfter(4 * sweepInterval)
	s.expect(t, "/second body", false)
}

// TestIdleTimeoutEndsUnusedConnection checks that a connection without a request is closed once the
// timeout is reached.
func TestIdleTimeoutEndsUnusedConnection(t *testing.T) {
	s := newHeldServer(t, true)
	s.port.SetTimeouts(3*time.Second, time.Millisecond)
	if _, err := s.reader.ReadByte(); err != io.EOF {
		t.Errorf("read from the connection: %v, want %v", err, io.EOF)
	}
	<-s.conn.closed
}

// TestShutdownEndsUnusedConnections checks that connections without a request do not hold up a
// shutdown, and that one with a part of a header does for a bounded time.
func TestShutdownEndsUnusedConnections(t *testing.T) {
	cases := map[string]struct {
		kept  bool
		sent  string
		limit time.Duration
	}{
		"kept connection":          {true, "", time.Second},
		"new connection":           {false, "", 3 * time.Second},
		"slow header":              {true, "GET /second HTTP", 3 * time.Second},
		"slow header of the first": {false, "GET /second HTTP", 5 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHeldServer(t, c.kept)
			s.send(t, c.sent)
			began := time.Now()
			call := &shutdownCall{s, make(chan error, 1)}
			go call.run()
			if err := <-call.done; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
			if took := time.Since(began); took > c.limit {
				t.Errorf("shutdown took %v, want at most %v", took, c.limit)
			}
			if _, err := s.reader.ReadByte(); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
