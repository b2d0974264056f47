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
	// slowStore is the time of an insert from which claims are secured before
	// a slot is taken.
	slowStore = 20 * time.Millisecond
	// meanWeight is the weight of a new sample in a moving mean.
	meanWeight = 0.2
	// rowsKept bounds the rows that wait to be deleted.
	rowsKept = 100_000
)

// movingMean is the moving mean of durations. It is safe for concurrent use.
type movingMean struct{ value atomic.Int64 }

func (m *movingMean) observe(took time.Duration) {
	old := m.value.Load()
	m.value.Store(old + int64(meanWeight*float64(int64(took)-old)))
}

func (m *movingMean) mean() time.Duration { return time.Duration(m.value.Load()) }

// rowsToDelete are claim rows that mean nothing any more.
type rowsToDelete struct {
	mu   sync.Mutex
	rows []claim.StoredRow
}

func (d *rowsToDelete) add(rows ...claim.StoredRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	room := max(0, rowsKept-len(d.rows))
	d.rows = append(d.rows, rows[:min(room, len(rows))]...)
}

// take removes and returns up to limit rows.
func (d *rowsToDelete) take(limit int) []claim.StoredRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := min(limit, len(d.rows))
	taken := slices.Clone(d.rows[:count])
	d.rows = slices.Delete(d.rows, 0, count)
	return taken
}

// flush writes claims that only memories have to the tables.
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

// sweep forgets claims whose time has passed and deletes rows that mean nothing
// any more, many in one transaction.
func (f *claims) sweep(ctx context.Context) {
	f.rows.add(f.book.Expire(f.now(), sweepLimit)...)
	if !f.tables.Reachable() {
		return
	}
	rows := f.rows.take(sweepLimit)
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
		f.metrics.rowsLeft.Add(int64(len(rows)))
		f.rows.add(rows...)
	}
}

// deleteRows deletes rows that still have the version that this VM wrote. A
// newer one is the claim of another request.
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

// without returns the rows that are not among the conflicts.
func without(rows []claim.StoredRow, conflicts []store.Row) []claim.StoredRow {
	conflicting := make(map[string]bool, len(conflicts))
	for _, row := range conflicts {
		conflicting[row.Key] = true
	}
	return slices.DeleteFunc(rows, func(row claim.StoredRow) bool { return conflicting[row.Key.String()] })
}

// sweepOrphans finds rows whose time has passed and whose writer is gone. One
// entry VM of each failure domain does it for the callers of the domain.
func (f *claims) sweepOrphans(ctx context.Context) {
	version := f.policy.Current()
	if version == nil || !f.tables.Reachable() || !f.sweepsDomain() {
		return
	}
	for name, caller := range version.Document.Callers {
		if caller.Domain != f.place.Domain {
			continue
		}
		rows, err := f.tables.Scan(ctx, claim.Table, name+"/")
		if err != nil {
			return
		}
		f.rows.add(f.orphans(name, rows)...)
	}
}

// orphans returns the rows that a living writer would have deleted by now.
func (f *claims) orphans(caller string, rows []store.Row) []claim.StoredRow {
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

// sweepsDomain reports whether this VM has the lowest seat among the live ones.
func (f *claims) sweepsDomain() bool {
	view := f.roster()
	if view == nil || view.Seat < 0 {
		return false
	}
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.Domain == f.place.Domain && vm.State == roster.Live && vm.Seat >= 0 && vm.Seat < view.Seat {
			return false
		}
	}
	return true
}
