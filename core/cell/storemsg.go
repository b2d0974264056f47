package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerstack.org/core/store"
)

// storeQuestion is a call to the store for another VM; one of its calls is set.
type storeQuestion struct {
	Commit [][]storeChange `cbor:"1,keyasint,omitempty"`
	Read   *rowName        `cbor:"2,keyasint,omitempty"`
	Scan   *scanQuestion   `cbor:"3,keyasint,omitempty"`
	Watch  *watchQuestion  `cbor:"4,keyasint,omitempty"`
	// Timeout is how long the caller still waits, or zero for no bound. It is no
	// deadline, since the clocks of VMs may differ.
	Timeout time.Duration `cbor:"5,keyasint"`
}

type rowName struct {
	Table string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
}

type scanQuestion struct {
	Table  string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
	Cursor string `cbor:"3,keyasint"`
}

type watchQuestion struct {
	Table string        `cbor:"1,keyasint"`
	After int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// changeKind tells the kinds of changes apart.
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
	// Expected is the version that the row must have, or nil.
	Expected *int64 `cbor:"5,keyasint,omitempty"`
}

// problem is the kind of an error of the store.
type problem int

const (
	noProblem problem = iota
	conflictProblem
	unavailableProblem
	busyProblem
	rejectedProblem
	historyProblem
	unsettledProblem
)

// storeReply is the answer to a storeQuestion.
type storeReply struct {
	// NotTaken says that the store does not answer this VM either: nothing was done.
	NotTaken bool              `cbor:"1,keyasint,omitempty"`
	Results  []storeResult     `cbor:"2,keyasint,omitempty"`
	Rows     []store.Row       `cbor:"3,keyasint,omitempty"`
	Cursor   string            `cbor:"4,keyasint,omitempty"`
	Version  int64             `cbor:"5,keyasint,omitempty"`
	Changes  []store.RowChange `cbor:"6,keyasint,omitempty"`
	Problem  problem           `cbor:"7,keyasint,omitempty"`
	Detail   string            `cbor:"8,keyasint,omitempty"`
}

type storeResult struct {
	Version int64       `cbor:"1,keyasint"`
	Problem problem     `cbor:"2,keyasint,omitempty"`
	Detail  string      `cbor:"3,keyasint,omitempty"`
	Rows    []store.Row `cbor:"4,keyasint,omitempty"`
}

// carryOut makes the call.
func (q storeQuestion) carryOut(ctx context.Context, to store.Transport) storeReply {
	switch {
	case q.Commit != nil:
		results, err := to.Commit(ctx, decodeGroup(q.Commit))
		return storeReply{Results: encodeResults(results)}.failed(err)
	case q.Read != nil:
		row, err := to.Read(ctx, q.Read.Table, q.Read.Key)
		return storeReply{Rows: []store.Row{row}}.failed(err)
	case q.Scan != nil:
		page, err := to.Scan(ctx, q.Scan.Table, q.Scan.Prefix, q.Scan.Cursor)
		return storeReply{Rows: page.Rows, Cursor: page.Next, Version: page.Version}.failed(err)
	case q.Watch != nil:
		feed, ok := to.(store.Proxy)
		if !ok {
			return storeReply{NotTaken: true}
		}
		changes, err := feed.Watch(ctx, q.Watch.Table, q.Watch.After, q.Watch.Wait)
		return storeReply{Changes: changes.Rows, Version: changes.Next}.failed(err)
	default:
		return storeReply{NotTaken: true}
	}
}

// failed adds an error to the reply.
func (r storeReply) failed(err error) storeReply {
	if err != nil {
		r.Problem, r.Detail = problemOf(err), err.Error()
	}
	return r
}

func (r storeReply) err() error { return r.Problem.err(r.Detail, nil) }

func (r storeReply) shortOf(rows int) error {
	if len(r.Rows) == rows {
		return nil
	}
	return fmt.Errorf("%d rows where %d were asked for", len(r.Rows), rows)
}

func problemOf(err error) problem {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflictProblem
	case errors.Is(err, store.ErrHistoryGone):
		return historyProblem
	case errors.Is(err, store.ErrRejected):
		return rejectedProblem
	case errors.Is(err, store.ErrBusy):
		return busyProblem
	case errors.Is(err, store.ErrUnavailable):
		return unavailableProblem
	default:
		return unsettledProblem
	}
}

// err returns the error that a problem stands for.
func (p problem) err(detail string, rows []store.Row) error {
	switch p {
	case noProblem:
		return nil
	case conflictProblem:
		return &store.ConflictError{Rows: rows}
	case unavailableProblem:
		return fmt.Errorf("%w: through a VM: %s", store.ErrUnavailable, detail)
	case busyProblem:
		return fmt.Errorf("%w: %w: through a VM: %s", store.ErrUnavailable, store.ErrBusy, detail)
	case rejectedProblem:
		return fmt.Errorf("%w: through a VM: %s", store.ErrRejected, detail)
	case historyProblem:
		return store.ErrHistoryGone
	default:
		return fmt.Errorf("%w: through a VM: %s", store.ErrOutcomeUnknown, detail)
	}
}

func encodeResults(results []store.Result) []storeResult {
	list := make([]storeResult, 0, len(results))
	for _, r := range results {
		result := storeResult{Version: r.Version}
		if r.Err != nil {
			result.Problem, result.Detail = problemOf(r.Err), r.Err.Error()
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
		list = append(list, store.Result{Version: r.Version, Err: r.Problem.err(r.Detail, r.Rows)})
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
		panic(fmt.Sprintf("unknown change %T", change))
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
