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

// CompareAndSet writes value over the row that the caller has read, and returns
// the row as it then is. A lost answer is settled: the row is read back, and the
// same write is sent again while the row is unchanged, until ctx ends. The
// condition on the version makes sure that it takes effect once at most.
//
// The value must differ from any that another writer may write over the same
// version. The error is a *ConflictError if the row holds something else now,
// whether or not it held value for a moment. ErrUnavailable means that no
// attempt was sent, and ErrUnsettled that one may still take effect.
func CompareAndSet(ctx context.Context, t Tables, row Row, value []byte) (Row, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstSwapRetry
	delays.MaxInterval = maxSwapRetry
	written := Row{Table: row.Table, Key: row.Key, Value: value}
	put := Put{Table: row.Table, Key: row.Key, Value: value, Expected: Expect(row.Version)}
	unsettled := false
	for {
		version, err := t.Commit(ctx, put)
		if err == nil {
			written.Version = version
			return written, nil
		}
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			return resolveConflict(conflict, row, value, unsettled)
		case errors.Is(err, ErrOutcomeUnknown):
			unsettled = true
		case !unsettled:
			return Row{}, err
		}
		if present, readErr := t.Read(ctx, row.Table, row.Key); readErr == nil && present.Version != row.Version {
			return resolveConflict(&ConflictError{Rows: []Row{present}}, row, value, unsettled)
		}
		if !Sleep(ctx, delays.NextBackOff()) {
			return Row{}, fmt.Errorf("row %s/%s: %w: %w", row.Table, row.Key, ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// settleConflict tells the caller's own earlier write from that of another.
func resolveConflict(conflict *ConflictError, row Row, value []byte, unsettled bool) (Row, error) {
	if !unsettled {
		return Row{}, conflict
	}
	for _, present := range conflict.Rows {
		if present.Table == row.Table && present.Key == row.Key && present.Version != Absent && bytes.Equal(present.Value, value) {
			return present, nil
		}
	}
	return Row{}, conflict
}

// Pause waits, and reports whether ctx still holds.
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
