// Package store is the client of the platform's transactional tables.
//
// A Transaction is applied completely or not at all. Its operations may require a row
// to have a certain version, so that a write can be retried safely. The service can be
// down or slow, or lose the reply to a write that took effect. The error of a write
// distinguishes these cases:
//
//   - *ConflictError: a required version did not match; nothing was written.
//   - ErrUnavailable: nothing was written, since the write was not sent or the service
//     did not apply it.
//   - ErrOutcomeUnknown: the write may or may not have taken effect. Read the rows to
//     find out.
//
// Concurrent writes share commit calls.
package store

import (
	"context"
	"errors"
	"fmt"
)

// ErrUnavailable means that the table service was not reached or did not perform the call, so
// that nothing was written or read.
var ErrUnavailable = errors.New("table service unavailable")

// ErrOutcomeUnknown means that a write may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("table service did not confirm the write")

// Absent is the version of a row that does not exist.
const Absent int64 = 0

// Row is a table row. Version increases with each write and is Absent for a row that does not
// exist.
type Row struct {
	Table   string
	Key     string
	Version int64
	Value   []byte
}

// Change is one operation of a transaction: a Put, Delete or Check.
type Change interface{ change() }

// Put writes a row. If Expected is not nil, the row must have that version.
type Put struct {
	Table    string
	Key      string
	Value    []byte
	Expected *int64
}

// Delete removes a row. If Expected is not nil, the row must have that version.
type Delete struct {
	Table    string
	Key      string
	Expected *int64
}

// Check requires a row to have a version and changes nothing.
type Check struct {
	Table    string
	Key      string
	Expected int64
}

func (Put) change()    {}
func (Delete) change() {}
func (Check) change()  {}

// Expect returns a pointer to version, for the Expected field of a Put or Delete.
func Expect(version int64) *int64 { return &version }

// ConflictError reports a transaction that was not applied because rows did not have the
// expected version. Rows are the present ones.
type ConflictError struct {
	Rows []Row
}

// Error describes the first row in conflict.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict"
	}
	return fmt.Sprintf("conflict: row %s/%s has version %d", e.Rows[0].Table, e.Rows[0].Key, e.Rows[0].Version)
}

// Tables is the interface to the platform's tables. Client and Memory implement it.
type Tables interface {
	// Commit applies the changes as one transaction and returns the version of the written
	// rows. The error is a *ConflictError, or wraps ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, changes ...Change) (int64, error)
	// Read returns a row, with version Absent if it does not exist.
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns all rows of a table whose key has the prefix, in key order.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
	// Reachable reports whether the service is considered reachable, judged by the last calls.
	Reachable() bool
}
