package sched

import (
	"context"
	"errors"

	"tanagerstack.org/core/store"
)

// inboxBatch is the most inbox rows that are removed in one transaction.
const inboxBatch = 100

// read accepts the jobs that the inbox names and removes its rows.
func (b *inbox) read(ctx context.Context) error {
	tables := b.h.s.opts.Tables
	rows, err := tables.Scan(ctx, tableInbox, b.h.s.opts.Domain+"/")
	if err != nil {
		return err
	}
	var seen []store.Change
	for _, row := range rows {
		job, err := tables.Read(ctx, tableJobs, row.Key)
		if err != nil {
			return err
		}
		if job.Version != store.Absent {
			if err := b.h.accept(job.Value, job.Version); err != nil {
				return err
			}
		}
		seen = append(seen, store.Delete{Table: tableInbox, Key: row.Key, Expected: store.Expect(row.Version)})
	}
	return b.remove(ctx, seen)
}

// remove deletes inbox rows; one that changed meanwhile is read again.
func (b *inbox) remove(ctx context.Context, seen []store.Change) error {
	for len(seen) > 0 {
		n := min(inboxBatch, len(seen))
		_, err := b.h.s.opts.Tables.Commit(ctx, seen[:n]...)
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
		seen = seen[n:]
	}
	return nil
}
