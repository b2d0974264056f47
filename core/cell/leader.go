package cell

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// minSchedulePause is the minimum time between two scheduling passes of the engine, so that
	// events that arrive together share a pass.
	minSchedulePause = 4 * time.Millisecond
	// schedulePauseFactor is the pause after a pass relative to the pass's duration. It keeps
	// the passes below a fifth of the time.
	schedulePauseFactor = 4
	// tickInterval is the time between two ticks of the engine.
	tickInterval = 50 * time.Millisecond
	// feedPause lets changes share a call of the feed: the jobs of several callers, which the
	// VMs also send to the leader themselves, and the updates of workers. A worker that is
	// leaving must get nothing new within seconds, so the pause costs little there.
	feedPause = 120 * time.Millisecond
	// leaseTerm is how long runs go on without a leader. A takeover after a silent failure
	// takes three seconds. Runs on a lost worker must expire before they start elsewhere, so
	// the term should not be longer than a takeover needs.
	leaseTerm = 5 * time.Second
)

// leader executes the decisions of the engine for one epoch.
type leader struct {
	node    *Node
	epoch   int64
	version int64
	began   time.Time
	ctx     context.Context

	mu     sync.Mutex
	engine *engine.Engine
	// pollers holds the poll loop of each worker.
	pollers map[string]*poller
	// loaded is true once the stored jobs were ingested. Before that, the engine knows too few
	// jobs to count them.
	loaded bool
	// unreadable holds the jobs whose progress cannot be decoded. It does not change after the load.
	unreadable map[jobs.ID]bool
	// feedFrom is the store version from which the feed follows the jobs.
	feedFrom int64
	// followers are the VMs that send heartbeats to this leader, by name. members are those that do,
	// did so within memberRetention, or did so to the previous leader.
	followers, members map[string]*followerVM
	// electors are the VMs that a version of the row may list that is stored.
	electors map[string]netip.AddrPort
	// confirmedAt is the time of the last proof that nobody else leads, renewedAt that of the last
	// one by the store.
	confirmedAt, renewedAt time.Time

	// dispatch selects the path of each command to its worker.
	dispatch *dispatcher

	// lastSnapshot is the last snapshot of the load for the VMs.
	lastSnapshot *intake.Snapshot

	// paused is true while nothing may be started.
	paused bool

	wake    chan struct{}
	records *recorder
	// withdrawals holds the tombstones of withdrawn jobs.
	withdrawals *withdrawals
	loops       sync.WaitGroup
}

// followerVM is a VM that sends heartbeats to this leader.
type followerVM struct {
	entry  vmEntry
	seenAt time.Time
}

func newLeader(ctx context.Context, n *Node, row leaderRow, version int64, began time.Time, previous predecessor) *leader {
	l := &leader{
		ctx:        ctx,
		node:       n,
		epoch:      row.Epoch,
		version:    version,
		began:      began,
		pollers:    make(map[string]*poller),
		followers:  make(map[string]*followerVM),
		members:    make(map[string]*followerVM),
		electors:   maps.Clone(row.Electors),
		renewedAt:  began,
		unreadable: make(map[jobs.ID]bool),
		wake:       make(chan struct{}, 1),
	}
	l.engine = engine.New(engine.Options{
		Epoch:               row.Epoch,
		LeaseTerm:           min(n.opts.MaxLease, leaseTerm),
		MaxLease:            n.opts.MaxLease,
		StopTime:            n.opts.StopTime,
		EntryTerm:           n.opts.Directory.Grace - maxCommandAge,
		PreviousActiveUntil: previous.activeUntil,
		PreviousRoster:      engine.Roster{Workers: row.Workers, Lost: row.Lost},
		PreviousLeasesUntil: previous.leasesUntil,
		Policy:              n.opts.Admission.policy(),
		Durations:           n.opts.Durations,
		Health:              n.opts.Health,
		Logger:              n.opts.Logger,
	})
	// The followers of the previous leader can relay until it is known which of them are alive.
	for name, vm := range row.VMs {
		l.followers[name] = &followerVM{entry: vm, seenAt: began}
		l.members[name] = l.followers[name]
	}
	l.confirm(began)
	l.records = newRecorder(l)
	l.withdrawals = newWithdrawals(l)
	l.dispatch = newDispatcher(l)
	return l
}

// run acts as the leader until ctx ends.
func (l *leader) run(ctx context.Context) {
	if config := l.node.Config(); config != nil {
		l.configChanged(config)
	}
	l.updateFollowers()
	if !l.load(ctx) {
		return
	}
	loops := []func(context.Context){(&workerFeed{leader: l}).run, l.runJobs, l.records.run, l.records.runCompact, l.withdrawals.run, l.runTicks, l.runTerm, newLearnedStore(l).run}
	for _, loop := range loops {
		l.loops.Add(1)
		go (&task{call: loop, done: &l.loops}).run(ctx)
	}
	l.runSchedule(ctx)
	l.loops.Wait()
}

// startPollers starts a poll loop for each worker that has none.
func (l *leader) startPollers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.engine.Workers() {
		if l.pollers[id] != nil || l.ctx.Err() != nil {
			continue
		}
		p := &poller{leader: l, worker: id}
		l.pollers[id] = p
		l.loops.Add(1)
		go (&task{call: p.run, done: &l.loops}).run(l.ctx)
	}
}

// runTicks updates the followers and sends a tick to the engine at each interval until ctx
// ends.
func (l *leader) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.updateFollowers()
			l.apply(engine.Tick{})
		}
	}
}

// runSchedule makes a scheduling pass after each batch of events until ctx ends.
func (l *leader) runSchedule(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		began := time.Now()
		commands := l.schedule(began)
		took := time.Since(began)
		l.execute(commands)
		store.Sleep(ctx, max(minSchedulePause, schedulePauseFactor*took))
	}
}

// schedule makes one scheduling pass, unless the leader is paused.
func (l *leader) schedule(now time.Time) []engine.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return nil
	}
	return l.engine.Schedule(now)
}

// setPaused stops scheduling passes or resumes them.
func (l *leader) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
}

// apply passes an event to the engine and executes the resulting commands.
func (l *leader) apply(event engine.Event) {
	l.mu.Lock()
	commands := l.engine.Apply(time.Now(), event)
	l.mu.Unlock()
	l.execute(commands)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// execute starts the execution of commands and does not wait for it.
func (l *leader) execute(commands []engine.Command) {
	if l.ctx.Err() != nil {
		return
	}
	for _, command := range commands {
		switch c := command.(type) {
		case engine.Start:
			go (&startCall{leader: l, command: c}).run()
		case engine.Stop:
			go (&stopCall{leader: l, command: c}).run()
		case engine.AdviceRequest:
			go (&adviceCall{leader: l, request: c}).run()
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
