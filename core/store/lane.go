package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/api/tables"
)

// pending is a transaction on its way into a commit call.
type pending struct {
	changes []Change
	done    chan result
	state   atomic.Int32
}

// The states of a pending transaction. It leaves queued once.
const (
	queued int32 = iota
	claimed
	abandoned
)

// result is the outcome of a transaction.
type result struct {
	version int64
	err     error
}

// claim takes the transaction into a call, unless its caller gave up.
func (p *pending) claim() bool { return p.state.CompareAndSwap(queued, claimed) }

// abandon takes the transaction out of the queue, unless a call has it.
func (p *pending) abandon() bool { return p.state.CompareAndSwap(queued, abandoned) }

// lane sends one commit call after the other.
type lane struct{ client *Client }

func (l *lane) loop() {
	defer l.client.finished.Done()
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
	c.pace.SetLimit(rate.Limit(c.opts.CommitsPerSecond()))
	turn := c.pace.Reserve().Delay()
	return max(c.opts.GroupWindow, min(turn, maxPaceWait))
}

// collect gathers what arrives until the call's turn.
func (l *lane) collect(first *pending) []*pending {
	var group []*pending
	if first.claim() {
		group = append(group, first)
	}
	timer := time.NewTimer(l.client.groupWait())
	defer timer.Stop()
	for len(group) < l.client.opts.GroupSize {
		select {
		case next := <-l.client.pending:
			if next.claim() {
				group = append(group, next)
			}
		case <-timer.C:
			return group
		}
	}
	return group
}

// send commits a group and hands each transaction its result.
func (l *lane) send(group []*pending) {
	stats := &l.client.stats
	stats.Commits.Add(1)
	stats.Transactions.Add(int64(len(group)))
	reply, err := l.client.commit(context.Background(), request(group))
	if err == nil && len(reply.Results) != len(group) {
		err = fmt.Errorf("%d results for %d transactions: %w", len(reply.Results), len(group), ErrUnsettled)
	}
	for i, p := range group {
		if err != nil {
			p.done <- result{err: err}
			continue
		}
		p.done <- resultOf(reply.Results[i])
	}
}

// commit makes one call. Its error wraps ErrUnavailable or ErrUnsettled.
func (c *Client) commit(ctx context.Context, request *tables.CommitRequest) (*tables.CommitReply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	var reply *tables.CommitReply
	err := c.guard(ctx, c.opts.CommitTimeout, func(ctx context.Context) (err error) {
		reply, err = c.remote.Commit(ctx, request)
		return err
	})
	switch {
	case err == nil:
		return reply, nil
	case !connected.Load() || untouched(err):
		return nil, unavailable(err)
	default:
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
}

// refused reports whether the service itself says that it did nothing because
// of the request.
func refused(err error) bool {
	var problem *tables.ProblemStatusCode
	if !errors.As(err, &problem) || problem.StatusCode == http.StatusRequestTimeout {
		return false
	}
	return problem.StatusCode >= http.StatusBadRequest && problem.StatusCode < http.StatusInternalServerError
}

// untouched reports whether the service itself says that it applied nothing.
func untouched(err error) bool {
	var problem *tables.ProblemStatusCode
	if !errors.As(err, &problem) {
		return false
	}
	outcome, told := problem.Response.Outcome.Get()
	return refused(err) || told && outcome == tables.ProblemOutcomeRefused
}

func request(group []*pending) *tables.CommitRequest {
	transactions := make([]tables.Transaction, 0, len(group))
	for _, p := range group {
		operations := make([]tables.Operation, 0, len(p.changes))
		for _, change := range p.changes {
			operations = append(operations, operation(change))
		}
		transactions = append(transactions, tables.Transaction{Operations: operations})
	}
	return &tables.CommitRequest{Transactions: transactions}
}

func operation(change Change) tables.Operation {
	table, key, expected := condition(change)
	o := tables.Operation{Table: table, Key: key}
	if expected != nil {
		o.ExpectedVersion = tables.NewOptInt64(*expected)
	}
	switch c := change.(type) {
	case Put:
		o.Kind = tables.OperationKindPut
		o.Value = c.Value
	case Delete:
		o.Kind = tables.OperationKindDelete
	case Check:
		o.Kind = tables.OperationKindCheck
	}
	return o
}

func resultOf(r tables.TransactionResult) result {
	if r.Applied {
		return result{version: r.Version}
	}
	conflict := &ConflictError{Rows: make([]Row, 0, len(r.Conflicts))}
	for _, row := range r.Conflicts {
		conflict.Rows = append(conflict.Rows, rowOf(row))
	}
	return result{err: conflict}
}
