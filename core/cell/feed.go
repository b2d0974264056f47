package cell

import (
	"context"
	"strings"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// load reads progress and then jobs, so that no job is taken in without what is
// known of it. It reports false if ctx ended first.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		began := time.Now()
		progress, err := l.node.opts.Store.Scan(ctx, progressTable, "")
		if err == nil {
			var rows []store.Row
			rows, l.readUpTo, err = l.node.opts.Store.Snapshot(ctx, JobsTable, "")
			if err == nil {
				l.takeIn(rows, l.decodeProgress(progress))
				l.mu.Lock()
				l.loaded = true
				l.mu.Unlock()
				l.node.opts.Logger.Info("jobs read", "epoch", l.epoch, "rows", len(rows), "progress", len(progress), "took", time.Since(began))
				return true
			}
		}
		l.node.opts.Logger.Warn("jobs cannot be read", "error", err)
		store.Sleep(ctx, tickEvery)
	}
	return false
}

func (l *leader) decodeProgress(rows []store.Row) map[jobs.ID]jobs.Progress {
	list := make(map[jobs.ID]jobs.Progress, len(rows))
	for _, row := range rows {
		p, err := jobs.Decode[jobs.Progress](row.Value)
		if err != nil {
			l.node.opts.Logger.Warn("progress cannot be read", "job", row.Key, "error", err)
			continue
		}
		list[jobs.ID(row.Key)] = p
		l.records.versions[jobs.ID(row.Key)] = row.Version
	}
	return list
}

// takeIn gives the engine stored jobs and cancellations.
func (l *leader) takeIn(rows []store.Row, progress map[jobs.ID]jobs.Progress) {
	var canceled []jobs.ID
	for _, row := range rows {
		if id, isCancel := strings.CutSuffix(row.Key, cancelSuffix); isCancel {
			canceled = append(canceled, jobs.ID(id))
			continue
		}
		job, err := jobs.Decode[jobs.Job](row.Value)
		if err != nil {
			l.node.opts.Logger.Warn("job cannot be read", "job", row.Key, "error", err)
			continue
		}
		l.apply(engine.JobAccepted{Job: job, Progress: progress[job.ID], Inherited: row.Version <= l.version})
	}
	for _, id := range canceled {
		l.apply(engine.JobCanceled{ID: id})
	}
}

// runJobs follows the stored jobs.
func (l *leader) runJobs(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:         l.node.opts.Store,
		Table:        JobsTable,
		AfterVersion: l.readUpTo,
		Pause:        feedPause,
		OnSnapshot:   func(rows []store.Row) { l.takeIn(rows, nil) },
		OnChanges:    func(changes []store.RowChange) { l.takeIn(written(changes), nil) },
		OnCaughtUp:   func(before time.Time) { l.apply(engine.JobsRead{Before: before}) },
		OnError:      l.node.watchFailed(JobsTable),
	}
	watcher.Run(ctx)
}

// written returns the rows of changes that were not removals.
func written(changes []store.RowChange) []store.Row {
	rows := make([]store.Row, 0, len(changes))
	for _, change := range changes {
		if !change.Removed {
			rows = append(rows, change.Row)
		}
	}
	return rows
}

// runWorkers follows the directory of workers.
func (l *leader) runWorkers(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:       l.node.opts.Store,
		Table:      l.node.opts.Directory.WorkerTable,
		Pause:      feedPause,
		OnSnapshot: l.workerRows,
		OnChanges:  l.workerChanges,
		OnError:    l.node.watchFailed(l.node.opts.Directory.WorkerTable),
	}
	watcher.Run(ctx)
}

func (l *leader) workerRows(rows []store.Row) {
	var list []engine.Worker
	for _, row := range rows {
		if w, ok := l.decodeWorker(row); ok {
			list = append(list, w)
		}
	}
	l.apply(engine.WorkersListed{Workers: list})
	l.startLooks()
}

func (l *leader) workerChanges(changes []store.RowChange) {
	for _, change := range changes {
		if change.Removed {
			l.apply(engine.WorkerUnlisted{ID: change.Key})
			continue
		}
		if w, ok := l.decodeWorker(change.Row); ok {
			l.apply(engine.WorkerListed{Worker: w})
		} else {
			l.apply(engine.WorkerUnlisted{ID: change.Key})
		}
	}
	l.startLooks()
}

func (l *leader) decodeWorker(row store.Row) (engine.Worker, bool) {
	w, err := l.node.opts.Directory.Worker(row)
	if err != nil {
		l.node.opts.Logger.Warn("directory entry names no worker", "worker", row.Key, "error", err)
		return engine.Worker{}, false
	}
	return w, true
}
