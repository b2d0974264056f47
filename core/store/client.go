package store

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The default values of Options.
const (
	DefaultGroupWindow     = 2 * time.Millisecond
	DefaultGroupSize       = 500
	DefaultCommitsInFlight = 2
	DefaultCommitTimeout   = 2 * time.Second
	DefaultReadTimeout     = time.Second
)

// scanTimeout is the timeout for one page of a scan. A page has up to 1 MB, which takes four
// seconds at 2 Mbit/s. A shorter timeout would make scans start again from the beginning, and
// the wasted bytes would delay other traffic.
const scanTimeout = 4 * time.Second

// FleetCommitsPerSecond is the average rate of commit calls that all clients of a fleet together
// may make. The platform accepts several hundred writes per second from all its users together.
const FleetCommitsPerSecond = 250

const (
	queueLength = 4096
	// commitBurst is how many commit calls a client may make at once after an idle time.
	commitBurst = 4
	// maxLimiterWait bounds how long the rate limit delays a transaction.
	maxLimiterWait = 200 * time.Millisecond
)

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	// Address is the address of the table service. It is ignored if Transport is set.
	Address netip.AddrPort
	// Transport carries the calls; nil selects the HTTP protocol of the table service at
	// Address.
	Transport Transport
	// GroupWindow is how long a transaction waits for others to share its commit call, and
	// GroupSize the maximum number of transactions per call.
	GroupWindow time.Duration
	GroupSize   int
	// CommitsInFlight is the maximum number of concurrent commit calls.
	CommitsInFlight int
	// CommitsPerSecond returns the average rate of commit calls that this client may make; nil
	// means no limit. Transactions that the limit delays share the next call, so a limit adds
	// latency but rejects nothing.
	CommitsPerSecond func() float64
	// CommitTimeout and ReadTimeout are the timeouts of commit calls and reads.
	CommitTimeout time.Duration
	ReadTimeout   time.Duration
}

// Stats counts the calls of a Client. All counts only increase.
type Stats struct {
	// Commits counts commit calls, Transactions the transactions in them.
	Commits, Transactions atomic.Int64
	Reads, Scans, Watches atomic.Int64
	// Failures counts calls that failed because of the service or the connection to it.
	// Rejected counts calls that were not sent because the circuit breaker was open.
	Failures, Rejected atomic.Int64
	// Proxied counts calls that were sent through the proxy.
	Proxied atomic.Int64
}

// Client is a client of the table service. It groups commits, and protects the service with a
// circuit breaker and a rate limit. It is safe for concurrent use.
type Client struct {
	opts          Options
	remote        Transport
	breaker       breaker
	uptime        uptime
	proxy         atomic.Pointer[proxyRoute]
	commitLimiter *rate.Limiter
	stats         Stats
	pending       chan *pendingTransaction
	closing       chan struct{}
	closeOnce     sync.Once
	running       sync.WaitGroup
}

var _ Tables = (*Client)(nil)

// New returns a client and starts its committers. It does not contact the service.
func New(opts Options) (*Client, error) {
	opts.setDefaults()
	if opts.Transport == nil {
		remote, err := newTablesTransport(opts.Address, 2*opts.CommitsInFlight)
		if err != nil {
			return nil, err
		}
		opts.Transport = remote
	}
	c := &Client{
		opts:          opts,
		remote:        opts.Transport,
		breaker:       newBreaker(),
		commitLimiter: rate.NewLimiter(rate.Inf, commitBurst),
		pending:       make(chan *pendingTransaction, queueLength),
		closing:       make(chan struct{}),
	}
	for range opts.CommitsInFlight {
		c.running.Add(1)
		go (&committer{client: c}).loop()
	}
	return c, nil
}

func (o *Options) setDefaults() {
	if o.GroupWindow <= 0 {
		o.GroupWindow = DefaultGroupWindow
	}
	if o.GroupSize <= 0 {
		o.GroupSize = DefaultGroupSize
	}
	if o.CommitsInFlight <= 0 {
		o.CommitsInFlight = DefaultCommitsInFlight
	}
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = DefaultCommitTimeout
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
}

// Close waits for the calls in flight and stops the committers. Later commits fail with
// ErrUnavailable.
func (c *Client) Close() {
	c.closeOnce.Do(func() { close(c.closing) })
	c.running.Wait()
	c.remote.Close()
}

// Stats returns the client's counters.
func (c *Client) Stats() *Stats { return &c.stats }

// Reachable reports whether the circuit breaker is closed, that is, whether recent calls
// succeeded.
func (c *Client) Reachable() bool { return c.breaker.closed() }

// Commit queues the changes as one transaction for the next commit call and waits for the
// result.
func (c *Client) Commit(ctx context.Context, changes ...Change) (int64, error) {
	p := &pendingTransaction{changes: changes, done: make(chan commitResult, 1)}
	select {
	case c.pending <- p:
	case <-c.closing:
		return 0, fmt.Errorf("client is closed: %w", ErrUnavailable)
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-c.closing:
	case <-ctx.Done():
	}
	if p.abandon() {
		return 0, fmt.Errorf("not sent in time: %w", ErrUnavailable)
	}
	return c.await(ctx, p)
}

// await waits for the result of a transaction that is part of a call. It returns
// ErrOutcomeUnknown if ctx ends first.
func (c *Client) await(ctx context.Context, p *pendingTransaction) (int64, error) {
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Read returns a row, with version Absent if it does not exist.
func (c *Client) Read(ctx context.Context, table, key string) (Row, error) {
	c.stats.Reads.Add(1)
	var row Row
	err := c.callService(ctx, c.opts.ReadTimeout, func(ctx context.Context, t Transport) (err error) {
		row, err = t.Read(ctx, table, key)
		return err
	})
	if err != nil {
		return Row{}, fmt.Errorf("reading %s/%s: %w", table, key, unavailable(err))
	}
	return row, nil
}

// Scan returns the rows of a table whose key has the prefix, in key order. It reads several
// pages, which may reflect different versions of the table.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	rows, _, err := c.Snapshot(ctx, table, prefix)
	return rows, err
}

// Snapshot is like Scan and also returns the version of the service as of the first page. A
// watch from that version on returns every change that the rows do not include.
func (c *Client) Snapshot(ctx context.Context, table, prefix string) (rows []Row, version int64, err error) {
	cursor, first := "", true
	for {
		c.stats.Scans.Add(1)
		var page Page
		err := c.callService(ctx, scanTimeout, func(ctx context.Context, t Transport) (err error) {
			page, err = t.Scan(ctx, table, prefix, cursor)
			return err
		})
		if err != nil {
			return nil, 0, fmt.Errorf("scanning %s: %w", table, unavailable(err))
		}
		if first {
			version, first = page.Version, false
		}
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return rows, version, nil
		}
		cursor = page.Next
	}
}

// watchMargin is how much longer than its wait a watch call may take.
const watchMargin = 700 * time.Millisecond

// Watch returns the changes of a table after a version, as soon as there is one, or none after
// wait. The error wraps ErrRejected if the transport has no change feed. The circuit breaker
// does not reject watches, because they are the first calls to notice that the service has
// recovered.
func (c *Client) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error) {
	source, ok := c.remote.(watchTransport)
	if !ok {
		return Changes{}, fmt.Errorf("watching %s: the service has no change feed: %w", table, ErrRejected)
	}
	c.stats.Watches.Add(1)
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	proxy := c.activeProxy()
	if proxy != nil {
		source = proxy
	}
	changes, err := source.Watch(ctx, table, after, wait)
	c.noteAnswer(parent, err)
	if err == nil {
		return changes, nil
	}
	if proxy == nil && parent.Err() == nil && !errors.Is(err, ErrHistoryGone) && c.proxy.Load() != nil {
		c.breaker.failed(time.Now())
	}
	return Changes{}, fmt.Errorf("watching %s: %w", table, err)
}

// watchTransport is the part of a Transport that supports watches; not all do.
type watchTransport interface {
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// callService makes one call with a timeout and records its result in the circuit breaker. It
// uses the proxy, if there is one, while the breaker is open. With a proxy, ErrBusy counts as a
// failure: the service may still accept the calls of another VM.
func (c *Client) callService(ctx context.Context, timeout time.Duration, call func(context.Context, Transport) error) error {
	if route := c.activeProxy(); route != nil {
		return c.callViaProxy(ctx, route, timeout, call)
	}
	if !c.breaker.allow(time.Now()) {
		c.stats.Rejected.Add(1)
		return errBreakerOpen
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(ctx, c.remote)
	c.noteAnswer(parent, err)
	switch {
	case err == nil || errors.Is(err, ErrRejected) || errors.Is(err, ErrBusy) && c.proxy.Load() == nil:
		c.breaker.succeeded()
	case parent.Err() != nil:
		// The caller gave up; the service may be fine.
		c.breaker.canceled()
	default:
		c.stats.Failures.Add(1)
		c.breaker.failed(time.Now())
	}
	return err
}

// unavailable wraps the error of a call that has written nothing.
func unavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }
