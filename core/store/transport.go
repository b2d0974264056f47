package store

import (
	"context"
	"errors"
	"time"
)

// ErrRejected means that the service answered and did nothing because of what
// it was asked. It says nothing against the service.
var ErrRejected = errors.New("table service rejected the call")

// ErrBusy means that the service answered and did nothing because it had too much
// to do. It comes with ErrUnavailable.
var ErrBusy = errors.New("table service is busy")

// ErrHistoryGone means that a watch asked for changes that the service no
// longer has. Take a snapshot and watch from there.
var ErrHistoryGone = errors.New("table service no longer has these changes")

// Transaction is a set of changes that apply whole or not at all.
type Transaction []Change

// Result is the outcome of one transaction of a commit call. Err is nil or a
// *ConflictError, or wraps ErrRejected, ErrUnavailable or ErrUnsettled where the
// call took several exchanges and one of them failed.
type Result struct {
	Version int64
	Err     error
}

// Page is some of the rows of a table. Next is where the next page begins, empty
// after the last one. Version is that of the service as of the page, or Absent
// where the service does not tell.
type Page struct {
	Rows    []Row
	Next    string
	Version int64
}

// RowChange is a row as a transaction left it. Removed rows have no value.
type RowChange struct {
	Row
	Removed bool
}

// Changes are what a watch returned. Next is where the next watch goes on.
type Changes struct {
	Rows []RowChange
	Next int64
}

// Transport carries the calls of a Client to a table service. Errors of Commit
// wrap ErrRejected, ErrUnavailable or ErrUnsettled; those of the other calls
// are told apart only by ErrRejected.
type Transport interface {
	Commit(ctx context.Context, group []Transaction) ([]Result, error)
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns a page of the rows whose key has the prefix. The first page is
	// that of the empty cursor.
	Scan(ctx context.Context, table, prefix, cursor string) (Page, error)
	// Close ends idle connections.
	Close()
}

// Feed is a service that tells what changed in a table.
type Feed interface {
	// Snapshot returns all rows of a table whose key has the prefix, and the
	// version from which a watch misses nothing.
	Snapshot(ctx context.Context, table, prefix string) ([]Row, int64, error)
	// Watch returns the changes of a table after a version, as soon as there is
	// one, or none after the wait. The error may be ErrHistoryGone.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}
