package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// pending is a transaction on its way into a commit call.
type pendingTransaction struct {
	changes []Change
	done    chan commitResult
	state   atomic.Int32
}

// The states of a pending transaction. It leaves queued once.
const (
	queued int32 = iota
	taken
	abandoned
)

// result is the outcome of a transaction.
type commitResult struct {
	version int64
	err     error
}

// claim takes the transaction into a call, unless its caller gave up.
func (p *pendingTransaction) take() bool { return p.state.CompareAndSwap(queued, taken) }

// abandon takes the transaction out of the queue, unless a call has it.
func (p *pendingTransaction) abandon() bool { return p.state.CompareAndSwap(queued, abandoned) }

// lane sends one commit call after the other.
type committer struct{ client *Client }

func (l *committer) loop() {
	defer l.client.running.Done()
	for {
		select {
		case first := <-l.client.pending:
			if group := l.collect(first); len(group) > 0 {
				l.send(group)
			}
		case <-l.client.closing:
			return
		}
	}
}

// groupWait is how long the next commit call waits for transactions to share it:
// the group window, or longer where it is not this client's turn yet.
func (c *Client) groupWait() time.Duration {
	if c.opts.CommitsPerSecond == nil {
		return c.opts.GroupWindow
	}
	c.commitLimiter.SetLimit(rate.Limit(c.opts.CommitsPerSecond()))
	turn := c.commitLimiter.Reserve().Delay()
	return max(c.opts.GroupWindow, min(turn, maxLimiterWait))
}

// collect gathers what arrives until the call's turn.
func (l *committer) collect(first *pendingTransaction) []*pendingTransaction {
	var group []*pendingTransaction
	if first.take() {
		group = append(group, first)
	}
	timer := time.NewTimer(l.client.groupWait())
	defer timer.Stop()
	for len(group) < l.client.opts.GroupSize {
		select {
		case next := <-l.client.pending:
			if next.take() {
				group = append(group, next)
			}
		case <-timer.C:
			return group
		}
	}
	return group
}

// send commits a group and hands each transaction its result.
func (l *committer) send(group []*pendingTransaction) {
	stats := &l.client.stats
	stats.Commits.Add(1)
	stats.Transactions.Add(int64(len(group)))
	results, err := l.client.commit(context.Background(), transactions(group))
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

// commit makes one call. Its error wraps ErrUnavailable or ErrUnsettled. Errors of
// single transactions count for the breaker as those of the call.
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

// worst returns an error that speaks against the service, if a result has one.
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
