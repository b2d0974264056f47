package cell

import (
	"context"
	"strings"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// schedulePause is the least time between two passes of the engine, so that
	// events that come together share one.
	schedulePause = 4 * time.Millisecond
	// scheduleShare keeps the passes under a fifth of the time.
	scheduleShare = 4
	// tickEvery is how often the engine is told that time passes.
	tickEvery = 50 * time.Millisecond
	// feedPause lets the jobs of several callers share a call of the feed. The VMs
	// tell the leader of new jobs themselves; the feed brings what it did not hear.
	feedPause = 120 * time.Millisecond
	// leaseTerm is how long runs go on without a leader: a takeover after a silent
	// death takes three seconds. Runs on a worker that was lost wait it out before
	// they start elsewhere, so it should not be longer than that needs.
	leaseTerm = 5 * time.Second
	// overlap is how long after a takeover the leader before may still hear of new
	// jobs: other VMs learn of the takeover from the store within a second, and a
	// message of theirs may be on its way for half of one.
	overlap = 2 * time.Second
	// lateOrders is how much longer leases of an earlier leader may run whose end
	// is not proved: it may have given them up to the expiry of its row, and after.
	lateOrders = expireAfter + time.Second
)

// leader carries out what the engine decides, for one epoch.
type leader struct {
	node    *Node
	epoch   int64
	version int64
	began   time.Time
	ctx     context.Context

	mu     sync.Mutex
	engine *engine.Engine
	// looks are the loops that look at workers.
	looks map[string]*looker
	// loaded says that the stored jobs were read; before that the engine knows too
	// few jobs to count them.
	loaded bool
	// helpers are the VMs that report to this leader.
	helpers map[string]*helperVM

	kick     chan struct{}
	records  *recorder
	finished sync.WaitGroup
}

// helperVM is a VM that reports to this leader.
type helperVM struct {
	hello  hello
	seenAt time.Time
}

// predecessor is what the leader before may still do.
type predecessor struct {
	// leasedUntil is when the leases that it gave have lapsed.
	leasedUntil time.Time
	// heardUntil is until when it may hear of new jobs; zero if it is gone.
	heardUntil time.Time
}

// predecessorOf returns what the leader before may still do after a takeover
// began; gone says that its process is proved to have ended, or has stepped down.
func predecessorOf(began time.Time, gone bool, most time.Duration) predecessor {
	p := predecessor{leasedUntil: began.Add(longestLease(most))}
	if !gone {
		p.leasedUntil = p.leasedUntil.Add(lateOrders)
		p.heardUntil = began.Add(overlap)
	}
	return p
}

// longestLease is how long runs may go on that were given a lease just now, by a
// worker's clock that is 2% slow.
func longestLease(most time.Duration) time.Duration { return min(most, leaseTerm) * 102 / 100 }

func newLeader(n *Node, row leaderRow, version int64, began time.Time, before predecessor) *leader {
	l := &leader{
		node:    n,
		epoch:   row.Epoch,
		version: version,
		began:   began,
		looks:   make(map[string]*looker),
		helpers: make(map[string]*helperVM),
		kick:    make(chan struct{}, 1),
	}
	l.engine = engine.New(engine.Options{
		Epoch:       row.Epoch,
		MaxLease:    min(n.opts.MaxLease, leaseTerm),
		StopTime:    n.opts.StopTime,
		HeardUntil:  before.heardUntil,
		Former:      engine.Roster{Workers: row.Workers, Lost: row.Lost},
		FormerUntil: before.leasedUntil,
		Logger:      n.opts.Logger,
	})
	l.records = newRecorder(l)
	return l
}

// run leads until ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx = ctx
	if config := l.node.Config(); config != nil {
		l.configChanged(config)
	}
	l.reportHelpers()
	if !l.load(ctx) {
		return
	}
	loops := []func(context.Context){l.runWorkers, l.runJobs, l.records.run, l.records.runClose, l.runTicks}
	for _, loop := range loops {
		l.finished.Add(1)
		go l.node.runLoop(ctx, &l.finished, loop)
	}
	l.runSchedule(ctx)
	l.finished.Wait()
}

// load reads progress and then jobs, so that no job is taken in without what is
// known of it. It reports false if ctx ended first.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		began := time.Now()
		progress, err := l.node.opts.Store.Scan(ctx, progressTable, "")
		if err == nil {
			var rows []store.Row
			rows, err = l.node.opts.Store.Scan(ctx, JobsTable, "")
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
		sleep(ctx, tickEvery)
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
		Feed:       l.node.opts.Store,
		Table:      JobsTable,
		Pause:      feedPause,
		OnSnapshot: func(rows []store.Row) { l.takeIn(rows, nil) },
		OnChanges:  func(changes []store.RowChange) { l.takeIn(written(changes), nil) },
		OnError:    l.node.watchFailed(JobsTable),
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

// startLooks starts a loop for each worker that has none.
func (l *leader) startLooks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.engine.Workers() {
		if l.looks[id] != nil || l.ctx.Err() != nil {
			continue
		}
		looker := &looker{leader: l, worker: id}
		l.looks[id] = looker
		l.finished.Add(1)
		go l.node.runLoop(l.ctx, &l.finished, looker.run)
	}
}

// runTicks lets time pass for the engine.
func (l *leader) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.reportHelpers()
			l.apply(engine.Tick{})
		}
	}
}

// runSchedule makes a pass of the engine after each batch of events.
func (l *leader) runSchedule(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
		}
		began := time.Now()
		l.mu.Lock()
		commands := l.engine.Schedule(began)
		l.mu.Unlock()
		took := time.Since(began)
		l.carryOut(commands)
		sleep(ctx, max(schedulePause, scheduleShare*took))
	}
}

// apply gives the engine an event and carries out what it wants done.
func (l *leader) apply(event engine.Event) {
	l.mu.Lock()
	commands := l.engine.Apply(time.Now(), event)
	l.mu.Unlock()
	l.carryOut(commands)
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// carryOut starts what commands ask for. It does not wait.
func (l *leader) carryOut(commands []engine.Command) {
	if l.ctx == nil || l.ctx.Err() != nil {
		return
	}
	for _, command := range commands {
		switch c := command.(type) {
		case engine.Start:
			go (&startCall{leader: l, order: c}).run()
		case engine.Stop:
			go (&stopCall{leader: l, order: c}).run()
		case engine.Ask:
			go (&askCall{leader: l, ask: c}).run()
		case engine.Record:
			l.records.add(c)
		}
	}
}

func (l *leader) configChanged(config *jobs.Config) {
	l.apply(engine.ConfigChanged{Config: config})
}

func (l *leader) superseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.Superseded()
}

func (l *leader) wantedRoster() (engine.Roster, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.WantedRoster(time.Now())
}

func (l *leader) rosterSent(r engine.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine.RosterSent(r)
}

func (l *leader) rosterRecorded(r engine.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine.RosterRecorded(r)
}

// sleep waits, and reports whether ctx still holds.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
