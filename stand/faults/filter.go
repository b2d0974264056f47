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

// defaultDelay is the delay of the faults slow and late-answer if the fault specifies none.
const defaultDelay = time.Second

// filter is an HTTP handler that applies the active fault to the requests of one VM.
type filter struct {
	injector *Injector
	member   string
	next     http.Handler

	mu       sync.Mutex
	previous *bufferedAnswer
}

// ServeHTTP passes the request to the next handler, subject to the active fault.
func (f *filter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, changed := f.injector.drawFault(f.member)
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

// affectsAnswerOnly reports whether the request runs normally under a fault of this kind and only
// its answer is lost, altered or late.
func affectsAnswerOnly(kind api.FaultKind) bool {
	switch kind {
	case api.FaultKindLostAnswer, api.FaultKindShortBody, api.FaultKindSwappedAnswer, api.FaultKindLateAnswer:
		return true
	default:
		return false
	}
}

// isReadOnly reports whether a request changes no state. The table service reads rows by POST to
// /v1/read.
func isReadOnly(r *http.Request) bool {
	return r.Method == http.MethodGet || r.URL.Path == "/v1/read"
}

// runBuffered runs the request to completion, even if the client disconnects, and returns the answer
// without sending it.
func (f *filter) runBuffered(r *http.Request) *bufferedAnswer {
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
	f.next.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
	return answer
}

// swapAnswer stores answer and returns the previously stored one, or answer itself if there is none.
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

// holdUntilChange holds the request until the fault changes and then runs it, even if the client has
// disconnected: a process that was stopped and resumed finds such a request in its socket buffer.
func (f *filter) holdUntilChange(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	<-changed
	f.runBuffered(r).send(w)
}

// holdWithoutAnswer reads the request and aborts it without an answer when the client disconnects.
func holdWithoutAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection without an answer. On TCP it sends RST.
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

// sleep waits for delay. It returns false if ctx ends first.
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

// bufferedAnswer is an http.ResponseWriter that holds a complete answer until it is sent.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader stores the status.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write appends to the body.
func (a *bufferedAnswer) Write(part []byte) (int, error) { return a.body.Write(part) }

func (a *bufferedAnswer) sendHeader(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(a.body.Len()))
	w.WriteHeader(a.status)
}

func (a *bufferedAnswer) send(w http.ResponseWriter) {
	a.sendHeader(w)
	_, _ = w.Write(a.body.Bytes())
}

// sendTruncated sends a header with the full content length and the first half of the body, then
// aborts the connection.
func (a *bufferedAnswer) sendTruncated(w http.ResponseWriter) {
	a.sendHeader(w)
	_, _ = w.Write(a.body.Bytes()[:a.body.Len()/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
