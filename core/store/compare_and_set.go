package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	firstSwapRetry = 20 * time.Millisecond
	maxSwapRetry   = 500 * time.Millisecond
)

// CompareAndSet replaces the value of a row that the caller has read, if its version has not
// changed, and returns the new row. If the outcome of a write is unknown, CompareAndSet reads
// the row and retries the write while the row is unchanged, until ctx ends. Because each attempt
// expects the same version, the write takes effect at most once.
//
// The value must differ from any value that another writer may write over the same version.
// The error is a *ConflictError if the row has another value now, even if it had value in
// between. ErrUnavailable means that no attempt was sent, and ErrOutcomeUnknown that one may
// still take effect.
func CompareAndSet(ctx context.Context, t Tables, row Row, value []byte) (Row, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstSwapRetry
	delays.MaxInterval = maxSwapRetry
	written := Row{Table: row.Table, Key: row.Key, Value: value}
	put := Put{Table: row.Table, Key: row.Key, Value: value, Expected: Expect(row.Version)}
	outcomeUnknown := false
	for {
		version, err := t.Commit(ctx, put)
		if err == nil {
			written.Version = version
			return written, nil
		}
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			return resolveConflict(conflict, row, value, outcomeUnknown)
		case errors.Is(err, ErrOutcomeUnknown):
			outcomeUnknown = true
		case !outcomeUnknown:
			return Row{}, err
		}
		if present, readErr := t.Read(ctx, row.Table, row.Key); readErr == nil && present.Version != row.Version {
			return resolveConflict(&ConflictError{Rows: []Row{present}}, row, value, outcomeUnknown)
		}
		if !Sleep(ctx, delays.NextBackOff()) {
			return Row{}, fmt.Errorf("row %s/%s: %w: %w", row.Table, row.Key, ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// resolveConflict returns the present row if the conflict is due to the caller's own earlier
// write of unknown outcome, and the conflict otherwise.
func resolveConflict(conflict *ConflictError, row Row, value []byte, outcomeUnknown bool) (Row, error) {
	if !outcomeUnknown {
		return Row{}, conflict
	}
	for _, present := range conflict.Rows {
		if present.Table == row.Table && present.Key == row.Key && present.Version != Absent && bytes.Equal(present.Value, value) {
			return present, nil
		}
	}
	return Row{}, conflict
}

// Sleep waits for the given time. It reports false if ctx ended first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
