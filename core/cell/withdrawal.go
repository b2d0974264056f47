package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// A caller may cancel a job whose submission got no answer. If no row of the job is found, its insert
// may still be under way: in the store, which executes a call without an answer seconds later, or in
// another VM. Such a job is withdrawn: a tombstone takes the place of its row, so that the insert fails.

const (
	// withdrawalRetention is how long a tombstone is kept. It must outlast writes that are executed late
	// or by a VM that was suspended, and submissions that callers repeat.
	withdrawalRetention = 2 * time.Minute
	// withdrawalsPerSecond and withdrawalBurst bound the tombstones that one VM writes, since callers may
	// cancel any number of IDs that nobody submits.
	withdrawalsPerSecond = 2
	withdrawalBurst      = 100
	// removalBatch is the maximum number of tombstones that one commit removes. Each takes two entries,
	// one of them for its condition.
	removalBatch = 48
	// removalInterval is the time between looks for tombstones to remove, removalPause the time between
	// two commits of a look.
	removalInterval = time.Second
	removalPause    = 100 * time.Millisecond
)

// ErrTooManyWithdrawals means that callers have recently canceled too many unknown jobs at this VM.
// The cancellation has no effect.
var ErrTooManyWithdrawals = errors.New("too many cancellations of unknown jobs")

func newWithdrawalLimiter() *rate.Limiter {
	return rate.NewLimiter(withdrawalsPerSecond, withdrawalBurst)
}

// withdraw writes the tombstone of a job over a version of its row. The error is ErrNotFound once the
// tombstone is stored, or ErrTooManyWithdrawals; another one means that the row has changed or that it
// is not known whether the tombstone is stored.
func (n *Node) withdraw(ctx context.Context, caller Caller, id jobs.ID, over int64) error {
	if !n.withdrawalLimit.Allow() {
		return ErrTooManyWithdrawals
	}
	tombstone := jobs.Job{ID: id, ArrivedAt: time.Now(), FinalState: jobs.Canceled, Organization: caller.Organization, Withdrawn: true}
	data, err := jobs.Encode(tombstone)
	if err != nil {
		return err
	}
	version, err := n.opts.Store.Commit(ctx, store.Put{Table: JobsTable, Key: string(id), Value: data, Expected: store.Expect(over)})
	if err != nil {
		return err
	}
	n.opts.Logger.Info("job withdrawn", "job", id, "organization", caller.Organization, "over", over, "version", version)
	return ErrNotFound
}

// withdrawals removes the tombstones of withdrawn jobs once they have served their time. It is safe
// for concurrent use.
type withdrawals struct {
	leader *leader

	mu sync.Mutex
	// queue holds the tombstones in the order in which they were seen.
	queue []tombstone
	// versions holds the versions of the rows of the tombstones in queue.
	versions map[jobs.ID]int64
}

// tombstone is the row of a withdrawn job.
type tombstone struct {
	job      jobs.ID
	version  int64
	removeAt time.Time
}

func newWithdrawals(l *leader) *withdrawals {
	return &withdrawals{leader: l, versions: make(map[jobs.ID]int64)}
}

// add notes a tombstone that is stored with a version.
func (w *withdrawals) add(now time.Time, id jobs.ID, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.versions[id] == version {
		return
	}
	w.versions[id] = version
	w.queue = append(w.queue, tombstone{id, version, now.Add(withdrawalRetention)})
}

// due returns the first tombstones that are to be removed, at most removalBatch.
func (w *withdrawals) due(now time.Time) []tombstone {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < min(len(w.queue), removalBatch) && !now.Before(w.queue[n].removeAt) {
		n++
	}
	return w.queue[:n:n]
}

// drop forgets the first tombstones.
func (w *withdrawals) drop(first []tombstone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range first {
		if w.versions[t.job] == t.version {
			delete(w.versions, t.job)
		}
	}
	w.queue = w.queue[len(first):]
}

// run removes tombstones until ctx ends.
func (w *withdrawals) run(ctx context.Context) {
	for store.Sleep(ctx, removalInterval) {
		for batch := w.due(time.Now()); len(batch) > 0; batch = w.due(time.Now()) {
			removed, err := w.remove(ctx, batch)
			if err != nil {
				w.leader.node.opts.Logger.Warn("tombstones of withdrawn jobs not removed", "jobs", len(batch), "error", err)
				break
			}
			w.drop(batch)
			w.leader.node.opts.Logger.Info("tombstones of withdrawn jobs removed", "jobs", removed, "replaced", len(batch)-removed)
			if !store.Sleep(ctx, removalPause) {
				return
			}
		}
	}
}

// remove removes tombstones that nothing has replaced, and returns their number.
func (w *withdrawals) remove(ctx context.Context, batch []tombstone) (int, error) {
	changes := make(map[string]store.Change, len(batch))
	for _, t := range batch {
		changes[string(t.job)] = store.Delete{Table: JobsTable, Key: string(t.job), Expected: store.Expect(t.version)}
	}
	for len(changes) > 0 {
		list := make([]store.Change, 0, len(changes))
		for _, change := range changes {
			list = append(list, change)
		}
		_, err := w.leader.node.opts.Store.Commit(ctx, list...)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return len(changes), nil
		case !errors.As(err, &conflict) || len(conflict.Rows) == 0:
			return 0, fmt.Errorf("remove tombstones: %w", err)
		}
		for _, row := range conflict.Rows {
			delete(changes, row.Key)
		}
	}
	return 0, nil
}
