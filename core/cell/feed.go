package cell

import (
	"context"
	"fmt"
	"strings"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// load loads progress and then jobs, so that no job is ingested without its recorded progress.
// It retries until it succeeds, and returns false if ctx ends first.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		began := time.Now()
		progress, err := l.node.opts.Store.Scan(ctx, progressTable, "")
		if err == nil {
			var rows []store.Row
			rows, l.feedFrom, err = l.node.opts.Store.Snapshot(ctx, JobsTable, "")
			if err == nil {
				l.ingest(rows, l.decodeProgress(progress))
				l.mu.Lock()
				l.loaded = true
				l.mu.Unlock()
				// A leader that is lost while its row says that it loads is replaced later.
				l.node.elector.triggerStep()
				l.node.opts.Logger.Info("jobs loaded", "epoch", l.epoch, "rows", len(rows), "progress", len(progress), "took", time.Since(began))
				return true
			}
		}
		l.node.opts.Logger.Warn("jobs not loaded", "error", err)
		store.Sleep(ctx, tickInterval)
	}
	return false
}

// decodeProgress decodes the rows of the progress table, by job. It sets l.unreadable.
func (l *leader) decodeProgress(rows []store.Row) map[jobs.ID]jobs.Progress {
	parts := make(map[string][]byte)
	for _, row := range rows {
		if strings.Contains(row.Key, progressPartInfix) {
			parts[row.Key] = row.Value
		}
	}
	list := make(map[jobs.ID]jobs.Progress, len(rows))
	for _, row := range rows {
		if _, isPart := parts[row.Key]; isPart {
			continue
		}
		id := jobs.ID(row.Key)
		p, err := jobs.Decode[jobs.Progress](row.Value)
		if err == nil && p.Parts > 0 {
			var data []byte
			for i := range p.Parts {
				data = append(data, parts[progressPartKey(id, i)]...)
			}
			p, err = jobs.Decode[jobs.Progress](data)
		}
		if err != nil {
			l.node.noteUnreadableRow("progress", row, err)
			l.unreadable[id] = true
			continue
		}
		list[id] = p
		l.records.versions[id] = row.Version
	}
	return list
}

// ingest passes stored jobs and cancellations to the engine. A job whose progress is unreadable is
// left out: without it, tasks that are done would run again.
func (l *leader) ingest(rows []store.Row, progress map[jobs.ID]jobs.Progress) {
	var canceled []jobs.ID
	for _, row := range rows {
		if id, isCancel := strings.CutSuffix(row.Key, cancelSuffix); isCancel {
			canceled = append(canceled, jobs.ID(id))
			continue
		}
		job, err := decodeJob(row)
		if err != nil {
			l.node.noteUnreadableRow("job", row, err)
			continue
		}
		if job.Withdrawn {
			l.withdrawals.add(time.Now(), job.ID, row.Version)
			continue
		}
		if l.unreadable[job.ID] {
			continue
		}
		l.apply(engine.JobAccepted{Job: job, Progress: progress[job.ID], Inherited: row.Version <= l.version})
	}
	for _, id := range canceled {
		l.apply(engine.JobCanceled{ID: id})
	}
}

// decodeJob decodes the row of a job. The error wraps jobs.ErrInvalid if the engine cannot run it.
func decodeJob(row store.Row) (jobs.Job, error) {
	job, err := jobs.Decode[jobs.Job](row.Value)
	switch {
	case err != nil:
		return jobs.Job{}, err
	case string(job.ID) != row.Key:
		return jobs.Job{}, fmt.Errorf("%w: row %q has job %q", jobs.ErrInvalid, row.Key, job.ID)
	case job.Refused || job.FinalState.Final():
		return job, nil
	default:
		return job, job.Validate()
	}
}

// runJobs passes changes of the jobs table to the engine until ctx ends.
func (l *leader) runJobs(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:         l.node.opts.Store,
		Table:        JobsTable,
		AfterVersion: l.feedFrom,
		Pause:        feedPause,
		OnSnapshot:   func(rows []store.Row) { l.ingest(rows, nil) },
		OnChanges:    func(changes []store.RowChange) { l.ingest(writtenRows(changes), nil) },
		OnCaughtUp:   func(before time.Time) { l.apply(engine.JobsRead{Before: before}) },
		OnError:      l.node.watchErrorLogger(JobsTable),
	}
	watcher.Run(ctx)
}

// writtenRows returns the rows that were written, leaving out removals.
func writtenRows(changes []store.RowChange) []store.Row {
	rows := make([]store.Row, 0, len(changes))
	for _, change := range changes {
		if !change.Removed {
			rows = append(rows, change.Row)
		}
	}
	return rows
}

func (l *leader) decodeWorker(row store.Row) (engine.Worker, bool) {
	w, err := l.node.opts.Directory.DecodeWorker(row)
	if err != nil {
		l.node.noteUnreadableRow("worker", row, err)
		return engine.Worker{}, false
	}
	return w, true
}
