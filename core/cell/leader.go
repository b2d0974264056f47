package cell

import (
	"context"
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
	// feedPause lets changes share a call of the feed: the jobs of several callers,
	// which the VMs also tell the leader themselves, and the workers' reports. A
	// leaving worker must get nothing new within seconds, so it costs little there.
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
	// readUpTo is the version of the store from which on the feed follows the jobs.
	readUpTo int64
	// helpers are the VMs that report to this leader.
	helpers map[string]*helperVM

	// dispatch finds the way of each order to its worker.
	dispatch *dispatcher

	// paused says that nothing is to be started.
	paused bool

	kick     chan struct{}
	records  *recorder
	finished sync.WaitGroup
}

// helperVM is a VM that reports to this leader.
type helperVM struct {
	entry  vmEntry
	seenAt time.Time
}

func newLeader(ctx context.Context, n *Node, row leaderRow, version int64, began time.Time, before predecessor) *leader {
	l := &leader{
		ctx:     ctx,
		node:    n,
		epoch:   row.Epoch,
		version: version,
		began:   began,
		looks:   make(map[string]*looker),
		helpers: make(map[string]*helperVM),
		kick:    make(chan struct{}, 1),
	}
	l.engine = engine.New(engine.Options{
		Epoch:               row.Epoch,
		MaxLease:            min(n.opts.MaxLease, leaseTerm),
		StopTime:            n.opts.StopTime,
		PreviousActiveUntil: before.heardUntil,
		PreviousRoster:      engine.Roster{Workers: row.Workers, Lost: row.Lost},
		PreviousLeasesUntil: before.leasedUntil,
		Logger:              n.opts.Logger,
	})
	// The VMs that reported to the leader before can relay until it is known which live.
	for name, vm := range row.VMs {
		l.helpers[name] = &helperVM{entry: vm, seenAt: began}
	}
	l.records = newRecorder(l)
	l.dispatch = newDispatcher(l)
	return l
}

// run leads until ctx ends.
func (l *leader) run(ctx context.Context) {
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
		go (&task{call: loop, done: &l.finished}).run(ctx)
	}
	l.runSchedule(ctx)
	l.finished.Wait()
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
		go (&task{call: looker.run, done: &l.finished}).run(l.ctx)
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
		commands := l.schedule(began)
		took := time.Since(began)
		l.carryOut(commands)
		store.Sleep(ctx, max(schedulePause, scheduleShare*took))
	}
}

// schedule makes one pass, unless nothing is to be started.
func (l *leader) schedule(now time.Time) []engine.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return nil
	}
	return l.engine.Schedule(now)
}

// pause lets the engine start nothing, or go on.
func (l *leader) pause(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
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
	if l.ctx.Err() != nil {
		return
	}
	for _, command := range commands {
		switch c := command.(type) {
		case engine.Start:
			go (&startCall{leader: l, order: c}).run()
		case engine.Stop:
			go (&stopCall{leader: l, order: c}).run()
		case engine.AdviceRequest:
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
