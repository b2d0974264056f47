package cell

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// recordBatch is how many jobs one commit writes. Each has two entries in a
	// call, of which the platform takes 100, and one is the check of the epoch.
	recordBatch = 48
	// closeBatch is how many rows of final jobs are shrunk in one commit, and
	// closeEvery the time between such commits.
	closeBatch = 80
	closeEvery = 500 * time.Millisecond
	// closeBelow is how long the last commit may have taken for this to go on: a
	// slow store has no time for it.
	closeBelow = 150 * time.Millisecond
	// recordRetry is the wait after a commit that failed.
	recordRetry = 50 * time.Millisecond
)

// recorder commits the progress of jobs, many at once. Each commit depends on
// the epoch, so that a leader that was replaced writes nothing.
type recorder struct {
	leader *leader

	mu      sync.Mutex
	waiting map[jobs.ID]engine.Record
	order   []jobs.ID
	// versions are those of the progress rows as this leader last saw them. Each
	// write depends on them: one whose answer was lost may be executed late, and
	// must not undo a later one.
	versions map[jobs.ID]int64
	// closing are jobs whose final state is stored.
	closing []jobs.Job
	kick    chan struct{}
	// lastCommit is how long the last commit took, a time.Duration.
	lastCommit atomic.Int64
	// committed is closed and replaced after each commit.
	committed chan struct{}
}

func newRecorder(l *leader) *recorder {
	return &recorder{
		leader:    l,
		waiting:   make(map[jobs.ID]engine.Record),
		versions:  make(map[jobs.ID]int64),
		kick:      make(chan struct{}, 1),
		committed: make(chan struct{}),
	}
}

// add queues progress in place of an older one of the same job.
func (r *recorder) add(record engine.Record) {
	r.mu.Lock()
	if held, ok := r.waiting[record.ID.Job]; !ok {
		r.order = append(r.order, record.ID.Job)
	} else if held.ID.Revision > record.ID.Revision {
		record = held
	}
	r.waiting[record.ID.Job] = record
	r.mu.Unlock()
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// wait waits for the next commit, for as long as limit.
func (r *recorder) wait(ctx context.Context, limit time.Duration) {
	r.mu.Lock()
	committed := r.committed
	r.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-committed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		}
		for batch := r.next(); len(batch) > 0; batch = r.next() {
			if !r.store(ctx, batch) {
				return
			}
		}
	}
}

// next takes a batch out of the queue.
func (r *recorder) next() []engine.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.order), recordBatch)
	batch := make([]engine.Record, 0, n)
	for _, id := range r.order[:n] {
		batch = append(batch, r.waiting[id])
		delete(r.waiting, id)
	}
	r.order = r.order[n:]
	return batch
}

// store commits a batch, however often it takes. It reports false once the
// leadership has ended.
func (r *recorder) store(ctx context.Context, batch []engine.Record) bool {
	changes, err := r.changes(batch)
	if err != nil {
		r.leader.node.opts.Logger.Warn("progress cannot be encoded", "error", err)
		return true
	}
	for ctx.Err() == nil {
		began := time.Now()
		version, err := r.leader.node.opts.Store.Commit(ctx, changes...)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			version, err = landed(changes, conflict)
			if err != nil {
				r.leader.node.elector.abandon(r.leader.epoch, err.Error())
				return false
			}
		}
		if err == nil {
			r.lastCommit.Store(int64(time.Since(began)))
			observe(r.leader.node.metrics.record, began)
			r.done(batch, version)
			return true
		}
		r.leader.node.opts.Logger.Warn("progress not recorded", "jobs", len(batch), "error", err)
		store.Sleep(ctx, recordRetry)
	}
	return false
}

// landed returns the version that an earlier attempt at the same changes has
// written. It returns an error if another leader wrote since.
func landed(changes []store.Change, conflict *store.ConflictError) (int64, error) {
	written := make(map[string][]byte, len(changes))
	for _, change := range changes {
		if put, ok := change.(store.Put); ok && put.Table == progressTable {
			written[put.Key] = put.Value
		}
	}
	version := store.Absent
	for _, row := range conflict.Rows {
		value, ours := written[row.Key]
		if row.Table != progressTable || !ours || !bytes.Equal(row.Value, value) {
			return 0, fmt.Errorf("row %s/%s was written by another leader", row.Table, row.Key)
		}
		version = max(version, row.Version)
	}
	return version, nil
}

func (r *recorder) changes(batch []engine.Record) ([]store.Change, error) {
	changes := []store.Change{store.Check{Table: LeaderTable, Key: epochKey, Expected: r.leader.version}}
	for _, record := range batch {
		id := record.ID.Job
		data, err := jobs.Encode(record.Progress)
		if err != nil {
			return nil, fmt.Errorf("progress of %s: %w", id, err)
		}
		changes = append(changes, store.Put{Table: progressTable, Key: string(id), Value: data, Expected: store.Expect(r.versions[id])})
	}
	return changes, nil
}

// runClose shrinks the rows of jobs whose final state is stored, so that the next
// leader has less to read. A row that is missed costs only that.
func (r *recorder) runClose(ctx context.Context) {
	for store.Sleep(ctx, closeEvery) {
		if time.Duration(r.lastCommit.Load()) > closeBelow {
			continue
		}
		r.mu.Lock()
		n := min(len(r.closing), closeBatch)
		batch := r.closing[:n]
		r.closing = r.closing[n:]
		r.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if err := r.shrink(ctx, batch); err != nil {
			r.leader.node.opts.Logger.Warn("rows of final jobs not shrunk", "jobs", len(batch), "error", err)
		}
	}
}

func (r *recorder) shrink(ctx context.Context, batch []jobs.Job) error {
	changes := make([]store.Change, 0, len(batch))
	for _, job := range batch {
		data, err := jobs.Encode(job)
		if err != nil {
			return fmt.Errorf("closed job %s: %w", job.ID, err)
		}
		changes = append(changes, store.Put{Table: JobsTable, Key: string(job.ID), Value: data})
	}
	_, err := r.leader.node.opts.Store.Commit(ctx, changes...)
	return err
}

func (r *recorder) done(batch []engine.Record, version int64) {
	marks := make([]engine.ProgressID, 0, len(batch))
	for _, record := range batch {
		marks = append(marks, record.ID)
		r.versions[record.ID.Job] = version
	}
	r.leader.apply(engine.Recorded{IDs: marks})
	r.mu.Lock()
	for _, record := range batch {
		if record.Closed != nil {
			r.closing = append(r.closing, *record.Closed)
		}
	}
	close(r.committed)
	r.committed = make(chan struct{})
	r.mu.Unlock()
}
