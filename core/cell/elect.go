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
	// renewEvery is the time between a leader's renewals of its row: three fit
	// into the time after which others take over.
	renewEvery = 500 * time.Millisecond
	// expireAfter is how long the row must stay unchanged, with the store
	// answering all the while, before another VM takes over. It must exceed a
	// renewal through a slow store; a needless takeover costs time, not safety.
	expireAfter = 1800 * time.Millisecond
	// readingExpire is the same for a leader that still reads the stored jobs: on a link of
	// 2 Mbit/s its renewals wait behind a megabyte of them. One whose process has ended
	// is replaced at once all the same.
	readingExpire = 6 * time.Second
	// takeoverSpread keeps the VMs from taking over all at once.
	takeoverSpread = 300 * time.Millisecond
	// leaderProcessors and leaderMemory are what a VM should have to lead: with 350
	// workers the leader used 0.35 processors and 260 MB.
	leaderProcessors = 0.36
	leaderMemory     = 270 << 20
	// smallDelay is how much longer VMs with less wait before they take over.
	smallDelay = 600 * time.Millisecond
	// confirmedFor is how long a leader's answer to a report says that it leads: two
	// reports, and the way there and back.
	confirmedFor = 2*helloEvery + 100*time.Millisecond
	// restFor is the longest time between two watches of the row while the leader itself
	// says that it leads. The row tells little else, and it changes twice a second: the
	// watches of 147 VMs were two thirds of all calls to the store.
	restFor = 2500 * time.Millisecond
	// electStep is how often the elector decides.
	electStep = 100 * time.Millisecond
	// leaderWait bounds a watch of the leader row: longer than the time between two
	// renewals, so that no call ends just before one.
	leaderWait = 700 * time.Millisecond
	// electTimeout bounds a write of the row, and readTimeout the read that settles a
	// lost answer: a leader that the store has stopped answering must renew its row by
	// a detour before it expires.
	electTimeout = 600 * time.Millisecond
	readTimeout  = 450 * time.Millisecond
)

// leaderRow is the stored form of the leadership, in JSON.
type leaderRow struct {
	Epoch    int64          `json:"epoch"`
	Holder   string         `json:"holder"`
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	Released bool           `json:"released,omitempty"`
	// Reading says that the leader has not read all stored jobs yet.
	Reading bool `json:"reading,omitempty"`
	// Workers are those on which runs of this or an earlier leader may be, and Lost
	// those of them that do not answer, with the jobs that may run there.
	Workers []string             `json:"workers"`
	Lost    map[string][]jobs.ID `json:"lost,omitempty"`
	// VMs are some of those that report to the leader, by name.
	VMs map[string]vmEntry `json:"vms,omitempty"`
	// Beat makes each renewal a change.
	Beat int64 `json:"beat"`
}

// vmEntry is what the leader row tells of a VM.
type vmEntry struct {
	// Address is where other VMs reach it.
	Address    netip.AddrPort `json:"address"`
	Zone       string         `json:"zone,omitempty"`
	Processors float64        `json:"processors,omitempty"`
}

// elector takes and renews the leadership for one node.
type elector struct {
	node *Node

	mu  sync.Mutex
	row leaderRow
	// version is that of the row, or store.Absent.
	version int64
	// changedAt is when the row was last seen to change, contactSince since when
	// the watch has succeeded without a failure.
	changedAt    time.Time
	contactSince time.Time
	lastContact  time.Time
	known        bool
	// confirmedAt is when the leader last said that it leads. rested says that the row
	// was not watched for a while before the watch that is out, and restedVersion is that
	// of the row then.
	confirmedAt   time.Time
	rested        bool
	restedVersion int64
	spread        time.Duration
	// reserve is how much longer than others this VM waits, and freeSince since
	// when the leadership is known to be free.
	reserve   time.Duration
	freeSince time.Time
	// renewNow asks for a renewal before its time.
	renewNow chan struct{}
	renewAt  time.Time
	// detourSince is since when the store is reached only through other VMs.
	detourSince time.Time
	// vacant says that the holder's process was proved to be gone.
	vacant bool
	// session ends the leadership.
	session context.CancelFunc
	ended   sync.WaitGroup
}

func newElector(n *Node) *elector {
	e := &elector{node: n, renewNow: make(chan struct{}, 1), spread: rand.N(takeoverSpread)}
	if n.opts.small() {
		e.reserve = smallDelay
	}
	return e
}

// small reports whether the VM should leave the leadership to others.
func (o *Options) small() bool {
	return o.Processors > 0 && o.Processors < leaderProcessors || o.MemoryBytes > 0 && o.MemoryBytes < leaderMemory
}

// run follows the leader row and acts on it until ctx ends.
func (e *elector) run(ctx context.Context) {
	watcher := &store.Watcher{
		Feed:       e.node.opts.Store,
		Table:      LeaderTable,
		Wait:       leaderWait,
		OnSnapshot: e.observeRows,
		OnChanges:  e.observeChanges,
		OnError:    e.contactLost,
		AwaitNext:  e.rest,
	}
	var loops sync.WaitGroup
	loops.Add(1)
	go (&task{call: watcher.Run, done: &loops}).run(ctx)
	ticker := time.NewTicker(electStep)
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

// rest waits until the row is to be watched again: as soon as the leader has not said for
// a moment that it leads, or where it did not renew the row since the last rest. A leader
// watches its own row all the time.
func (e *elector) rest(ctx context.Context) {
	until := time.Now().Add(restFor)
	rested := false
	for e.isRenewed() && time.Now().Before(until) && e.isConfirmed() && store.Sleep(ctx, electStep) {
		rested = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rested, e.restedVersion = rested, e.version
	if rested && e.confirmedAt.After(e.changedAt) {
		e.changedAt = e.confirmedAt
	}
}

// isRenewed reports whether the row has changed since the last rest.
func (e *elector) isRenewed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version > e.restedVersion
}

// isConfirmed reports whether another VM leads by its own word of a moment ago.
func (e *elector) isConfirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.session == nil && !e.row.Released && time.Since(e.confirmedAt) < confirmedFor
}

// confirm notes that the leader of the row has said that it leads.
func (e *elector) confirm(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.row.Instance == instance {
		e.confirmedAt = time.Now()
	}
}

// refresh reads the row, which this VM may not have watched for a while.
func (e *elector) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := e.node.opts.Store.Read(ctx, LeaderTable, LeaderKey)
	if err != nil {
		e.node.opts.Logger.Warn("leader row not read", "error", err)
		return
	}
	e.observe(stored)
}

func (e *elector) contactLost(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.contactSince.IsZero() {
		e.node.opts.Logger.Warn("store lost", "error", err, "contact-for", time.Since(e.contactSince))
	}
	e.contactSince = time.Time{}
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
	e.contact()
	for _, change := range changes {
		if change.Key == LeaderKey && !change.Removed {
			e.observe(change.Row)
		}
	}
}

func (e *elector) contact() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastContact = time.Now()
	if e.contactSince.IsZero() {
		e.contactSince = e.lastContact
		e.node.opts.Logger.Info("store reached")
	}
}

// observe takes in the row as the store has it.
func (e *elector) observe(stored store.Row) {
	e.contact()
	row := leaderRow{}
	if stored.Version != store.Absent {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			e.node.opts.Logger.Warn("leader row cannot be read", "version", stored.Version, "error", err)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && stored.Version <= e.version {
		return
	}
	e.adopt(row, stored.Version)
}

// adopt makes row the known one; e.mu is held.
func (e *elector) adopt(row leaderRow, version int64) {
	if row.Instance != e.row.Instance || row.Epoch != e.row.Epoch || row.Released != e.row.Released {
		e.node.opts.Logger.Info("leader changed", "epoch", row.Epoch, "holder", row.Holder, "address", row.Address, "released", row.Released)
	}
	// What changed while the row was not watched did so at some time before: rest has noted
	// when the leader was last known to live.
	if !e.rested || row.Instance != e.row.Instance {
		e.changedAt = time.Now()
	}
	e.row, e.version, e.known = row, version, true
	// An earlier process of this VM cannot lead anymore.
	e.vacant = row.Holder == e.node.opts.Name && row.Instance != e.node.instance
	if e.session != nil && row.Instance != e.node.instance {
		e.endSession("another leader is on record")
	}
}

// endSession stops acting as the leader; e.mu is held.
func (e *elector) endSession(why string) {
	e.node.opts.Logger.Warn("leadership ended", "why", why, "epoch", e.row.Epoch)
	e.session()
	e.session = nil
	e.node.setLeader(nil)
}

// abandon stops acting as the leader of an epoch after proof of a later one.
func (e *elector) abandon(epoch int64, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil && e.row.Epoch == epoch {
		e.endSession(why)
		// The row still names this instance: it must not renew it.
		e.row.Instance = ""
	}
}

// inContact reports whether the last watch of the leader row succeeded.
func (e *elector) inContact() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.contactSince.IsZero()
}

// holderGone notes that the process of an instance does not exist anymore.
func (e *elector) holderGone(instance, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.row.Instance != instance || e.vacant || e.session != nil {
		return
	}
	e.vacant = true
	e.node.opts.Logger.Info("leader is gone", "epoch", e.row.Epoch, "holder", e.row.Holder, "why", why)
}

// current returns the row as it was last seen.
func (e *elector) current() leaderRow {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row
}

// detourContact is how old the last word of the store through another VM may be for
// a leader to hand over by it: a watch of the row answers at least that often.
const detourContact = leaderWait + 300*time.Millisecond

// shouldStepDown reports whether the store answers other VMs and not this one. Where
// it answers nobody, the leader goes on: nobody can replace it.
func (e *elector) shouldStepDown(now time.Time) bool {
	if e.node.opts.Store.DirectTransport() != nil {
		e.detourSince = time.Time{}
		return false
	}
	if e.detourSince.IsZero() {
		e.detourSince = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastContact.After(e.detourSince) && now.Sub(e.lastContact) < detourContact
}

// step takes or renews the leadership, as the present instant demands.
func (e *elector) step(ctx context.Context) {
	now := time.Now()
	if l := e.node.leader(); l != nil {
		if l.superseded() {
			e.abandon(l.epoch, "a worker has obeyed a later leader")
			return
		}
		// While the jobs are read, the leader's own link may be what holds answers back.
		if e.shouldStepDown(now) && l.pending() != nil {
			e.stepDown(l)
			return
		}
		if roster, urgent := l.wantedRoster(); urgent || now.After(e.renewAt) {
			e.renew(ctx, l, roster)
		}
		return
	}
	if e.wantsTakeover(now) {
		e.takeover(ctx)
	}
}
