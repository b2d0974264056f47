package sched

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/store"
)

const (
	// recordBatch is the most jobs in one transaction.
	recordBatch = 100
	// recordRetry is the wait after a failed round.
	recordRetry = 300 * time.Millisecond
	// lastRecord bounds the last round of a holder that hands over.
	lastRecord = 2 * time.Second
)

// recorder writes changed jobs to the tables, many in one transaction.
type recorder struct{ h *holder }

func (r *recorder) run(ctx context.Context) {
	defer r.h.loops.Done()
	for {
		wait := recordEvery
		if err := r.round(ctx); err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("Changed jobs could not be written; trying again", "err", err)
			wait = recordRetry
		}
		select {
		case <-ctx.Done():
			r.last()
			return
		case <-time.After(wait):
		}
		select {
		case <-ctx.Done():
		case <-r.h.write:
		case <-time.After(inboxEvery):
		}
	}
}

// last writes what is left when the holder hands over.
func (r *recorder) last() {
	if !r.h.valid(r.h.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastRecord)
	defer cancel()
	if err := r.round(ctx); err != nil {
		klog.InfoS("Changed jobs could not be written before the handover", "err", err)
	}
}

// round writes all jobs that are dirty now.
func (r *recorder) round(ctx context.Context) error {
	r.h.mu.Lock()
	todo := make([]*job, 0, len(r.h.dirty))
	for _, j := range r.h.dirty {
		todo = append(todo, j)
	}
	r.h.mu.Unlock()
	for len(todo) > 0 {
		n := min(recordBatch, len(todo))
		if err := r.write(ctx, todo[:n]); err != nil {
			return err
		}
		todo = todo[n:]
	}
	return nil
}

// write writes a batch in one transaction. After a conflict or a lost answer it
// reads the rows; the jobs stay dirty and are written in the next round.
func (r *recorder) write(ctx context.Context, batch []*job) error {
	changes, err := r.changes(batch)
	if err != nil {
		return err
	}
	version, err := r.h.s.opts.Tables.Commit(ctx, changes...)
	if err == nil {
		r.written(batch, version)
		return nil
	}
	r.remark(batch)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		return errors.Join(err, r.reread(ctx, batch))
	}
	return err
}

// changes encodes a batch. What changes from here on makes a job dirty again.
func (r *recorder) changes(batch []*job) ([]store.Change, error) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	changes := make([]store.Change, 0, 2*len(batch))
	for _, j := range batch {
		data, err := j.row.encode()
		if err != nil {
			return nil, err
		}
		j.dirty, j.writing = false, true
		delete(r.h.dirty, j.row.ID)
		expected := store.Expect(j.version)
		if ended(j.row.State) {
			changes = append(changes,
				store.Delete{Table: tableJobs, Key: j.row.key(), Expected: expected},
				store.Put{Table: tableEnded, Key: j.row.key(), Value: data})
			continue
		}
		changes = append(changes, store.Put{Table: tableJobs, Key: j.row.key(), Value: data, Expected: expected})
	}
	return changes, nil
}

func (r *recorder) written(batch []*job, version int64) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	for _, j := range batch {
		j.version, j.writing = version, false
		if ended(j.row.State) && !j.dirty {
			r.h.forget(j)
		}
	}
	close(r.h.wrote)
	r.h.wrote = make(chan struct{})
}

// remark makes a batch dirty again after a failed write.
func (r *recorder) remark(batch []*job) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	for _, j := range batch {
		j.dirty, j.writing = true, false
		r.h.dirty[j.row.ID] = j
	}
}

// reread adopts the rows as the platform has them.
func (r *recorder) reread(ctx context.Context, batch []*job) error {
	for _, j := range batch {
		row, err := r.h.s.opts.Tables.Read(ctx, tableJobs, j.row.key())
		if err != nil {
			return err
		}
		if err := r.adopt(j, row); err != nil {
			return err
		}
	}
	signal(r.h.write)
	return nil
}

func (r *recorder) adopt(j *job, row store.Row) error {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	if row.Version == store.Absent {
		// Only a holder's own final write removes the row.
		r.h.forget(j)
		return nil
	}
	stored, err := decodeJob(row.Value)
	if err != nil {
		return err
	}
	r.h.merge(j, stored, row.Version)
	return nil
}

// forget drops a job whose end is written. The lock must be held.
func (h *holder) forget(j *job) {
	delete(h.jobs, j.row.ID)
	delete(h.dirty, j.row.ID)
	h.queue.Remove(j.row.ID)
}
