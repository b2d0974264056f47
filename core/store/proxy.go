package store

import (
	"context"
	"errors"
	"time"
)

// ErrNoDetour means that no detour took a call: nothing was done.
var ErrNoProxy = errors.New("no way around to the table service")

const (
	// failuresToDetour is how many calls in a row must fail before a client with a
	// detour takes it: a detour that was not needed costs two messages.
	failuresToProxy = 2
	// probeEvery is the time between probes of the direct way while the detour is
	// taken, and probeTimeout bounds one.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = time.Second
)

// Detour carries calls to the service while it does not answer this client: the
// service may turn single machines away, or be cut off from them. Errors that
// wrap ErrNoDetour say that nothing was done.
type Proxy interface {
	Transport
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// detour is a client's Detour and the row that probes of the direct way read.
type proxyRoute struct {
	Proxy
	table, key string
}

// SetDetour lets the client take a detour while the service does not answer it. A
// read of the row of a table probes whether the service does again. It must be
// called at most once.
func (c *Client) SetProxy(d Proxy, table, key string) {
	c.breaker.setLimit(failuresToProxy)
	c.proxy.Store(&proxyRoute{Proxy: d, table: table, key: key})
	c.running.Add(1)
	go (&prober{client: c}).loop()
}

// Direct returns the direct way to the service, or nil while it does not answer.
func (c *Client) DirectTransport() Transport {
	if !c.breaker.closed() {
		return nil
	}
	return c.remote
}

// Suspect makes the client take its detour, if it has one, until a probe succeeds.
func (c *Client) MarkUnreachable() {
	if c.proxy.Load() != nil {
		c.breaker.open(time.Now())
	}
}

// around returns the detour if calls are to take it, or nil.
func (c *Client) activeProxy() *proxyRoute {
	if c.breaker.closed() {
		return nil
	}
	return c.proxy.Load()
}

// takeDetour runs one call on the detour. It says nothing about the service.
func (c *Client) callViaProxy(ctx context.Context, d *proxyRoute, timeout time.Duration, call func(context.Context, Transport) error) error {
	c.stats.Proxied.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(ctx, d)
	if errors.Is(err, ErrNoProxy) {
		return errBreakerOpen
	}
	return err
}

// prober finds out whether the service answers again while calls take the detour.
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
		if d := p.client.activeProxy(); d != nil {
			p.probe(d)
		}
	}
}

func (p *prober) probe(d *proxyRoute) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, err := p.client.remote.Read(ctx, d.table, d.key); err != nil {
		p.client.breaker.failed(time.Now())
		return
	}
	p.client.breaker.succeeded()
}
