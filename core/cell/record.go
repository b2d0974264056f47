package cell

import (
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
	// maxRecordBatch is the maximum number of records that are taken from the queue at a time.
	maxRecordBatch = 48
	// maxCommitEntries and maxCommitBytes bound what one commit of progress writes. A call of the
	// platform holds 100 entries and 1 MB, in an encoding that is a third larger than the values.
	// Each job needs two entries or more, and one is the check of the epoch.
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
	// later one. epochVersion is that of the epoch row. The answer to a write may give a later
	// version than that of the rows; the conflict of the next write corrects it.
	versions     map[jobs.ID]int64
	epochVersion int64
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
		leader:       l,
		queued:       make(map[jobs.ID]engine.Record),
		taken:        make(map[jobs.ID]int),
		versions:     make(map[jobs.ID]int64),
		epochVersion: l.version,
		wake:         make(chan struct{}, 1),
		committed:    make(chan struct{}),
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
			for _, part := range splitBatch(r.encodeAll(batch)) {
				if !r.commit(ctx, part) {
					return
				}
			}
		}
	}
}

// encodedRecord is a record with the value of the job's row, and the further rows if it needs any.
type encodedRecord struct {
	engine.Record
	value []byte
	parts []store.Change
}

// nextBatch removes a batch from the queue and returns it.
func (r *recorder) nextBatch() []engine.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.queue), maxRecordBatch)
	batch := make([]engine.Record, 0, n)
	for _, id := range r.queue[:n] {
		batch = append(batch, r.queued[id])
		r.taken[id] = r.queued[id].ID.Revision
		delete(r.queued, id)
	}
	r.queue = r.queue[n:]
	return batch
}

// encodeAll encodes the records of a batch. The results of one that cannot be encoded stay
// unacknowledged until a later record of the job can be.
func (r *recorder) encodeAll(batch []engine.Record) []encodedRecord {
	list := make([]encodedRecord, 0, len(batch))
	for _, record := range batch {
		encoded, err := r.encode(record)
		if err != nil {
			r.leader.node.opts.Logger.Warn("progress not encoded", "job", record.ID.Job, "error", err)
			continue
		}
		list = append(list, encoded)
	}
	return list
}

// splitBatch splits a batch into parts within the limits of a commit. A record that exceeds them by
// itself is a part of its own.
func splitBatch(batch []encodedRecord) [][]encodedRecord {
	var parts [][]encodedRecord
	first, entries, size := 0, 0, 0
	for i, record := range batch {
		recordEntries, recordSize := record.extent()
		if i > first && (entries+recordEntries > maxCommitEntries || size+recordSize > maxCommitBytes) {
			parts = append(parts, batch[first:i])
			first, entries, size = i, 0, 0
		}
		entries += recordEntries
		size += recordSize
	}
	if first < len(batch) {
		parts = append(parts, batch[first:])
	}
	return parts
}

// extent returns the entries and the bytes that a record takes in a commit. The job's row has a
// condition, which counts as an entry of its own.
func (e encodedRecord) extent() (entries, size int) {
	size = len(e.value)
	for _, part := range e.parts {
		size += len(part.(store.Put).Value)
	}
	return 2 + len(e.parts), size
}

// encode encodes a record. Progress that exceeds a row continues in others.
func (r *recorder) encode(record engine.Record) (encodedRecord, error) {
	id := record.ID.Job
	record.Progress.Epoch, record.Progress.Revision = r.leader.epoch, record.ID.Revision
	value, err := jobs.Encode(record.Progress)
	if err != nil || !r.leader.node.exceedsRow(value) {
		return encodedRecord{Record: record, value: value}, err
	}
	var parts []store.Change
	for part := range slices.Chunk(value, r.leader.node.opts.MaxRowBytes) {
		parts = append(parts, store.Put{Table: progressTable, Key: progressPartKey(id, len(parts)), Value: part})
	}
	p := record.Progress
	value, err = jobs.Encode(jobs.Progress{State: p.State, Started: p.Started, Parts: len(parts), Epoch: p.Epoch, Revision: p.Revision})
	return encodedRecord{record, value, parts}, err
}

// changes returns the changes that store a batch under this leader's epoch, each job's row over the
// version that this leader knows.
func (r *recorder) changes(batch []encodedRecord) []store.Change {
	changes := []store.Change{store.Check{Table: LeaderTable, Key: epochKey, Expected: r.epochVersion}}
	for _, record := range batch {
		id := record.ID.Job
		changes = append(changes, store.Put{Table: progressTable, Key: string(id), Value: record.value, Expected: store.Expect(r.versions[id])})
		changes = append(changes, record.parts...)
	}
	return changes
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
	for ctx.Err() == nil {
		began := time.Now()
		version, err := r.leader.node.opts.Store.Commit(ctx, r.changes(batch)...)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			var committed bool
			if version, committed, err = r.resolveConflict(batch, conflict); err != nil {
				r.leader.node.elector.abandon(r.leader.epoch, err.Error())
				return false
			}
			if !committed {
				continue
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
		r.leader.node.opts.Logger.Warn("progress rejected by the store", "job", id.Job, "revision", id.Revision, "bytes", len(batch[0].value), "parts", len(batch[0].parts), "error", err)
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

// resolveConflict determines whether an earlier attempt at a batch was executed, which wrote all of it
// or nothing, and returns the version of its rows. If none was, it corrects the versions that this
// leader had taken from answers. It returns an error if another leader wrote one of the rows.
func (r *recorder) resolveConflict(batch []encodedRecord, conflict *store.ConflictError) (version int64, committed bool, err error) {
	if len(conflict.Rows) == 0 {
		return 0, false, errors.New("progress not recorded: conflict without a row")
	}
	for _, row := range conflict.Rows {
		if row.Table == LeaderTable {
			if string(row.Value) != strconv.FormatInt(r.leader.epoch, 10) {
				return 0, false, fmt.Errorf("the epoch row has epoch %q, not %d", row.Value, r.leader.epoch)
			}
			r.epochVersion = row.Version
			continue
		}
		p, err := jobs.Decode[jobs.Progress](row.Value)
		if err != nil || p.Epoch != r.leader.epoch {
			return 0, false, fmt.Errorf("row %s/%s was written by another leader, of epoch %d", row.Table, row.Key, p.Epoch)
		}
		for _, record := range batch {
			if string(record.ID.Job) == row.Key && record.ID.Revision == p.Revision {
				return row.Version, true, nil
			}
		}
		r.leader.node.opts.Logger.Info("version of progress corrected", "job", row.Key, "revision", p.Revision, "known-version", r.versions[jobs.ID(row.Key)], "version", row.Version)
		r.versions[jobs.ID(row.Key)] = row.Version
	}
	return 0, false, nil
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
