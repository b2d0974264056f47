package faults

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	api "tanagerstack.org/core/api/fault"
)

// defaultDelay is the delay of slow and late answers whose fault names none.
const defaultDelay = time.Second

// filter applies the faults of one VM to its requests.
type filter struct {
	faults *Switch
	member string
	next   http.Handler

	mu      sync.Mutex
	earlier *capture
}

// ServeHTTP runs the request, or lets it fail as the fault in force says.
func (f *filter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, changed := f.faults.strike(f.member)
	if spoilsAnswer(fault.Kind) && reads(r) {
		f.next.ServeHTTP(w, r)
		return
	}
	switch fault.Kind {
	case api.FaultKindDown:
		reset(w)
	case api.FaultKindSlow:
		if sleep(r.Context(), fault.Delay.Or(defaultDelay)) {
			f.next.ServeHTTP(w, r)
		}
	case api.FaultKindLostAnswer:
		f.run(r)
		reset(w)
	case api.FaultKindSilent:
		stayQuiet(r)
	case api.FaultKindShortBody:
		f.run(r).sendHalf(w)
	case api.FaultKindSwappedAnswer:
		f.swap(f.run(r)).send(w)
	case api.FaultKindLateAnswer:
		answer := f.run(r)
		if sleep(r.Context(), fault.Delay.Or(defaultDelay)) {
			answer.send(w)
		}
	case api.FaultKindFrozen:
		f.thaw(w, r, changed)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// spoilsAnswer reports whether a fault lets a request run and spoils its answer.
func spoilsAnswer(kind api.FaultKind) bool {
	switch kind {
	case api.FaultKindLostAnswer, api.FaultKindShortBody, api.FaultKindSwappedAnswer, api.FaultKindLateAnswer:
		return true
	default:
		return false
	}
}

// reads reports whether a request changes nothing. The table service reads rows by POST.
func reads(r *http.Request) bool {
	return r.Method == http.MethodGet || r.URL.Path == "/v1/read"
}

// run runs the request to its end, even when the client gives up, and keeps the answer.
func (f *filter) run(r *http.Request) *capture {
	answer := &capture{header: make(http.Header), status: http.StatusOK}
	f.next.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
	return answer
}

// swap returns the answer before this one, if there was one.
func (f *filter) swap(answer *capture) *capture {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier := f.earlier
	f.earlier = answer
	if earlier == nil {
		return answer
	}
	return earlier
}

// thaw holds the request until the fault changes and then runs it, even when the
// client has gone: a stopped process finds it in its socket when it goes on.
func (f *filter) thaw(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	<-changed
	f.run(r).send(w)
}

// stayQuiet reads the request and returns only when the client has gone.
func stayQuiet(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// reset drops the connection without an answer.
func reset(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// capture is a whole answer that has not been sent yet.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (c *capture) Header() http.Header { return c.header }

// WriteHeader keeps the status.
func (c *capture) WriteHeader(status int) { c.status = status }

// Write keeps a part of the body.
func (c *capture) Write(part []byte) (int, error) { return c.body.Write(part) }

func (c *capture) sendHeader(w http.ResponseWriter) {
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(c.body.Len()))
	w.WriteHeader(c.status)
}

func (c *capture) send(w http.ResponseWriter) {
	c.sendHeader(w)
	_, _ = w.Write(c.body.Bytes())
}

// sendHalf promises the whole body, sends the first half and drops the connection.
func (c *capture) sendHalf(w http.ResponseWriter) {
	c.sendHeader(w)
	_, _ = w.Write(c.body.Bytes()[:c.body.Len()/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
