package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// DefaultWatchWait is how long one call of a Watcher may wait for a change.
	// It bounds how long a connection that has gone silent stays unnoticed.
	DefaultWatchWait = time.Second
	// fullPage is how many changes an answer may have and surely not be cut short: a
	// page ends at a megabyte, and the largest rows have ten kilobytes.
	maxUntruncatedChanges = 100
	firstWatchRetry       = 50 * time.Millisecond
	maxWatchRetry         = 400 * time.Millisecond
)

// Watcher follows a table: it takes a snapshot, then reads what changed. Where
// the service has dropped its history it takes a new snapshot.
type Watcher struct {
	Feed  Feed
	Table string
	// From is the version to begin after, where the rows up to it are known. Zero asks
	// for a snapshot first.
	AfterVersion int64
	// Wait bounds a call; DefaultWatchWait if zero.
	Wait time.Duration
	// Pause is the least time between two calls, so that changes share them.
	Pause time.Duration
	// Rest, if set, is called after each call that succeeded and returns when the next one
	// is wanted.
	AwaitNext func(ctx context.Context)
	// OnSnapshot is given all rows of the table: what it lacks is gone.
	OnSnapshot func(rows []Row)
	// OnChanges is given changes in their order, and none where a call ended
	// without any.
	OnChanges func(changes []RowChange)
	// OnRead, if set, is told that all changes from before an instant were given.
	OnCaughtUp func(before time.Time)
	// OnError is told each failed call; it may be nil.
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
	for ctx.Err() == nil {
		next, err := w.step(ctx, version)
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

// step makes one call; a version below zero asks for a snapshot.
func (w *Watcher) step(ctx context.Context, version int64) (int64, error) {
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
	if wait <= 0 {
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
