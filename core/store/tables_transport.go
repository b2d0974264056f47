package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/api/tables"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	scanPage    = 1000
)

// tablesTransport implements Transport with the HTTP API of core/api/tables.
type tablesTransport struct {
	remote tables.Invoker
	http   *http.Transport
}

func newTablesTransport(address netip.AddrPort, connections int) (*tablesTransport, error) {
	if !address.IsValid() {
		return nil, errors.New("address of the table service not set")
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
	}
	remote, err := tables.NewClient("http://"+address.String(), tables.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, fmt.Errorf("creating client of the table service: %w", err)
	}
	return &tablesTransport{remote: remote, http: transport}, nil
}

// Close closes idle connections.
func (t *tablesTransport) Close() { t.http.CloseIdleConnections() }

// Commit sends all transactions in one call.
func (t *tablesTransport) Commit(ctx context.Context, group []Transaction) ([]Result, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := t.remote.Commit(ctx, newCommitRequest(group))
	switch {
	case err == nil:
		return resultsOf(reply), nil
	case isRejected(err):
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	case !connected.Load() || isNotApplied(err):
		return nil, unavailable(err)
	default:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// Read returns a row, with version Absent if it does not exist.
func (t *tablesTransport) Read(ctx context.Context, table, key string) (Row, error) {
	list, err := t.remote.Read(ctx, &tables.ReadRequest{Keys: []tables.RowKey{{Table: table, Key: key}}})
	if err != nil {
		return Row{}, markRejected(err)
	}
	if len(list.Rows) == 0 {
		return Row{Table: table, Key: key, Version: Absent}, nil
	}
	return rowOf(list.Rows[0]), nil
}

// Scan returns one page of rows. The cursor is the last key of the page before.
func (t *tablesTransport) Scan(ctx context.Context, table, prefix, cursor string) (Page, error) {
	params := tables.ScanParams{Table: table, Prefix: tables.NewOptString(prefix), Limit: tables.NewOptInt(scanPage)}
	if cursor != "" {
		params.After = tables.NewOptString(cursor)
	}
	list, err := t.remote.Scan(ctx, params)
	if err != nil {
		return Page{}, markRejected(err)
	}
	page := Page{}
	for _, row := range list.Rows {
		page.Rows = append(page.Rows, rowOf(row))
	}
	if list.More && len(page.Rows) > 0 {
		page.Next = page.Rows[len(page.Rows)-1].Key
	}
	return page, nil
}

// markRejected wraps ErrRejected around the error of a call that the service rejected, and
// returns other errors unchanged.
func markRejected(err error) error {
	if isRejected(err) {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return err
}

// isRejected reports whether the service rejected the call because of its content: a 4xx status
// other than 408 Request Timeout.
func isRejected(err error) bool {
	var problem *tables.ProblemStatusCode
	if !errors.As(err, &problem) || problem.StatusCode == http.StatusRequestTimeout {
		return false
	}
	return problem.StatusCode >= http.StatusBadRequest && problem.StatusCode < http.StatusInternalServerError
}

// isNotApplied reports whether the service answered that it applied nothing.
func isNotApplied(err error) bool {
	var problem *tables.ProblemStatusCode
	if !errors.As(err, &problem) {
		return false
	}
	outcome, present := problem.Response.Outcome.Get()
	return isRejected(err) || present && outcome == tables.ProblemOutcomeRefused
}

func newCommitRequest(group []Transaction) *tables.CommitRequest {
	transactions := make([]tables.Transaction, 0, len(group))
	for _, changes := range group {
		operations := make([]tables.Operation, 0, len(changes))
		for _, change := range changes {
			operations = append(operations, newOperation(change))
		}
		transactions = append(transactions, tables.Transaction{Operations: operations})
	}
	return &tables.CommitRequest{Transactions: transactions}
}

func newOperation(change Change) tables.Operation {
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

func resultsOf(reply *tables.CommitReply) []Result {
	results := make([]Result, 0, len(reply.Results))
	for _, r := range reply.Results {
		if r.Applied {
			results = append(results, Result{Version: r.Version})
			continue
		}
		conflict := &ConflictError{Rows: make([]Row, 0, len(r.Conflicts))}
		for _, row := range r.Conflicts {
			conflict.Rows = append(conflict.Rows, rowOf(row))
		}
		results = append(results, Result{Err: conflict})
	}
	return results
}

func rowOf(row tables.Row) Row {
	return Row{Table: row.Table, Key: row.Key, Version: row.Version, Value: row.Value}
}
