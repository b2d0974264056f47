package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
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
	// takeoverSpread keeps the VMs from taking over all at once.
	takeoverSpread = 300 * time.Millisecond
	// leaderProcessors and leaderMemory are what a VM should have to lead: with 350
	// workers the leader used 0.35 processors and 260 MB.
	leaderProcessors = 0.36
	leaderMemory     = 270 << 20
	// smallDelay is how much longer VMs with less wait before they take over.
	smallDelay = 600 * time.Millisecond
	// electStep is how often the elector decides.
	electStep = 100 * time.Millisecond
	// leaderWait bounds a watch of the leader row.
	leaderWait = 500 * time.Millisecond
	// electTimeout bounds a write of the row.
	electTimeout = 1500 * time.Millisecond
)

// leaderRow is the stored form of the leadership, in JSON.
type leaderRow struct {
	Epoch    int64          `json:"epoch"`
	Holder   string         `json:"holder"`
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	Released bool           `json:"released,omitempty"`
	// Workers are those on which runs of this or an earlier leader may be, and Lost
	// those of them that do not answer, with the jobs that may run there.
	Workers []string             `json:"workers"`
	Lost    map[string][]jobs.ID `json:"lost,omitempty"`
	// Beat makes each renewal a change.
	Beat int64 `json:"beat"`
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
	spread       time.Duration
	// reserve is how much longer than others this VM waits, and freeSince since
	// when the leadership is known to be free.
	reserve   time.Duration
	freeSince time.Time
	// renewNow asks for a renewal before its time.
	renewNow chan struct{}
	renewAt  time.Time
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
	}
	var loops sync.WaitGroup
	loops.Add(1)
	go e.node.runLoop(ctx, &loops, watcher.Run)
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
	e.row, e.version, e.known = row, version, true
	e.changedAt = time.Now()
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

// wantsTakeover reports whether the leadership is free.
func (e *elector) wantsTakeover(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || e.session != nil || e.contactSince.IsZero() || e.node.stopping.Load() {
		return false
	}
	if e.version == store.Absent || e.row.Released || e.vacant {
		if e.freeSince.IsZero() {
			e.freeSince = now
		}
		return now.Sub(e.freeSince) >= e.reserve
	}
	e.freeSince = time.Time{}
	idle := e.changedAt
	if e.contactSince.After(idle) {
		idle = e.contactSince
	}
	// Only an answer of the store after that time says that the row is unchanged.
	return e.lastContact.Sub(idle) > expireAfter+e.spread+e.reserve && now.Sub(e.lastContact) < expireAfter
}

// step takes or renews the leadership, as the present instant demands.
func (e *elector) step(ctx context.Context) {
	now := time.Now()
	if l := e.node.leader(); l != nil {
		if l.superseded() {
			e.abandon(l.epoch, "a worker has obeyed a later leader")
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

// takeover writes a row of the next epoch.
func (e *elector) takeover(ctx context.Context) {
	e.mu.Lock()
	before, version, gone, changed := e.row, e.version, e.vacant || e.row.Released, e.changedAt
	e.mu.Unlock()
	next := leaderRow{
		Epoch:    before.Epoch + 1,
		Holder:   e.node.opts.Name,
		Instance: e.node.instance,
		Address:  e.node.opts.Peers,
		Workers:  before.Workers,
		Lost:     before.Lost,
	}
	began := time.Now()
	written, err := e.write(ctx, next, version, store.Put{Table: LeaderTable, Key: epochKey, Value: fmt.Append(nil, next.Epoch)})
	if err != nil {
		e.node.opts.Logger.Warn("takeover failed", "epoch", next.Epoch, "error", err)
		return
	}
	e.node.metrics.takeovers.Inc()
	e.node.opts.Logger.Info("took over", "epoch", next.Epoch, "after", before.Holder, "former-workers", len(before.Workers), "former-lost", len(before.Lost), "row-age", began.Sub(changed), "proved", gone, "took", time.Since(began))
	e.lead(ctx, next, written, began, predecessorOf(began, gone, e.node.opts.MaxLease))
}

// lead starts to act as the leader.
func (e *elector) lead(ctx context.Context, row leaderRow, version int64, began time.Time, before predecessor) {
	sessionCtx, cancel := context.WithCancel(ctx)
	l := newLeader(e.node, row, version, began, before)
	e.mu.Lock()
	e.adopt(row, version)
	e.session = cancel
	e.renewAt = began.Add(renewEvery)
	e.mu.Unlock()
	e.node.setLeader(l)
	e.ended.Add(1)
	go e.node.runLoop(sessionCtx, &e.ended, l.run)
}

// renew writes the row again, with the workers that the engine wants to use.
func (e *elector) renew(ctx context.Context, l *leader, roster engine.Roster) {
	e.mu.Lock()
	row, version := e.row, e.version
	e.mu.Unlock()
	if row.Epoch != l.epoch || row.Instance != e.node.instance {
		return
	}
	row.Beat++
	row.Workers, row.Lost = roster.Workers, roster.Lost
	l.rosterSent(roster)
	now := time.Now()
	written, err := e.write(ctx, row, version)
	if err != nil {
		e.node.opts.Logger.Warn("renewal failed", "epoch", row.Epoch, "error", err)
		e.renewAt = now.Add(electStep)
		return
	}
	e.renewAt = now.Add(renewEvery)
	e.mu.Lock()
	if written > e.version {
		e.adopt(row, written)
	}
	e.mu.Unlock()
	l.rosterRecorded(roster)
}

// write commits the row over a version. After a lost answer or a conflict the
// row that is there decides.
func (e *elector) write(ctx context.Context, row leaderRow, version int64, more ...store.Change) (int64, error) {
	data, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("encode the leader row: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, electTimeout)
	defer cancel()
	put := store.Put{Table: LeaderTable, Key: LeaderKey, Value: data, Expected: store.Expect(version)}
	written, err := e.node.opts.Store.Commit(ctx, append([]store.Change{put}, more...)...)
	if err == nil {
		return written, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) && !errors.Is(err, store.ErrUnsettled) {
		return 0, err
	}
	stored, readErr := e.node.opts.Store.Read(ctx, LeaderTable, LeaderKey)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if slices.Equal(stored.Value, data) {
		return stored.Version, nil
	}
	e.observe(stored)
	return 0, err
}

// release hands the leadership over at once, if this node has it.
func (e *elector) release() {
	e.mu.Lock()
	row, version, leads := e.row, e.version, e.session != nil
	if leads {
		e.endSession("this VM stops")
	}
	e.mu.Unlock()
	e.ended.Wait()
	if !leads {
		return
	}
	row.Released = true
	row.Beat++
	if _, err := e.write(context.Background(), row, version); err != nil {
		e.node.opts.Logger.Warn("leadership not handed over", "error", err)
	}
}
