package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerstack.org/core/store"
)

// storeRequest is a store call of another VM. Exactly one of Commit, Read, Scan and Watch is
// set.
type storeRequest struct {
	Commit [][]storeChange `cbor:"1,keyasint,omitempty"`
	Read   *readRequest    `cbor:"2,keyasint,omitempty"`
	Scan   *scanRequest    `cbor:"3,keyasint,omitempty"`
	Watch  *watchRequest   `cbor:"4,keyasint,omitempty"`
	// Timeout is how long the caller still waits; zero means no limit. It is not a deadline,
	// since the clocks of VMs may differ.
	Timeout time.Duration `cbor:"5,keyasint"`
}

type readRequest struct {
	Table string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
}

type scanRequest struct {
	Table  string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
	Cursor string `cbor:"3,keyasint"`
}

type watchRequest struct {
	Table string        `cbor:"1,keyasint"`
	After int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// changeKind is the kind of a change.
type changeKind int

const (
	putChange changeKind = iota
	deleteChange
	checkChange
)

type storeChange struct {
	Kind  changeKind `cbor:"1,keyasint"`
	Table string     `cbor:"2,keyasint"`
	Key   string     `cbor:"3,keyasint"`
	Value []byte     `cbor:"4,keyasint,omitempty"`
	// Expected is the version that the row must have, nil for any.
	Expected *int64 `cbor:"5,keyasint,omitempty"`
}

// errorKind is the kind of an error of the store.
type errorKind int

const (
	kindNone errorKind = iota
	kindConflict
	kindUnavailable
	kindBusy
	kindRejected
	kindHistoryGone
	kindUnsettled
)

// storeReply is the reply to a storeRequest.
type storeReply struct {
	// NotExecuted is true if the call was not executed, such as when this VM does not reach the
	// store either.
	NotExecuted bool              `cbor:"1,keyasint,omitempty"`
	Results     []storeResult     `cbor:"2,keyasint,omitempty"`
	Rows        []store.Row       `cbor:"3,keyasint,omitempty"`
	Cursor      string            `cbor:"4,keyasint,omitempty"`
	Version     int64             `cbor:"5,keyasint,omitempty"`
	Changes     []store.RowChange `cbor:"6,keyasint,omitempty"`
	ErrorKind   errorKind         `cbor:"7,keyasint,omitempty"`
	Detail      string            `cbor:"8,keyasint,omitempty"`
}

type storeResult struct {
	Version   int64       `cbor:"1,keyasint"`
	ErrorKind errorKind   `cbor:"2,keyasint,omitempty"`
	Detail    string      `cbor:"3,keyasint,omitempty"`
	Rows      []store.Row `cbor:"4,keyasint,omitempty"`
}

// execute executes the call through a transport.
func (r storeRequest) execute(ctx context.Context, transport store.Transport) storeReply {
	switch {
	case r.Commit != nil:
		results, err := transport.Commit(ctx, decodeGroup(r.Commit))
		return storeReply{Results: encodeResults(results)}.withError(err)
	case r.Read != nil:
		row, err := transport.Read(ctx, r.Read.Table, r.Read.Key)
		return storeReply{Rows: []store.Row{row}}.withError(err)
	case r.Scan != nil:
		page, err := transport.Scan(ctx, r.Scan.Table, r.Scan.Prefix, r.Scan.Cursor)
		return storeReply{Rows: page.Rows, Cursor: page.Next, Version: page.Version}.withError(err)
	case r.Watch != nil:
		feed, ok := transport.(store.Proxy)
		if !ok {
			return storeReply{NotExecuted: true}
		}
		changes, err := feed.Watch(ctx, r.Watch.Table, r.Watch.After, r.Watch.Wait)
		return storeReply{Changes: changes.Rows, Version: changes.Next}.withError(err)
	default:
		return storeReply{NotExecuted: true}
	}
}

// withError adds an error to the reply.
func (r storeReply) withError(err error) storeReply {
	if err != nil {
		r.ErrorKind, r.Detail = errorKindOf(err), err.Error()
	}
	return r
}

func (r storeReply) err() error { return r.ErrorKind.err(r.Detail, nil) }

func (r storeReply) checkRowCount(rows int) error {
	if len(r.Rows) == rows {
		return nil
	}
	return fmt.Errorf("got %d rows, want %d", len(r.Rows), rows)
}

func errorKindOf(err error) errorKind {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return kindConflict
	case errors.Is(err, store.ErrHistoryGone):
		return kindHistoryGone
	case errors.Is(err, store.ErrRejected):
		return kindRejected
	case errors.Is(err, store.ErrBusy):
		return kindBusy
	case errors.Is(err, store.ErrUnavailable):
		return kindUnavailable
	default:
		return kindUnsettled
	}
}

// err returns the error of a kind.
func (k errorKind) err(detail string, rows []store.Row) error {
	switch k {
	case kindNone:
		return nil
	case kindConflict:
		return &store.ConflictError{Rows: rows}
	case kindUnavailable:
		return fmt.Errorf("%w: through a proxy VM: %s", store.ErrUnavailable, detail)
	case kindBusy:
		return fmt.Errorf("%w: %w: through a proxy VM: %s", store.ErrUnavailable, store.ErrBusy, detail)
	case kindRejected:
		return fmt.Errorf("%w: through a proxy VM: %s", store.ErrRejected, detail)
	case kindHistoryGone:
		return store.ErrHistoryGone
	default:
		return fmt.Errorf("%w: through a proxy VM: %s", store.ErrOutcomeUnknown, detail)
	}
}

func encodeResults(results []store.Result) []storeResult {
	list := make([]storeResult, 0, len(results))
	for _, r := range results {
		result := storeResult{Version: r.Version}
		if r.Err != nil {
			result.ErrorKind, result.Detail = errorKindOf(r.Err), r.Err.Error()
		}
		var conflict *store.ConflictError
		if errors.As(r.Err, &conflict) {
			result.Rows = conflict.Rows
		}
		list = append(list, result)
	}
	return list
}

func decodeResults(results []storeResult) []store.Result {
	list := make([]store.Result, 0, len(results))
	for _, r := range results {
		list = append(list, store.Result{Version: r.Version, Err: r.ErrorKind.err(r.Detail, r.Rows)})
	}
	return list
}

func encodeGroup(group []store.Transaction) [][]storeChange {
	list := make([][]storeChange, 0, len(group))
	for _, t := range group {
		changes := make([]storeChange, 0, len(t))
		for _, change := range t {
			changes = append(changes, encodeChange(change))
		}
		list = append(list, changes)
	}
	return list
}

func encodeChange(change store.Change) storeChange {
	switch c := change.(type) {
	case store.Put:
		return storeChange{Kind: putChange, Table: c.Table, Key: c.Key, Value: c.Value, Expected: c.Expected}
	case store.Delete:
		return storeChange{Kind: deleteChange, Table: c.Table, Key: c.Key, Expected: c.Expected}
	case store.Check:
		return storeChange{Kind: checkChange, Table: c.Table, Key: c.Key, Expected: &c.Expected}
	default:
		panic(fmt.Sprintf("unknown change type %T", change))
	}
}

func decodeGroup(group [][]storeChange) []store.Transaction {
	list := make([]store.Transaction, 0, len(group))
	for _, changes := range group {
		t := make(store.Transaction, 0, len(changes))
		for _, c := range changes {
			t = append(t, c.decode())
		}
		list = append(list, t)
	}
	return list
}

func (c storeChange) decode() store.Change {
	switch c.Kind {
	case deleteChange:
		return store.Delete{Table: c.Table, Key: c.Key, Expected: c.Expected}
	case checkChange:
		var version int64
		if c.Expected != nil {
			version = *c.Expected
		}
		return store.Check{Table: c.Table, Key: c.Key, Expected: version}
	default:
		value := c.Value
		if value == nil {
			value = []byte{}
		}
		return store.Put{Table: c.Table, Key: c.Key, Value: value, Expected: c.Expected}
	}
}
