package cell

import (
	"context"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

// entrySlack is how much later than after an interval a worker may write its entry.
const entrySlack = 500 * time.Millisecond

// workerFeed passes the directory of workers to the engine, and what is known of the age of its
// entries. After an outage of the store they are as old as the outage until the workers write again.
type workerFeed struct {
	leader *leader
	// readAt is the time as of which all entries are known. A change that arrives was written later.
	readAt time.Time
}

// run follows the directory until ctx ends.
func (f *workerFeed) run(ctx context.Context) {
	node := f.leader.node
	watcher := &store.Watcher{
		Feed:       node.opts.Store,
		Table:      node.opts.Directory.WorkerTable,
		Pause:      feedPause,
		OnSnapshot: f.snapshot,
		OnChanges:  f.changes,
		OnCaughtUp: f.caughtUp,
		OnError:    node.watchErrorLogger(node.opts.Directory.WorkerTable),
	}
	watcher.Run(ctx)
}

func (f *workerFeed) snapshot(rows []store.Row) {
	var list []engine.Worker
	for _, row := range rows {
		if w, ok := f.leader.decodeWorker(row); ok {
			list = append(list, w)
		}
	}
	f.leader.apply(engine.WorkersListed{Workers: list})
	f.leader.startPollers()
}

func (f *workerFeed) changes(changes []store.RowChange) {
	for _, change := range changes {
		if change.Removed {
			f.leader.apply(engine.WorkerUnlisted{ID: change.Key})
			continue
		}
		if w, ok := f.leader.decodeWorker(change.Row); ok {
			f.leader.apply(engine.WorkerListed{Worker: w, WrittenAfter: f.readAt})
		} else {
			f.leader.apply(engine.WorkerUnlisted{ID: change.Key})
		}
	}
	f.leader.startPollers()
}

// caughtUp records that all entries as of a time are known. If the store has answered for an interval
// before it, each worker has written its entry since, although an entry that stays the same may not
// arrive again.
func (f *workerFeed) caughtUp(at time.Time) {
	f.readAt = at
	writtenAfter := at.Add(-f.leader.node.opts.Directory.Interval - entrySlack)
	if since, answered := f.leader.node.opts.Store.AnsweringSince(); answered && !since.After(writtenAfter) {
		f.leader.apply(engine.DirectoryRead{WrittenAfter: writtenAfter})
	}
}
