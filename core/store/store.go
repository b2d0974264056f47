// Package store talks to the platform's transactional tables.
//
// The model: a Transaction applies whole or not at all. Its operations may name
// the version that a row must have, so that each write can be repeated safely.
// The service can be down, slow, or lose the answer to a write that took
// effect. Errors say which of these it was:
//
//   - a *ConflictError: a condition did not hold; nothing was written.
//   - ErrUnavailable: the write was not sent, so nothing was written.
//   - ErrUnsettled: the write may have taken effect. Read the rows to settle it.
//
// Writes of many goroutines are grouped into one commit call.
package store

import (
	"context"
	"errors"
	"fmt"
)

// ErrUnavailable means that the table service was not reached and nothing was
// written or read.
var ErrUnavailable = errors.New("table service unavailable")

// ErrUnsettled means that a write may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("table service did not confirm the write")

// Absent is the expected version of a row that must not exist.
const Absent int64 = 0

// Row is a row with its version. Version is Absent for a row that does not exist.
type Row struct {
	Table   string
	Key     string
	Version int64
	Value   []byte
}

// Change is one operation of a transaction.
type Change interface{ change() }

// Put writes a row. With a non-nil Expected the row must have that version.
type Put struct {
	Table    string
	Key      string
	Value    []byte
	Expected *int64
}

// Delete removes a row. With a non-nil Expected the row must have that version.
type Delete struct {
	Table    string
	Key      string
	Expected *int64
}

// Check only demands that a row has a version.
type Check struct {
	Table    string
	Key      string
	Expected int64
}

func (Put) change()    {}
func (Delete) change() {}
func (Check) change()  {}

// Expect returns a pointer to version, for the Expected field of a change.
func Expect(version int64) *int64 { return &version }

// ConflictError reports rows whose condition did not hold.
type ConflictError struct {
	Rows []Row
}

// Error names the first row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict"
	}
	return fmt.Sprintf("conflict: row %s/%s has version %d", e.Rows[0].Table, e.Rows[0].Key, e.Rows[0].Version)
}

// Tables is the platform's table service as the system uses it.
type Tables interface {
	// Commit applies the changes as one transaction and returns the version that
	// written rows got. The error is a *ConflictError, or wraps ErrUnavailable or
	// ErrUnsettled.
	Commit(ctx context.Context, changes ...Change) (int64, error)
	// Read returns the row, with version Absent if it does not exist.
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns all rows of a table whose key has the prefix, in key order.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
	// Reachable reports whether the last calls succeeded.
	Reachable() bool
}
