package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// DefaultWatchWait is how long one call of a Watcher waits for a change. It bounds how long
	// a dead connection goes unnoticed.
	DefaultWatchWait = time.Second
	// maxUntruncatedChanges is the number of changes below which a response is surely complete:
	// a page is truncated at 1 MB, and the largest rows have 10 kB.
	maxUntruncatedChanges = 100
	firstWatchRetry       = 50 * time.Millisecond
	maxWatchRetry         = 400 * time.Millisecond
	// retryWatchWait is how long a call after one that failed waits for a change: its answer tells
	// soon that nothing was missed.
	retryWatchWait = time.Millisecond
)

// Watcher follows a table: it takes a snapshot, then watches for changes. If the service no
// longer has the next changes, it takes a new snapshot.
type Watcher struct {
	Feed  Feed
	Table string
	// AfterVersion is the version after which to start, if the caller knows the rows up to it.
	// If zero, the Watcher takes a snapshot first.
	AfterVersion int64
	// Wait is how long one call waits for a change; DefaultWatchWait if zero.
	Wait time.Duration
	// Pause is the time between the end of a call that succeeded and the next call, so that
	// several changes share a call. Zero means none.
	Pause time.Duration
	// AwaitNext, if set, is called after each call that succeeded. The next call starts when it
	// returns.
	AwaitNext func(ctx context.Context)
	// OnSnapshot is called with all rows of the table after a snapshot. Rows that are not among
	// them no longer exist.
	OnSnapshot func(rows []Row)
	// OnChanges is called with the changes of each watch call, in their order, also if there are
	// none.
	OnChanges func(changes []RowChange)
	// OnCaughtUp, if set, is called when all changes from before the given time were passed to
	// OnSnapshot and OnChanges.
	OnCaughtUp func(before time.Time)
	// OnError, if set, is called with the error of each failed call, except ErrHistoryGone.
	OnError func(err error)
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstWatchRetry
	delays.MaxInterval = maxWatchRetry
	version := int64(-1)
	if w.AfterVersion > 0 {
		version = w.AfterVersion
	}
	retrying := false
	for ctx.Err() == nil {
		next, err := w.step(ctx, version, retrying)
		retrying = err != nil
		if err == nil {
			delays.Reset()
			version = next
			if w.Pause > 0 {
				Sleep(ctx, w.Pause)
			}
			if w.AwaitNext != nil {
				w.AwaitNext(ctx)
			}
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			version = -1
			continue
		}
		if w.OnError != nil && ctx.Err() == nil {
			w.OnError(err)
		}
		Sleep(ctx, delays.NextBackOff())
	}
}

// step makes one call and returns the version from which the next one continues. A negative
// version requests a snapshot. Retrying is set if the last call failed.
func (w *Watcher) step(ctx context.Context, version int64, retrying bool) (int64, error) {
	sent := time.Now()
	if version < 0 {
		rows, next, err := w.Feed.Snapshot(ctx, w.Table, "")
		if err != nil {
			return 0, err
		}
		w.OnSnapshot(rows)
		w.notifyCaughtUp(sent)
		return next, nil
	}
	wait := w.Wait
	switch {
	case retrying:
		wait = retryWatchWait
	case wait <= 0:
		wait = DefaultWatchWait
	}
	changes, err := w.Feed.Watch(ctx, w.Table, version, wait)
	if err != nil {
		return 0, err
	}
	w.OnChanges(changes.Rows)
	if len(changes.Rows) < maxUntruncatedChanges {
		w.notifyCaughtUp(sent)
	}
	return changes.Next, nil
}

func (w *Watcher) notifyCaughtUp(before time.Time) {
	if w.OnCaughtUp != nil {
		w.OnCaughtUp(before)
	}
}
