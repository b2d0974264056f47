package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// pendingTransaction is a transaction that is queued for or part of a commit call.
type pendingTransaction struct {
	changes []Change
	done    chan commitResult
	state   atomic.Int32
}

// The states of a pending transaction. Its first change, from queued, is the only one.
const (
	queued int32 = iota
	taken
	abandoned
)

// commitResult is the result of a transaction.
type commitResult struct {
	version int64
	err     error
}

// take makes the transaction part of a call. It reports false if the caller has abandoned it.
func (p *pendingTransaction) take() bool { return p.state.CompareAndSwap(queued, taken) }

// abandon cancels the transaction. It reports false if the transaction is part of a call.
func (p *pendingTransaction) abandon() bool { return p.state.CompareAndSwap(queued, abandoned) }

// committer makes commit calls, one at a time.
type committer struct{ client *Client }

func (c *committer) loop() {
	defer c.client.running.Done()
	for {
		select {
		case first := <-c.client.pending:
			if group := c.collect(first); len(group) > 0 {
				c.send(group)
			}
		case <-c.client.closing:
			return
		}
	}
}

// groupWait returns how long the next commit call waits for more transactions: the group window,
// or longer if the rate limit requires it.
func (c *Client) groupWait() time.Duration {
	if c.opts.CommitsPerSecond == nil {
		return c.opts.GroupWindow
	}
	c.commitLimiter.SetLimit(rate.Limit(c.opts.CommitsPerSecond()))
	delay := c.commitLimiter.Reserve().Delay()
	return max(c.opts.GroupWindow, min(delay, maxLimiterWait))
}

// collect returns the transactions of the next call: those that arrive within groupWait, up to
// GroupSize.
func (c *committer) collect(first *pendingTransaction) []*pendingTransaction {
	var group []*pendingTransaction
	if first.take() {
		group = append(group, first)
	}
	timer := time.NewTimer(c.client.groupWait())
	defer timer.Stop()
	for len(group) < c.client.opts.GroupSize {
		select {
		case next := <-c.client.pending:
			if next.take() {
				group = append(group, next)
			}
		case <-timer.C:
			return group
		}
	}
	return group
}

// send commits a group and delivers the result of each transaction.
func (c *committer) send(group []*pendingTransaction) {
	stats := &c.client.stats
	stats.Commits.Add(1)
	stats.Transactions.Add(int64(len(group)))
	results, err := c.client.commit(context.Background(), transactions(group))
	if err == nil && len(results) != len(group) {
		err = fmt.Errorf("%d results for %d transactions: %w", len(results), len(group), ErrOutcomeUnknown)
	}
	for i, p := range group {
		if err != nil {
			p.done <- commitResult{err: err}
			continue
		}
		p.done <- commitResult{version: results[i].Version, err: results[i].Err}
	}
}

// commit makes one call. Its error wraps ErrUnavailable or ErrOutcomeUnknown. For the circuit
// breaker, an error of a single transaction counts as an error of the call.
func (c *Client) commit(ctx context.Context, group []Transaction) ([]Result, error) {
	var results []Result
	err := c.callService(ctx, c.opts.CommitTimeout, func(ctx context.Context, t Transport) (err error) {
		results, err = t.Commit(ctx, group)
		if err != nil {
			return err
		}
		return serviceError(results)
	})
	switch {
	case len(results) == len(group):
		return results, nil
	case errors.Is(err, errBreakerOpen), errors.Is(err, ErrRejected):
		return nil, unavailable(err)
	default:
		return nil, err
	}
}

// serviceError returns the first error among the results that is a failure of the service, or nil.
func serviceError(results []Result) error {
	for _, r := range results {
		if errors.Is(r.Err, ErrOutcomeUnknown) || errors.Is(r.Err, ErrUnavailable) {
			return r.Err
		}
	}
	return nil
}

func transactions(group []*pendingTransaction) []Transaction {
	list := make([]Transaction, 0, len(group))
	for _, p := range group {
		list = append(list, p.changes)
	}
	return list
}
