package store

import (
	"context"
	"errors"
	"time"
)

// ErrRejected means that the service rejected the call because of its content and did nothing.
// It is not a failure of the service.
var ErrRejected = errors.New("table service rejected the call")

// ErrBusy means that the service rejected the call because it is overloaded, and did nothing. It
// is wrapped together with ErrUnavailable.
var ErrBusy = errors.New("table service is busy")

// ErrHistoryGone means that a watch requested changes that the service no longer has. The
// caller has to take a snapshot and watch from its version.
var ErrHistoryGone = errors.New("table service no longer has these changes")

// Transaction is a list of changes that are applied completely or not at all.
type Transaction []Change

// Result is the result of one transaction of a commit call. Version is that of the written
// rows. Err is nil or a *ConflictError; or it wraps ErrRejected, ErrUnavailable or
// ErrOutcomeUnknown if the transport made several requests for the call and one of them failed.
type Result struct {
	Version int64
	Err     error
}

// Page is one page of a scan. Next is the cursor of the next page, empty on the last page.
// Version is the version of the service as of the page, or Absent if the service does not
// report it.
type Page struct {
	Rows    []Row
	Next    string
	Version int64
}

// RowChange is a row after a change. Removed is set if the row was deleted; it has no value
// then.
type RowChange struct {
	Row
	Removed bool
}

// Changes is the result of a watch. Next is the version from which the next watch continues.
type Changes struct {
	Rows []RowChange
	Next int64
}

// Transport carries the calls of a Client to a table service. Errors of Commit wrap
// ErrRejected, ErrUnavailable or ErrOutcomeUnknown. Errors of Read and Scan wrap ErrRejected if
// the service rejected the call.
type Transport interface {
	Commit(ctx context.Context, group []Transaction) ([]Result, error)
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns one page of the rows whose key has the prefix, in key order. An empty
	// cursor selects the first page.
	Scan(ctx context.Context, table, prefix, cursor string) (Page, error)
	// Close closes idle connections.
	Close()
}

// Feed provides the changes of a table.
type Feed interface {
	// Snapshot returns all rows of a table whose key has the prefix, and a version: a watch
	// from it on returns every change that the rows do not include.
	Snapshot(ctx context.Context, table, prefix string) ([]Row, int64, error)
	// Watch returns the changes of a table after a version, as soon as there is one, or none
	// after wait. The error wraps ErrHistoryGone if the service no longer has these changes.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}
