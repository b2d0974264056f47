package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"
)

// scriptedFeed is a Feed that returns the errors and Changes of a script and then ends the
// test's context. after records the version of each watch, and waits how long it waits for changes.
type scriptedFeed struct {
	mu        sync.Mutex
	snapshots int
	script    []any
	end       context.CancelFunc
	after     []int64
	waits     []time.Duration
}

func (f *scriptedFeed) Snapshot(context.Context, string, string) ([]Row, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	return []Row{{Key: "snapshot"}}, int64(100 * f.snapshots), nil
}

func (f *scriptedFeed) Watch(_ context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after, f.waits = append(f.after, after), append(f.waits, wait)
	if len(f.script) == 0 {
		f.end()
		return Changes{Next: after}, nil
	}
	next := f.script[0]
	f.script = f.script[1:]
	if err, failed := next.(error); failed {
		return Changes{}, err
	}
	return next.(Changes), nil
}

// TestWatcherNextVersion checks from which version a watcher continues after changes, a failure,
// and a loss of history.
func TestWatcherNextVersion(t *testing.T) {
	cases := map[string]struct {
		script    []any
		after     []int64
		snapshots int
		errors    int
	}{
		"changes advance the version":   {[]any{Changes{Next: 105}, Changes{Next: 110}}, []int64{100, 105, 110}, 1, 0},
		"a failure repeats the version": {[]any{errors.New("down"), Changes{Next: 105}}, []int64{100, 100, 105}, 1, 1},
		"lost history needs a snapshot": {[]any{Changes{Next: 105}, ErrHistoryGone, Changes{Next: 210}}, []int64{100, 105, 200, 210}, 2, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			feed := &scriptedFeed{script: c.script, end: cancel}
			failures := 0
			watcher := Watcher{
				Feed: feed, Table: "t",
				OnSnapshot: func([]Row) {},
				OnChanges:  func([]RowChange) {},
				OnError:    func(error) { failures++ },
			}
			watcher.Run(ctx)
			if !slices.Equal(feed.after, c.after) || feed.snapshots != c.snapshots || failures != c.errors {
				t.Errorf("watched after versions %v with %d snapshots and %d errors, want %v, %d and %d",
					feed.after, feed.snapshots, failures, c.after, c.snapshots, c.errors)
			}
		})
	}
}

// TestWatcherCatchesUpAtOnce guards against a watcher that reports only after a whole wait that it has
// caught up again, once the service is back.
func TestWatcherCatchesUpAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	feed := &scriptedFeed{script: []any{errors.New("down"), errors.New("down"), Changes{Next: 105}}, end: cancel}
	watcher := Watcher{Feed: feed, Table: "t", OnSnapshot: func([]Row) {}, OnChanges: func([]RowChange) {}}
	watcher.Run(ctx)
	if want := []time.Duration{DefaultWatchWait, retryWatchWait, retryWatchWait, DefaultWatchWait}; !slices.Equal(feed.waits, want) {
		t.Errorf("waits %v, want %v", feed.waits, want)
	}
}
