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

// The defaults of Options.
const (
	DefaultGroupWindow     = 2 * time.Millisecond
	DefaultGroupSize       = 500
	DefaultCommitsInFlight = 2
	DefaultCommitTimeout   = 2 * time.Second
	DefaultReadTimeout     = time.Second
)

// scanTimeout bounds a page of a scan, which has up to a megabyte: a link of 2 Mbit/s
// needs four seconds for it. A scan that is given up early is begun again from the start,
// and its bytes are in the way of all else.
const scanTimeout = 4 * time.Second

// FleetCommitsPerSecond is how many commit calls all clients of a fleet together
// may make on the long run: the platform takes several hundred writes a second
// from everybody.
const FleetCommitsPerSecond = 250

const (
	queueLength = 4096
	// paceBurst commit calls may go out without a wait after a quiet time.
	commitBurst = 4
	// maxPaceWait bounds the wait of a transaction for its client's turn.
	maxLimiterWait = 200 * time.Millisecond
)

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	// Address is where the table service listens. It is not used where Transport
	// is set.
	Address netip.AddrPort
	// Transport carries the calls; nil takes the table service's own protocol.
	Transport Transport
	// GroupWindow is how long a transaction may wait for others to share its
	// commit call; GroupSize is the most transactions of one call.
	GroupWindow time.Duration
	GroupSize   int
	// Lanes is the most commit calls in flight.
	CommitsInFlight int
	// CommitsPerSecond returns how many commit calls this client may make on the
	// long run; nil sets no bound. Transactions that have to wait for their turn
	// share the next call, so a bound costs waiting time and loses nothing.
	CommitsPerSecond func() float64
	// CommitTimeout and ReadTimeout end calls that the service does not answer.
	CommitTimeout time.Duration
	ReadTimeout   time.Duration
}

// Stats counts what a Client asked of the service. All counts only grow.
type Stats struct {
	// Commits are calls; Transactions are what they carried.
	Commits, Transactions atomic.Int64
	Reads, Scans, Watches atomic.Int64
	// Failures are calls that the service did not answer as it should;
	// Rejected are those that the breaker kept back.
	Failures, Rejected atomic.Int64
	// Detours are calls that took the detour.
	Proxied atomic.Int64
}

// Client is the table service over HTTP. It is safe for concurrent use.
type Client struct {
	opts          Options
	remote        Transport
	breaker       breaker
	proxy         atomic.Pointer[proxyRoute]
	commitLimiter *rate.Limiter
	stats         Stats
	pending       chan *pendingTransaction
	closing       chan struct{}
	closeOnce     sync.Once
	running       sync.WaitGroup
}

var _ Tables = (*Client)(nil)

// New returns a client and starts its lanes. It does not wait for the service.
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

// Close ends the lanes after the calls in flight. Later commits are refused.
func (c *Client) Close() {
	c.closeOnce.Do(func() { close(c.closing) })
	c.running.Wait()
	c.remote.Close()
}

// Stats returns the client's counts.
func (c *Client) Stats() *Stats { return &c.stats }

// Reachable reports whether the last calls succeeded.
func (c *Client) Reachable() bool { return c.breaker.closed() }

// Commit queues the changes for the next commit call and waits for its result.
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

// await waits for the result of a transaction that was sent, unless the
// caller's context has ended.
func (c *Client) await(ctx context.Context, p *pendingTransaction) (int64, error) {
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Read returns a row.
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

// Scan returns the rows of a table whose key has the prefix, in key order. It
// reads page by page; the pages are not one snapshot.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	rows, _, err := c.Snapshot(ctx, table, prefix)
	return rows, err
}

// Snapshot is Scan, and returns a version of the service from before the first
// page: a watch from there on misses nothing that the rows lack.
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

// watchMargin is how long after its wait the answer of a watch may take.
const watchMargin = 700 * time.Millisecond

// Watch returns what changed in a table. It is not kept back by the breaker: a
// watch is what notices first that the service is back.
func (c *Client) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error) {
	source, ok := c.remote.(watchTransport)
	if !ok {
		return Changes{}, fmt.Errorf("watching %s: the service has no feed: %w", table, ErrRejected)
	}
	c.stats.Watches.Add(1)
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	around := c.activeProxy()
	if around != nil {
		source = around
	}
	changes, err := source.Watch(ctx, table, after, wait)
	if err == nil {
		return changes, nil
	}
	if around == nil && parent.Err() == nil && !errors.Is(err, ErrHistoryGone) && c.proxy.Load() != nil {
		c.breaker.failed(time.Now())
	}
	return Changes{}, fmt.Errorf("watching %s: %w", table, err)
}

// watchSource is a transport with a feed.
type watchTransport interface {
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// guard runs one call under the breaker and a timeout, or on the detour. A service
// that is too busy for this client may have time for others.
func (c *Client) callService(ctx context.Context, timeout time.Duration, call func(context.Context, Transport) error) error {
	if d := c.activeProxy(); d != nil {
		return c.callViaProxy(ctx, d, timeout, call)
	}
	if !c.breaker.allow(time.Now()) {
		c.stats.Rejected.Add(1)
		return errBreakerOpen
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(ctx, c.remote)
	switch {
	case err == nil || errors.Is(err, ErrRejected) || errors.Is(err, ErrBusy) && c.proxy.Load() == nil:
		c.breaker.succeeded()
	case parent.Err() != nil:
		// The caller gave up early; that says nothing about the service.
		c.breaker.canceled()
	default:
		c.stats.Failures.Add(1)
		c.breaker.failed(time.Now())
	}
	return err
}

// unavailable is the error of a call that writes nothing.
func unavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }
