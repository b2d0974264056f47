package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

const (
	// slowInsert is the average insert time above which claims are secured before a
	// slot is taken.
	slowInsert = 20 * time.Millisecond
	// newSampleWeight is the weight of a new sample in a movingMean.
	newSampleWeight = 0.2
	// maxQueuedRows limits the rows waiting for deletion.
	maxQueuedRows = 100_000
)

// movingMean is an exponentially weighted moving average of durations. It is safe for
// concurrent use. Its zero value is an average of 0.
type movingMean struct{ value atomic.Int64 }

func (m *movingMean) observe(took time.Duration) {
	old := m.value.Load()
	m.value.Store(old + int64(newSampleWeight*float64(int64(took)-old)))
}

func (m *movingMean) mean() time.Duration { return time.Duration(m.value.Load()) }

// rowQueue is a queue of obsolete claim rows waiting for deletion.
type rowQueue struct {
	mu   sync.Mutex
	rows []claim.StoredRow
}

// add appends rows. Rows beyond maxQueuedRows are left out.
func (d *rowQueue) add(rows ...claim.StoredRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	free := max(0, maxQueuedRows-len(d.rows))
	d.rows = append(d.rows, rows[:min(free, len(rows))]...)
}

// take removes and returns up to limit rows.
func (d *rowQueue) take(limit int) []claim.StoredRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := min(limit, len(d.rows))
	taken := slices.Clone(d.rows[:count])
	d.rows = slices.Delete(d.rows, 0, count)
	return taken
}

// flush writes claims that are held only in memory to the tables. It stops at the first
// error other than a conflict.
func (f *claims) flush(ctx context.Context) {
	if !f.tables.Reachable() {
		return
	}
	for _, c := range f.book.Unstored(f.now(), flushLimit) {
		version, err := f.insert(ctx, c, store.Absent)
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return
		}
		f.book.SetStored(c, version)
	}
}

// sweep removes expired claims from memory and deletes up to sweepLimit obsolete rows in
// one transaction. Rows whose deletion fails are queued again.
func (f *claims) sweep(ctx context.Context) {
	f.obsoleteRows.add(f.book.Expire(f.now(), sweepLimit)...)
	if !f.tables.Reachable() {
		return
	}
	rows := f.obsoleteRows.take(sweepLimit)
	if len(rows) == 0 {
		return
	}
	err := f.deleteRows(ctx, rows)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		rows = without(rows, conflict.Rows)
		err = f.deleteRows(ctx, rows)
	}
	if err != nil {
		f.metrics.rowsNotDeleted.Add(int64(len(rows)))
		f.obsoleteRows.add(rows...)
	}
}

// deleteRows deletes rows that still have the given version. A row with a newer version
// is the claim of another request.
func (f *claims) deleteRows(ctx context.Context, rows []claim.StoredRow) error {
	changes := make([]store.Change, 0, len(rows))
	for _, row := range rows {
		changes = append(changes, store.Delete{
			Table:    claim.Table,
			Key:      row.Key.String(),
			Expected: store.Expect(row.Version),
		})
	}
	if len(changes) == 0 {
		return nil
	}
	_, err := f.tables.Commit(ctx, changes...)
	return err
}

// without returns the rows that are not among the conflicts. It reuses the slice.
func without(rows []claim.StoredRow, conflicts []store.Row) []claim.StoredRow {
	conflicting := make(map[string]bool, len(conflicts))
	for _, row := range conflicts {
		conflicting[row.Key] = true
	}
	return slices.DeleteFunc(rows, func(row claim.StoredRow) bool { return conflicting[row.Key.String()] })
}

// sweepAbandonedRows queues expired rows whose writer is gone. One entry VM of each failure
// domain does this for the callers of the domain.
func (f *claims) sweepAbandonedRows(ctx context.Context) {
	version := f.policy.Current()
	if version == nil || !f.tables.Reachable() || !f.sweepsAbandonedRows() {
		return
	}
	for name, caller := range version.Document.Callers {
		if caller.Domain != f.location.Domain {
			continue
		}
		rows, err := f.tables.Scan(ctx, claim.Table, name+"/")
		if err != nil {
			return
		}
		f.obsoleteRows.add(f.abandonedRows(name, rows)...)
	}
}

// abandonedRows returns the rows that expired so long ago that a running writer would have
// deleted them.
func (f *claims) abandonedRows(caller string, rows []store.Row) []claim.StoredRow {
	var found []claim.StoredRow
	latest := f.now().Add(-f.longestWindow() - f.clockSkew)
	for _, row := range rows {
		present, err := claim.DecodeRow(row.Value)
		if err != nil || present.KeepUntil.After(latest) {
			continue
		}
		key := claim.Key{Caller: caller, ID: row.Key[len(caller)+1:]}
		found = append(found, claim.StoredRow{Key: key, Version: row.Version})
	}
	return found
}

// sweepsAbandonedRows reports whether this VM has the lowest seat of the live VMs in its
// failure domain.
func (f *claims) sweepsAbandonedRows() bool {
	view := f.roster()
	if view == nil || view.Seat < 0 {
		return false
	}
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.Domain == f.location.Domain && vm.State == roster.Live && vm.Seat >= 0 && vm.Seat < view.Seat {
			return false
		}
	}
	return true
}
