package cell

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// renewInterval is the time between a leader's renewals of its row. Three renewals fit into
	// expireAfter.
	renewInterval = 500 * time.Millisecond
	// expireAfter is how long the row must stay unchanged, while the store answers, before
	// another VM takes over. It must exceed the duration of a renewal through a slow store. A
	// needless takeover costs time, not safety.
	expireAfter = 1800 * time.Millisecond
	// loadingExpireAfter is the same for a leader that still loads the stored jobs: on a link
	// of 2 Mbit/s its renewals queue behind a megabyte of jobs. A leader whose process has
	// ended is replaced at once in either case.
	loadingExpireAfter = 6 * time.Second
	// unlistedExpireAfter is how long the row must stay unchanged for a VM that the row does not list as an elector. It exceeds the
	// outages of the store, in which a leader relies on the word of the electors.
	unlistedExpireAfter = 20 * time.Second
	// maxTakeoverJitter bounds the random delay that keeps VMs from taking over all at once.
	maxTakeoverJitter = 300 * time.Millisecond
	// minLeaderProcessors and minLeaderMemory (bytes) are what a VM should have to lead. A
	// leader of 350 workers uses 0.35 processors and 260 MB.
	minLeaderProcessors = 0.36
	minLeaderMemory     = 270 << 20
	// smallVMDelay is how much longer VMs below these limits wait before they take over.
	smallVMDelay = 600 * time.Millisecond
	// confirmationValidFor is how long a leader's reply to a heartbeat counts as proof that it
	// leads: two heartbeat intervals and a round trip.
	confirmationValidFor = 2*helloInterval + 100*time.Millisecond
	// maxWatchPause is the longest time between two watches of the row while the leader
	// confirms that it leads. The row carries little else and changes twice a second: without
	// pauses, the watches of 147 VMs make up two thirds of all calls to the store.
	maxWatchPause = 2500 * time.Millisecond
	// maxUnconfirmedPause is how long after the leader's last confirmation a pause ends.
	maxUnconfirmedPause = confirmationValidFor + electInterval
	// electInterval is the time between two steps of the elector.
	electInterval = 100 * time.Millisecond
	// leaderWatchWait bounds a watch of the leader row. It exceeds renewInterval, so that no
	// watch ends just before a renewal.
	leaderWatchWait = 700 * time.Millisecond
	// rowWriteTimeout bounds a write of the row, and rowReadTimeout the read that resolves a
	// lost answer. Both must be short enough that a leader that the store stops answering can
	// renew its row through a store proxy before the row expires.
	rowWriteTimeout = 600 * time.Millisecond
	rowReadTimeout  = 450 * time.Millisecond
)

// leaderRow is the stored form of the leadership, encoded as JSON.
type leaderRow struct {
	Epoch    int64          `json:"epoch"`
	Holder   string         `json:"holder"`
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	Released bool           `json:"released,omitempty"`
	// Loading is true until the leader has loaded all stored jobs.
	Loading bool `json:"reading,omitempty"`
	// Workers are the workers that may have runs of this or an earlier leader. Lost are those
	// of them that do not answer, with the jobs that may run there.
	Workers []string             `json:"workers"`
	Lost    map[string][]jobs.ID `json:"lost,omitempty"`
	// VMs are some of the VMs that send heartbeats to the leader, and the leader itself, by
	// name.
	VMs map[string]vmEntry `json:"vms,omitempty"`
	// Electors are the VMs that may take over once the row expires, by name, with the addresses of
	// their peer servers. Other VMs wait for unlistedExpireAfter. If there are none, all VMs may.
	Electors map[string]netip.AddrPort `json:"electors,omitempty"`
	// Renewals counts the renewals, so that each renewal changes the row.
	Renewals int64 `json:"beat"`
}

// vmEntry describes a VM in the leader row.
type vmEntry struct {
	// Address is the address of its peer server.
	Address    netip.AddrPort `json:"address"`
	Zone       string         `json:"zone,omitempty"`
	Processors float64        `json:"processors,omitempty"`
}

// elector acquires and renews the leadership for one node.
type elector struct {
	node *Node

	mu  sync.Mutex
	row leaderRow
	// version is the version of row, or store.Absent if there is no row.
	version int64
	// changedAt is when the row was last seen to change. reachableSince is the start of the
	// current series of successful watches, zero if the last watch failed. lastAnswerAt is when
	// a call to the store for the row last succeeded. known is true once the row has been read.
	changedAt      time.Time
	reachableSince time.Time
	lastAnswerAt   time.Time
	known          bool
	// seenAt is when this version of the row was first seen, and epochSeenAt when this epoch was.
	seenAt, epochSeenAt time.Time
	// confirmedAt is when the leader last confirmed that it leads. watchPaused is true if the
	// row was not watched for a while before the current watch, and versionAtPause is the
	// version of the row at that time.
	confirmedAt    time.Time
	watchPaused    bool
	versionAtPause int64
	jitter         time.Duration
	// takeoverDelay is how much longer than other VMs this one waits before it takes over, and
	// freeSince is since when the leadership is known to be free, zero if it is not.
	takeoverDelay time.Duration
	freeSince     time.Time
	// renewNow triggers a step before the next interval, once the leader has loaded the jobs.
	renewNow chan struct{}
	renewAt  time.Time
	// proxiedSince is since when the store is reached only through other VMs, zero if it is
	// reached directly.
	proxiedSince time.Time
	// holderGone is true if the holder's process seems to have ended, holderEnded if that is proved. A
	// refused connection proves nothing, since a firewall may refuse it too.
	holderGone, holderEnded bool
	// takingOver is true while this VM's attempt to take over is underway.
	takingOver bool
	// cancelSession ends this VM's leadership; it is nil while this VM does not lead. sessions
	// waits for the loops of its leaderships.
	cancelSession context.CancelFunc
	sessions      sync.WaitGroup
}

func newElector(n *Node) *elector {
	e := &elector{node: n, renewNow: make(chan struct{}, 1), jitter: rand.N(maxTakeoverJitter)}
	if n.opts.isSmall() {
		e.takeoverDelay = smallVMDelay
	}
	return e
}

// isSmall reports whether the VM is below minLeaderProcessors or minLeaderMemory, so that it
// should leave the leadership to others. Zero values count as enough.
func (o *Options) isSmall() bool {
	return o.Processors > 0 && o.Processors < minLeaderProcessors || o.MemoryBytes > 0 && o.MemoryBytes < minLeaderMemory
}

// run follows the leader row and acts on it until ctx ends.
func (e *elector) run(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:       e.node.opts.Store,
		Table:      LeaderTable,
		Wait:       leaderWatchWait,
		OnSnapshot: e.observeRows,
		OnChanges:  e.observeChanges,
		OnError:    e.noteUnreachable,
		AwaitNext:  e.pauseWatch,
	}
	var loops sync.WaitGroup
	loops.Add(1)
	go (&task{call: watcher.Run, done: &loops}).run(ctx)
	ticker := time.NewTicker(electInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			loops.Wait()
			return
		case <-ticker.C:
		case <-e.renewNow:
		}
		e.step(ctx)
	}
}

// pauseWatch waits until the row has to be watched again: after maxWatchPause, as soon as the
// leader's last confirmation is too old, or at once if the leader did not renew the row since
// the last pause. A leader watches its own row without pauses.
func (e *elector) pauseWatch(ctx context.Context) {
	until := time.Now().Add(maxWatchPause)
	paused := false
	for e.isRenewed() && time.Now().Before(until) && e.isConfirmed() && store.Sleep(ctx, electInterval) {
		paused = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watchPaused, e.versionAtPause = paused, e.version
	if paused && e.confirmedAt.After(e.changedAt) {
		e.changedAt = e.confirmedAt
	}
}

// isRenewed reports whether the row has changed since the last pause.
func (e *elector) isRenewed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version > e.versionAtPause
}

// isConfirmed reports whether another VM leads and has confirmed it recently.
func (e *elector) isConfirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelSession == nil && !e.row.Released && time.Since(e.confirmedAt) < confirmationValidFor
}

// noteConfirmed records that the instance, if it holds the row, has confirmed that it leads.
func (e *elector) noteConfirmed(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.row.Instance == instance {
		e.confirmedAt = time.Now()
	}
}

// refreshRow reads the row, since this VM may not have watched it for a while.
func (e *elector) refreshRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowReadTimeout)
	defer cancel()
	stored, err := e.node.opts.Store.Read(ctx, LeaderTable, LeaderKey)
	if err != nil {
		e.node.opts.Logger.Warn("leader row not read", "error", err)
		return
	}
	e.observe(stored)
}

func (e *elector) noteUnreachable(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reachableSince.IsZero() {
		e.node.opts.Logger.Warn("store unreachable", "error", err, "contact-for", time.Since(e.reachableSince))
	}
	e.reachableSince = time.Time{}
}

func (e *elector) observeRows(rows []store.Row) {
	row := store.Row{Version: store.Absent}
	for _, r := range rows {
		if r.Key == LeaderKey {
			row = r
		}
	}
	e.observe(row)
}

func (e *elector) observeChanges(changes []store.RowChange) {
	e.noteReachable()
	for _, change := range changes {
		if change.Key == LeaderKey && !change.Removed {
			e.observe(change.Row)
		}
	}
}

func (e *elector) noteReachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastAnswerAt = time.Now()
	if e.reachableSince.IsZero() {
		e.reachableSince = e.lastAnswerAt
		e.node.opts.Logger.Info("store reachable")
	}
}

// observe processes the row as stored. A version that is not newer than the known one is
// ignored, unless the row is of a later epoch.
func (e *elector) observe(stored store.Row) {
	e.noteReachable()
	row := leaderRow{}
	if stored.Version != store.Absent {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			e.node.noteUnreadableRow("leader", stored, err)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && stored.Version <= e.version {
		switch {
		case row.Epoch > e.row.Epoch:
			// This VM's own write was answered with a later version than that of the row.
		case row.Instance == e.row.Instance && row.Epoch == e.row.Epoch && row.Renewals == e.row.Renewals:
			e.version = stored.Version
			return
		default:
			return
		}
	}
	e.adopt(row, stored.Version)
}

// adopt replaces the known row. The caller holds e.mu.
func (e *elector) adopt(row leaderRow, version int64) {
	if row.Instance != e.row.Instance || row.Epoch != e.row.Epoch || row.Released != e.row.Released {
		e.node.opts.Logger.Info("leader changed", "epoch", row.Epoch, "holder", row.Holder, "address", row.Address, "released", row.Released)
	}
	// A change after a pause happened at an unknown earlier time. In this case pauseWatch has
	// set changedAt to the time at which the leader was last known to be alive. If that is longer
	// ago than a pause lasts without a confirmation, this VM stood still meanwhile.
	now := time.Now()
	earliest := now.Add(-maxUnconfirmedPause)
	switch {
	case !e.watchPaused || row.Instance != e.row.Instance:
		e.changedAt = now
	case e.changedAt.Before(earliest):
		e.changedAt = earliest
	}
	e.seenAt = now
	if !e.known || row.Epoch != e.row.Epoch {
		e.epochSeenAt = now
	}
	e.row, e.version, e.known = row, version, true
	// An earlier process of this VM cannot lead anymore.
	e.holderEnded = row.Holder == e.node.opts.Name && row.Instance != e.node.instance
	e.holderGone = e.holderEnded
	if e.cancelSession != nil && row.Instance != e.node.instance {
		e.endSession("another leader holds the row")
	}
}

// endSession ends this VM's leadership. The caller holds e.mu.
func (e *elector) endSession(why string) {
	e.node.opts.Logger.Warn("leadership ended", "why", why, "epoch", e.row.Epoch)
	e.cancelSession()
	e.cancelSession = nil
	e.node.setLeader(nil)
}

// abandon ends this VM's leadership of an epoch after proof of a later one.
func (e *elector) abandon(epoch int64, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelSession != nil && e.row.Epoch == epoch {
		e.endSession(why)
		// The row still names this instance, which must not renew it anymore.
		e.row.Instance = ""
	}
}

// isReachable reports whether the last watch of the leader row succeeded.
func (e *elector) isReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.reachableSince.IsZero()
}

// noteHolderGone records that the process of an instance, if it holds the row, seems to have ended,
// and whether that is proved.
func (e *elector) noteHolderGone(instance, why string, proved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.row.Instance != instance || e.holderGone && (e.holderEnded || !proved) || e.cancelSession != nil {
		return
	}
	e.holderGone, e.holderEnded = true, proved
	e.node.opts.Logger.Info("leader process ended", "epoch", e.row.Epoch, "holder", e.row.Holder, "why", why, "proved", proved)
}

// current returns the last known row.
func (e *elector) current() leaderRow {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row
}

// maxProxiedAnswerAge is the greatest age of the last answer of the store through a proxy at
// which a leader may still conclude that the store answers other VMs. A watch of the row
// answers at least that often.
const maxProxiedAnswerAge = leaderWatchWait + 300*time.Millisecond

// shouldStepDown reports whether the store answers other VMs but not this one. If it answers no
// VM, the leader continues, since no other VM can replace it.
func (e *elector) shouldStepDown(now time.Time) bool {
	if e.node.opts.Store.DirectTransport() != nil {
		e.proxiedSince = time.Time{}
		return false
	}
	if e.proxiedSince.IsZero() {
		e.proxiedSince = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAnswerAt.After(e.proxiedSince) && now.Sub(e.lastAnswerAt) < maxProxiedAnswerAge
}

// triggerStep makes the elector act before its next interval.
func (e *elector) triggerStep() {
	select {
	case e.renewNow <- struct{}{}:
	default:
	}
}

// step acquires or renews the leadership if it is time to.
func (e *elector) step(ctx context.Context) {
	now := time.Now()
	if l := e.node.leader(); l != nil {
		if l.superseded() {
			e.abandon(l.epoch, "a worker has accepted a later epoch")
			return
		}
		// While the stored jobs are being loaded, the leader's own network link may be what
		// delays the store's answers, so that this is no reason to step down.
		if e.shouldStepDown(now) && l.pending() != nil {
			e.stepDown(l)
			return
		}
		loaded := e.current().Loading && l.pending() != nil
		if roster, urgent := l.wantedRoster(); urgent || loaded || now.After(e.renewAt) {
			e.renew(ctx, l, roster)
		}
		return
	}
	if e.beginTakeover(now) {
		e.takeOver(ctx)
		e.endTakeover()
	}
}
