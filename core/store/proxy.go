package store

import (
	"context"
	"errors"
	"time"
)

// ErrNoProxy means that no proxy accepted the call, so that it had no effect.
var ErrNoProxy = errors.New("no proxy to the table service available")

const (
	// failuresToProxy is how many consecutive calls must fail before a client with a proxy uses
	// it. It is lower than failuresToOpen because using the proxy without need costs only two
	// messages.
	failuresToProxy = 2
	// probeInterval is the time between probes of the direct connection while the proxy is used,
	// and probeTimeout the timeout of one.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = time.Second
)

// Proxy carries calls to the table service through another VM while the service does not answer
// this client: the service may reject single machines, or the network between them may be
// interrupted. An error that wraps ErrNoProxy means that the call had no effect.
type Proxy interface {
	Transport
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// proxyRoute is a client's Proxy and the row that probes of the direct connection read.
type proxyRoute struct {
	Proxy
	table, key string
}

// SetProxy makes the client use a proxy while the service does not answer it. Meanwhile the
// client probes the direct connection by reading the given row. SetProxy must be called at most
// once.
func (c *Client) SetProxy(p Proxy, table, key string) {
	c.breaker.setLimit(failuresToProxy)
	c.proxy.Store(&proxyRoute{Proxy: p, table: table, key: key})
	c.running.Add(1)
	go (&prober{client: c}).loop()
}

// DirectTransport returns the transport to the service without the proxy, or nil while the
// service does not answer.
func (c *Client) DirectTransport() Transport {
	if !c.breaker.closed() {
		return nil
	}
	return c.remote
}

// MarkUnreachable makes the client use its proxy until a probe succeeds. Without a proxy it does
// nothing.
func (c *Client) MarkUnreachable() {
	if c.proxy.Load() != nil {
		c.breaker.open(time.Now())
	}
}

// activeProxy returns the proxy if calls have to use it, or nil.
func (c *Client) activeProxy() *proxyRoute {
	if c.breaker.closed() {
		return nil
	}
	return c.proxy.Load()
}

// callViaProxy makes one call through the proxy. Its result does not count for the circuit
// breaker.
func (c *Client) callViaProxy(ctx context.Context, route *proxyRoute, timeout time.Duration, call func(context.Context, Transport) error) error {
	c.stats.Proxied.Add(1)
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(ctx, route)
	c.noteAnswer(parent, err)
	if errors.Is(err, ErrNoProxy) {
		return errBreakerOpen
	}
	return err
}

// prober checks periodically whether the service answers again while calls use the proxy.
type prober struct{ client *Client }

func (p *prober) loop() {
	defer p.client.running.Done()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.client.closing:
			return
		case <-ticker.C:
		}
		if route := p.client.activeProxy(); route != nil {
			p.probe(route)
		}
	}
}

func (p *prober) probe(route *proxyRoute) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, err := p.client.remote.Read(ctx, route.table, route.key); err != nil {
		p.client.breaker.failed(time.Now())
		return
	}
	p.client.breaker.succeeded()
}
