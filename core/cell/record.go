package cell

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// maxCommitEntries and maxCommitBytes bound what one commit of progress writes. A call of the
	// platform holds 100 entries and 1 MB, in an encoding that is a third larger than the values.
	maxCommitEntries = 97
	maxCommitBytes   = 500_000
	// compactBatch is the maximum number of rows of finished jobs that one commit compacts, and
	// compactInterval the time between such commits.
	compactBatch    = 80
	compactInterval = 500 * time.Millisecond
	// compactMaxCommitTime is the duration of the last commit above which compaction pauses: a
	// slow store has no time for it.
	compactMaxCommitTime = 150 * time.Millisecond
	// recordRetryInterval is the wait after a commit that failed.
	recordRetryInterval = 50 * time.Millisecond
)

// recorder commits the progress of jobs in batches. Each commit depends on the epoch, so that a
// replaced leader writes nothing.
type recorder struct {
	leader *leader

	mu     sync.Mutex
	queued map[jobs.ID]engine.Record
	queue  []jobs.ID
	// taken holds the last revision of each job that was taken from the queue.
	taken map[jobs.ID]int
	// versions holds the versions of the progress rows as this leader last saw them. Each write
	// depends on them: a write whose answer was lost may be executed late, and must not undo a
	// later one.
	versions map[jobs.ID]int64
	// finalJobs are the jobs whose final state is stored and whose rows are to be compacted.
	finalJobs []jobs.Job
	wake      chan struct{}
	// lastCommit is the duration of the last commit, as a time.Duration.
	lastCommit atomic.Int64
	// committed is closed and replaced after each commit.
	committed chan struct{}
}

func newRecorder(l *leader) *recorder {
	return &recorder{
		leader:    l,
		queued:    make(map[jobs.ID]engine.Record),
		taken:     make(map[jobs.ID]int),
		versions:  make(map[jobs.ID]int64),
		wake:      make(chan struct{}, 1),
		committed: make(chan struct{}),
	}
}

// add queues progress. It replaces older queued progress of the same job. Events are applied by
// several goroutines, which may add their records in another order than the engine made them: one
// that is older than what was queued, or taken from the queue, is dropped.
func (r *recorder) add(record engine.Record) {
	r.mu.Lock()
	if record.ID.Revision <= r.taken[record.ID.Job] {
		r.mu.Unlock()
		return
	}
	if queued, ok := r.queued[record.ID.Job]; !ok {
		r.queue = append(r.queue, record.ID.Job)
	} else if queued.ID.Revision > record.ID.Revision {
		record = queued
	}
	r.queued[record.ID.Job] = record
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// waitForCommit waits for the next commit, at most for limit.
func (r *recorder) waitForCommit(ctx context.Context, limit time.Duration) {
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
		case <-r.wake:
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			if !r.commit(ctx, batch) {
				return
			}
		}
	}
}

// encodedRecord is a record with the rows that hold it.
type encodedRecord struct {
	engine.Record
	rows []store.Change
}

// nextBatch removes a batch from the queue and returns it, within the limits of a commit. A
// record that exceeds them by itself is a batch of its own.
func (r *recorder) nextBatch() []encodedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []encodedRecord
	entries, size := 0, 0
	for len(r.queue) > 0 {
		id := r.queue[0]
		rows, err := r.rowsOf(r.queued[id])
		if err != nil {
			// The job's results stay unacknowledged until a later record of it can be encoded.
			r.leader.node.opts.Logger.Warn("progress not encoded", "job", id, "error", err)
			r.queue = r.queue[1:]
			delete(r.queued, id)
			continue
		}
		for _, row := range rows {
			size += len(row.(store.Put).Value)
		}
		// The first row has a condition.
		if entries += len(rows) + 1; len(batch) > 0 && (entries > maxCommitEntries || size > maxCommitBytes) {
			break
		}
		batch = append(batch, encodedRecord{r.queued[id], rows})
		r.taken[id] = r.queued[id].ID.Revision
		r.queue = r.queue[1:]
		delete(r.queued, id)
	}
	return batch
}

// rowsOf returns the changes that store a record. The first one writes the job's row, over the
// version that this leader knows. Progress that exceeds a row continues in others.
func (r *recorder) rowsOf(record engine.Record) ([]store.Change, error) {
	id := record.ID.Job
	data, err := jobs.Encode(record.Progress)
	if err != nil {
		return nil, err
	}
	var parts []store.Change
	if r.leader.node.exceedsRow(data) {
		for part := range slices.Chunk(data, r.leader.node.opts.MaxRowBytes) {
			parts = append(parts, store.Put{Table: progressTable, Key: progressPartKey(id, len(parts)), Value: part})
		}
		head := jobs.Progress{State: record.Progress.State, Started: record.Progress.Started, Parts: len(parts)}
		if data, err = jobs.Encode(head); err != nil {
			return nil, err
		}
	}
	row := store.Put{Table: progressTable, Key: string(id), Value: data, Expected: store.Expect(r.versions[id])}
	return append([]store.Change{row}, parts...), nil
}

// progressPartKey returns the key of a further row of a job's progress.
func progressPartKey(id jobs.ID, part int) string {
	return string(id) + progressPartInfix + strconv.Itoa(part)
}

// progressPartInfix separates a job's ID and the number of a part in the key of a progress row.
const progressPartInfix = "/part/"

// commit commits a batch and retries until it succeeds. It returns false once the leadership
// has ended.
func (r *recorder) commit(ctx context.Context, batch []encodedRecord) bool {
	changes := []store.Change{store.Check{Table: LeaderTable, Key: epochKey, Expected: r.leader.version}}
	for _, record := range batch {
		changes = append(changes, record.rows...)
	}
	for ctx.Err() == nil {
		began := time.Now()
		version, err := r.leader.node.opts.Store.Commit(ctx, changes...)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			version, err = committedVersion(changes, conflict)
			if err != nil {
				r.leader.node.elector.abandon(r.leader.epoch, err.Error())
				return false
			}
		}
		switch {
		case err == nil:
			r.lastCommit.Store(int64(time.Since(began)))
			observeSince(r.leader.node.metrics.record, began)
			r.noteCommitted(batch, version)
			return true
		case errors.Is(err, store.ErrRejected):
			return r.commitRejected(ctx, batch, err)
		}
		r.leader.node.opts.Logger.Warn("progress not recorded", "jobs", len(batch), "error", err)
		store.Sleep(ctx, recordRetryInterval)
	}
	return false
}

// commitRejected commits the records of a batch that the store rejects one by one, so that one
// that it never accepts does not hold up the others. The job of such a record fails: its progress
// cannot be stored, and its workers could never forget their results.
func (r *recorder) commitRejected(ctx context.Context, batch []encodedRecord, err error) bool {
	if len(batch) == 1 {
		id := batch[0].ID
		r.leader.node.opts.Logger.Warn("progress rejected by the store", "job", id.Job, "revision", id.Revision, "rows", len(batch[0].rows), "error", err)
		r.leader.apply(engine.RecordRejected{ID: id})
		return true
	}
	for i := range batch {
		if !r.commit(ctx, batch[i:i+1]) {
			return false
		}
	}
	return true
}

// committedVersion returns the version that an earlier attempt at the same changes has written.
// It returns an error if another leader wrote the rows.
func committedVersion(changes []store.Change, conflict *store.ConflictError) (int64, error) {
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

// runCompact compacts the rows of jobs whose final state is stored, so that the next leader has
// less to load. A row that is missed costs only load time.
func (r *recorder) runCompact(ctx context.Context) {
	for store.Sleep(ctx, compactInterval) {
		if time.Duration(r.lastCommit.Load()) > compactMaxCommitTime {
			continue
		}
		r.mu.Lock()
		n := min(len(r.finalJobs), compactBatch)
		batch := r.finalJobs[:n]
		r.finalJobs = r.finalJobs[n:]
		r.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if err := r.compact(ctx, batch); err != nil {
			r.leader.node.opts.Logger.Warn("rows of finished jobs not compacted", "jobs", len(batch), "error", err)
		}
	}
}

func (r *recorder) compact(ctx context.Context, batch []jobs.Job) error {
	changes := make([]store.Change, 0, len(batch))
	for _, job := range batch {
		data, err := jobs.Encode(job)
		if err != nil {
			return fmt.Errorf("encode finished job %s: %w", job.ID, err)
		}
		changes = append(changes, store.Put{Table: JobsTable, Key: string(job.ID), Value: data})
	}
	_, err := r.leader.node.opts.Store.Commit(ctx, changes...)
	return err
}

func (r *recorder) noteCommitted(batch []encodedRecord, version int64) {
	marks := make([]engine.ProgressID, 0, len(batch))
	for _, record := range batch {
		marks = append(marks, record.ID)
		r.versions[record.ID.Job] = version
	}
	r.leader.apply(engine.Recorded{IDs: marks})
	r.mu.Lock()
	for _, record := range batch {
		if record.Closed != nil {
			r.finalJobs = append(r.finalJobs, *record.Closed)
		}
	}
	close(r.committed)
	r.committed = make(chan struct{})
	r.mu.Unlock()
}
