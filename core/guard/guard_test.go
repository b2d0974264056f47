package guard

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testLimits give the callers a share of 18 MB and 80 connections.
var testLimits = Limits{MemoryBytes: 100_000_000, Descriptors: 400}

// documentedHeaderBytes is the documented limit of a header.
const documentedHeaderBytes = 16384

// serveTest starts a server at the callers' port that reads the body and answers with its length. The
// paths /early and /large answer without reading it, /large with 8 MB.
func serveTest(t *testing.T, limits Limits) (*Guard, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := New(ctx, Options{Limits: limits})
	port := g.Port(Callers, Refusal{})
	l, err := port.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := port.Wrap(&http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: documentedHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/early":
				w.WriteHeader(http.StatusNotFound)
				return
			case "/large":
				_, _ = w.Write(make([]byte, 8<<20))
				return
			}
			data, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprint(w, len(data))
		})})
	go (&testServer{server, l}).run()
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

type testServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *testServer) run() { _ = s.server.Serve(s.listener) }

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// awaitCount waits until a connection was refused or closed for a reason.
func awaitCount(t *testing.T, g *Guard, why Reason) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if g.Counts().Refused[why.String()] > 0 {
			return
		}
	}
	t.Errorf("no connection was closed for %s: %v", why, g.Counts())
}

// TestDocumentedLimitsAreServed guards against limits that refuse a single client within the
// documented limits: the largest body and header, on a process with little memory.
func TestDocumentedLimitsAreServed(t *testing.T) {
	for name, limits := range map[string]Limits{
		"small VM":       {MemoryBytes: 184_000_000, Descriptors: 4100},
		"hardly any VM":  {MemoryBytes: 1_000_000, Descriptors: 210},
		"machine limits": {},
	} {
		t.Run(name, func(t *testing.T) {
			g, address := serveTest(t, limits)
			for range 3 {
				request, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("x", documentedBodyBytes)))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("X-Long", strings.Repeat("h", documentedHeaderBytes-1024))
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				text, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK || string(text) != fmt.Sprint(documentedBodyBytes) {
					t.Errorf("status %d, body %s", response.StatusCode, text)
				}
			}
			for reason, count := range g.Counts().Refused {
				if count > 0 {
					t.Errorf("%d connections refused for %s", count, reason)
				}
			}
		})
	}
}

// TestRefusalOfBody guards against a refusal that is not answered with 503 and Retry-After, or that
// keeps the connection: the budget is used by requests that cannot be closed to make room.
func TestRefusalOfBody(t *testing.T) {
	g, address := serveTest(t, testLimits)
	if err := g.Port(Callers, Refusal{}).Take(int(g.ports[Callers].bytes)-connectionCost-8192, Memory); err != nil {
		t.Fatal(err)
	}
	conn := dialTest(t, address)
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", documentedBodyBytes, strings.Repeat("x", 16<<10)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, header %v, close %t", response.StatusCode, response.Header, response.Close)
	}
	awaitCount(t, g, Memory)
}

// TestStalledMakeRoom guards against a crowd that keeps connections open and so shuts out others: with
// all connections taken by clients that make no progress, another client is served.
func TestStalledMakeRoom(t *testing.T) {
	starts := map[string]struct {
		text string
		why  Reason
	}{
		"idle":   {"", Idle},
		"header": {"POST / HTTP/1.1\r\nHost", SlowHeader},
		"body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx", SlowBody},
		"early":  {"POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx", SlowBody},
		"answer": {"GET /large HTTP/1.1\r\nHost: h\r\n\r\n", UnreadAnswer},
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			g, address := serveTest(t, testLimits)
			for range g.ports[Callers].maxConnections {
				_, _ = io.WriteString(dialTest(t, address), start.text)
			}
			time.Sleep(2 * evictableAfter)
			response, err := http.Post("http://"+address, "text/plain", strings.NewReader("hello"))
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
			awaitCount(t, g, start.why)
		})
	}
}

// TestLeastProgress guards against a body or an answer that stays forever although there is no load,
// and against one that is closed although it progresses, or only because the process was suspended.
func TestLeastProgress(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		phase phase
		// bytes arrive each second for a time; then nothing arrives for silent.
		bytes        int
		time, silent time.Duration
		suspended    time.Duration
		wantClosed   bool
	}{
		"body without bytes":      {phase: body, silent: stallTimeout + time.Second, wantClosed: true},
		"answer that is not read": {phase: writing, silent: stallTimeout + time.Second, wantClosed: true},
		"single bytes":            {phase: body, bytes: 1, time: stallTimeout + time.Second, wantClosed: true},
		"documented body in 4 s":  {phase: body, bytes: documentedBodyBytes / 4, time: 4 * time.Second},
		"at twice the least rate": {phase: body, bytes: 2 * leastRate, time: time.Minute},
		"far below the rate":      {phase: body, bytes: leastRate / 8, time: 10 * time.Second, wantClosed: true},
		"request that is served":  {phase: working, silent: time.Hour},
		"header within its time":  {phase: header, bytes: 1, time: 3 * time.Second},
		"header beyond its time":  {phase: header, bytes: 1, time: 4 * time.Second, wantClosed: true},
		"no request at all":       {phase: fresh, silent: 4 * time.Second, wantClosed: true},
		"kept for 15 s":           {phase: idle, silent: 15 * time.Second},
		"kept for 16 s":           {phase: idle, silent: 16 * time.Second, wantClosed: true},
		"suspended process":       {phase: body, bytes: leastRate, time: time.Second, suspended: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &share{conns: make(map[*Conn]struct{})}
			g := &Guard{sweptAt: start}
			g.ports = [classCount]*share{s, {}, {}}
			socket, _ := net.Pipe()
			conn := &Conn{Conn: socket, port: &Port{guard: g, share: s, headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}}
			s.conns[conn] = struct{}{}
			conn.enter(c.phase, start)
			now, closed := start, false
			sweepUntil := func(end time.Time) {
				for ; now.Before(end); now = now.Add(sweepInterval) {
					closed = closed || len(g.sweep(now)) > 0 || conn.retired
				}
			}
			for range int(c.time / time.Second) {
				sweepUntil(now.Add(time.Second))
				conn.advance(c.bytes, now)
			}
			sweepUntil(now.Add(c.silent))
			now = now.Add(c.suspended)
			closed = closed || len(g.sweep(now)) > 0 || conn.retired
			if closed != c.wantClosed {
				t.Errorf("closed: %t, want %t", closed, c.wantClosed)
			}
		})
	}
}

// TestTimeoutsOfConfiguration guards against timeouts of the configuration that are not applied to the
// running server, or that stay when a later version has none.
func TestTimeoutsOfConfiguration(t *testing.T) {
	g := New(t.Context(), Options{Limits: testLimits})
	port := g.Port(Callers, Refusal{})
	server := port.Wrap(&http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	if server.ReadHeaderTimeout > 0 || server.IdleTimeout > 0 {
		t.Error("the server ends connections before a longer timeout of the configuration")
	}
	for name, c := range map[string]struct{ header, idle, wantHeader, wantIdle time.Duration }{
		"both": {5 * time.Second, 20 * time.Second, 5 * time.Second, 20 * time.Second},
		"none": {0, 0, 3 * time.Second, 15 * time.Second},
		"one":  {-time.Second, time.Second, 3 * time.Second, time.Second},
	} {
		port.SetTimeouts(c.header, c.idle)
		if port.headerTimeout != c.wantHeader || port.idleTimeout != c.wantIdle {
			t.Errorf("%s: timeouts %s and %s", name, port.headerTimeout, port.idleTimeout)
		}
	}
}

// TestBudgetIsGivenBack guards against bytes that stay taken after connections have ended, in each of
// the ways in which they end.
func TestBudgetIsGivenBack(t *testing.T) {
	g, address := serveTest(t, testLimits)
	for range 40 {
		for _, text := range []string{
			"", "POST /", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\nxxxx", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", "nonsense\r\n\r\n",
		} {
			conn := dialTest(t, address)
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
	var counts Counts
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if counts = g.Counts(); counts.BufferedBytes == 0 && counts.OpenConnections == 0 {
			return
		}
	}
	t.Errorf("after all connections have ended: %+v", counts)
}

// testStream counts how often it was closed.
type testStream struct{ closed int }

func (s *testStream) Close() error { s.closed++; return nil }

// TestStreams guards against streams that stay open without their message, and against a stream that
// is both reported as refused and handled.
func TestStreams(t *testing.T) {
	const cost = 16 << 10
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := New(ctx, Options{Limits: testLimits})
	port := g.Port(Peers, Refusal{})
	done := &testStream{}
	complete, err := port.OpenStream(cost, done)
	if err != nil || complete.Complete() != nil {
		t.Fatal(err)
	}
	first := &testStream{}
	stalled, err := port.OpenStream(cost, first)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * evictableAfter)
	for range int(g.ports[Peers].bytes/cost) - 1 {
		if _, err := port.OpenStream(cost, &testStream{}); err != nil {
			t.Fatal(err)
		}
	}
	if first.closed != 1 || !errors.Is(stalled.Complete(), ErrRefused) {
		t.Errorf("the stalled stream was closed %d times, and completes with %v", first.closed, stalled.Complete())
	}
	if done.closed != 0 {
		t.Error("a stream whose message is being handled was closed")
	}
}
