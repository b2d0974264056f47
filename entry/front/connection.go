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
	// verifiedFor is how long a connection counts as working after a response on it.
	// verifiedForNonIdempotent is the shorter time for non-idempotent requests: on
	// a broken connection their outcome is unknown and they cannot be retried.
	verifiedFor              = time.Second
	verifiedForNonIdempotent = 200 * time.Millisecond
	// probeTimeout limits one probe of a connection.
	probeTimeout = 250 * time.Millisecond
	// dialTimeout limits the time to open a connection to a target.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 5 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// errBadResponse means that a target sent a response that is incomplete, too large or
// for another request.
var errBadResponse = errors.New("answer of the target is not whole")

// sendError is the error of a request without a valid response. It tells how far the
// request got.
type sendError struct {
	// sent is whether the target may have received bytes of the request.
	sent bool
	// answered is whether the target has finished processing the request.
	answered bool
	err      error
}

func (e *sendError) Error() string { return e.err.Error() }
func (e *sendError) Unwrap() error { return e.err }

// targetConns is the set of connections to one target. Each is used by one request at
// a time. The most recently used one is taken first, so that the others become idle
// and close.
type targetConns struct {
	address netip.AddrPort

	mu   sync.Mutex
	free []*targetConn
}

// targetConn is one connection to a target. It is dialed again when needed.
type targetConn struct {
	client    *target.Client
	transport *http.Transport
	// verifiedAt is when the target last responded on the connection, or zero if it
	// is unverified.
	verifiedAt time.Time
}

// take removes and returns a free connection, or returns a new one.
func (c *targetConns) take() (*targetConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.free) - 1; last >= 0 {
		taken := c.free[last]
		c.free = c.free[:last]
		return taken, nil
	}
	return newTargetConn(c.address)
}

// put returns a connection to the set.
func (c *targetConns) put(conn *targetConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free = append(c.free, conn)
}

// close closes the connections that are not in use.
func (c *targetConns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.free {
		idle.transport.CloseIdleConnections()
	}
	c.free = nil
}

func newTargetConn(address netip.AddrPort) (*targetConn, error) {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:    1,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
	client, err := target.NewClient("http://"+address.String(), target.WithClient(checkedTransport{transport}))
	if err != nil {
		return nil, fmt.Errorf("client of target %s: %w", address, err)
	}
	return &targetConn{client: client, transport: transport}, nil
}

// verify checks that the target responds on the connection and dials once more if it
// does not. It returns the target's state, or nil without a probe if the connection was
// verified within maxAge.
func (c *targetConn) verify(ctx context.Context, now time.Time, maxAge time.Duration) (*target.TargetState, error) {
	if now.Sub(c.verifiedAt) < maxAge {
		return nil, nil
	}
	state, err := c.getState(ctx)
	if err != nil {
		c.transport.CloseIdleConnections()
		state, err = c.getState(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("proof of life: %w", err)
	}
	c.verifiedAt = now
	return state, nil
}

// getState asks the target for its state, as a probe of the connection.
func (c *targetConn) getState(ctx context.Context) (*target.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.client.GetState(ctx)
}

// send sends a request and returns the complete response body, or the target's problem
// document if it did not run the request. The error is a *sendError.
func (c *targetConn) send(ctx context.Context, r *Request) ([]byte, *target.Problem, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	res, err := c.client.Serve(ctx, target.ServeReq{Data: bytes.NewReader(r.Body)}, target.ServeParams{
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
			return nil, nil, &sendError{sent: true, err: fmt.Errorf("%w: it is for request %q", errBadResponse, res.XRequestID)}
		}
		body, err := io.ReadAll(res.Response)
		if err != nil {
			return nil, nil, &sendError{sent: true, err: err}
		}
		return body, nil, nil
	case *target.Problem:
		return nil, res, nil
	default:
		return nil, nil, &sendError{sent: true, answered: true, err: errBadResponse}
	}
}

// checkedTransport is an HTTP client that uses one transport. It rejects a response that is too
// large, or has neither a length nor chunked encoding, because its end could not be
// told from a broken connection.
type checkedTransport struct{ transport *http.Transport }

// Do implements the HTTP client interface of the generated API package.
func (w checkedTransport) Do(r *http.Request) (*http.Response, error) {
	res, err := w.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: its length is not stated", errBadResponse)
	}
	res.Body = &boundedBody{ReadCloser: res.Body, left: maxResponseBytes}
	return res, nil
}

// boundedBody is a body whose Read fails once more than left bytes have been read.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	b.left -= int64(count)
	if b.left < 0 {
		return count, fmt.Errorf("%w: it is larger than %d bytes", errBadResponse, maxResponseBytes)
	}
	return count, err
}
