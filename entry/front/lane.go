package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"tanagerstack.org/core/api/target"
)

const (
	// provenFor is how long a connection counts as alive after an answer on it,
	// and provenForClaim how long it does for a non-idempotent request, whose
	// outcome would be unknown if the connection were not.
	provenFor      = time.Second
	provenForClaim = 200 * time.Millisecond
	// proofTimeout bounds the proof of life of a connection.
	proofTimeout = 250 * time.Millisecond
	// dialTimeout bounds a new connection to a target.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that nobody uses.
	idleTimeout = 5 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
)

// errAnswer means that a target answered, but not with a whole answer to the request.
var errAnswer = errors.New("answer of the target is not whole")

// sendError says how far a request came that has no good answer.
type sendError struct {
	// sent is whether bytes of the request may have reached the target.
	sent bool
	// answered is whether the target is done with the request.
	answered bool
	err      error
}

func (e *sendError) Error() string { return e.err.Error() }
func (e *sendError) Unwrap() error { return e.err }

// lanes are the connections to one target. Each lane is used by one request at
// a time, the one used last first, so that idle ones close.
type lanes struct {
	address netip.AddrPort

	mu   sync.Mutex
	free []*lane
}

// lane is one connection to a target, dialed anew when needed.
type lane struct {
	client    *target.Client
	transport *http.Transport
	// provenAt is when the target last answered on the connection.
	provenAt time.Time
}

// take returns a lane that no other request uses.
func (l *lanes) take() (*lane, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := len(l.free) - 1; last >= 0 {
		taken := l.free[last]
		l.free = l.free[:last]
		return taken, nil
	}
	return newLane(l.address)
}

// put gives a lane back.
func (l *lanes) put(used *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = append(l.free, used)
}

// close closes the idle connections.
func (l *lanes) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, idle := range l.free {
		idle.transport.CloseIdleConnections()
	}
	l.free = nil
}

func newLane(address netip.AddrPort) (*lane, error) {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:    1,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
	client, err := target.NewClient("http://"+address.String(), target.WithClient(wholeAnswers{transport}))
	if err != nil {
		return nil, fmt.Errorf("client of target %s: %w", address, err)
	}
	return &lane{client: client, transport: transport}, nil
}

// prove makes sure that the target answers on the lane's connection, and
// replaces a connection that went silent. It returns the target's state, or nil
// if the connection was proven within the trusted time.
func (l *lane) prove(ctx context.Context, now time.Time, trusted time.Duration) (*target.TargetState, error) {
	if now.Sub(l.provenAt) < trusted {
		return nil, nil
	}
	state, err := l.askState(ctx)
	if err != nil {
		l.transport.CloseIdleConnections()
		state, err = l.askState(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("proof of life: %w", err)
	}
	l.provenAt = now
	return state, nil
}

func (l *lane) askState(ctx context.Context) (*target.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	return l.client.GetState(ctx)
}

// serve sends a request and returns the whole answer. The error is a *sendError.
func (l *lane) serve(ctx context.Context, r *Request) ([]byte, *target.Problem, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	res, err := l.client.Serve(ctx, target.ServeReq{Data: bytes.NewReader(r.Body)}, target.ServeParams{
		Service:      r.Service,
		XRequestID:   r.ID,
		XStartBefore: r.NotAfter,
	})
	if err != nil {
		var problem *target.ProblemStatusCode
		answered := errors.As(err, &problem)
		return nil, nil, &sendError{sent: connected, answered: answered, err: err}
	}
	switch res := res.(type) {
	case *target.ServeOKHeaders:
		if res.XRequestID != r.ID {
			return nil, nil, &sendError{sent: true, err: fmt.Errorf("%w: it is for request %q", errAnswer, res.XRequestID)}
		}
		body, err := io.ReadAll(res.Response)
		if err != nil {
			return nil, nil, &sendError{sent: true, err: err}
		}
		return body, nil, nil
	case *target.Problem:
		return nil, res, nil
	default:
		return nil, nil, &sendError{sent: true, answered: true, err: errAnswer}
	}
}

// wholeAnswers sends requests over one transport and refuses answers whose end
// cannot be told from a cut, or that are too large.
type wholeAnswers struct{ transport *http.Transport }

// Do implements the client of the generated API package.
func (w wholeAnswers) Do(r *http.Request) (*http.Response, error) {
	res, err := w.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: its length is not stated", errAnswer)
	}
	res.Body = &boundedBody{ReadCloser: res.Body, left: maxAnswerBytes}
	return res, nil
}

// boundedBody fails once more than left bytes were read.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	b.left -= int64(count)
	if b.left < 0 {
		return count, fmt.Errorf("%w: it is larger than %d bytes", errAnswer, maxAnswerBytes)
	}
	return count, err
}
