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
	faults *Injector
	member string
	next   http.Handler

	mu       sync.Mutex
	previous *bufferedAnswer
}

// ServeHTTP runs the request, or lets it fail as the fault in force says.
func (f *filter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, changed := f.faults.drawFault(f.member)
	if affectsAnswerOnly(fault.Kind) && isReadOnly(r) {
		f.next.ServeHTTP(w, r)
		return
	}
	switch fault.Kind {
	case api.FaultKindDown:
		resetConnection(w)
	case api.FaultKindSlow:
		if sleep(r.Context(), fault.Delay.Or(defaultDelay)) {
			f.next.ServeHTTP(w, r)
		}
	case api.FaultKindLostAnswer:
		f.runBuffered(r)
		resetConnection(w)
	case api.FaultKindSilent:
		holdWithoutAnswer(r)
	case api.FaultKindShortBody:
		f.runBuffered(r).sendTruncated(w)
	case api.FaultKindSwappedAnswer:
		f.swapAnswer(f.runBuffered(r)).send(w)
	case api.FaultKindLateAnswer:
		answer := f.runBuffered(r)
		if sleep(r.Context(), fault.Delay.Or(defaultDelay)) {
			answer.send(w)
		}
	case api.FaultKindFrozen:
		f.holdUntilChange(w, r, changed)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// spoilsAnswer reports whether a fault lets a request run and spoils its answer.
func affectsAnswerOnly(kind api.FaultKind) bool {
	switch kind {
	case api.FaultKindLostAnswer, api.FaultKindShortBody, api.FaultKindSwappedAnswer, api.FaultKindLateAnswer:
		return true
	default:
		return false
	}
}

// reads reports whether a request changes nothing. The table service reads rows by POST.
func isReadOnly(r *http.Request) bool {
	return r.Method == http.MethodGet || r.URL.Path == "/v1/read"
}

// run runs the request to its end, even when the client gives up, and keeps the answer.
func (f *filter) runBuffered(r *http.Request) *bufferedAnswer {
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
	f.next.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
	return answer
}

// swap returns the answer before this one, if there was one.
func (f *filter) swapAnswer(answer *bufferedAnswer) *bufferedAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.previous
	f.previous = answer
	if previous == nil {
		return answer
	}
	return previous
}

// thaw holds the request until the fault changes and then runs it, even when the
// client has gone: a stopped process finds it in its socket when it goes on.
func (f *filter) holdUntilChange(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	<-changed
	f.runBuffered(r).send(w)
}

// stayQuiet reads the request and returns only when the client has gone.
func holdWithoutAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// reset drops the connection without an answer.
func resetConnection(w http.ResponseWriter) {
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
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (c *bufferedAnswer) Header() http.Header { return c.header }

// WriteHeader keeps the status.
func (c *bufferedAnswer) WriteHeader(status int) { c.status = status }

// Write keeps a part of the body.
func (c *bufferedAnswer) Write(part []byte) (int, error) { return c.body.Write(part) }

func (c *bufferedAnswer) sendHeader(w http.ResponseWriter) {
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(c.body.Len()))
	w.WriteHeader(c.status)
}

func (c *bufferedAnswer) send(w http.ResponseWriter) {
	c.sendHeader(w)
	_, _ = w.Write(c.body.Bytes())
}

// sendHalf promises the whole body, sends the first half and drops the connection.
func (c *bufferedAnswer) sendTruncated(w http.ResponseWriter) {
	c.sendHeader(w)
	_, _ = w.Write(c.body.Bytes()[:c.body.Len()/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
