package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

// wantsTakeover reports whether the leadership is free.
func (e *elector) wantsTakeover(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || e.session != nil || e.contactSince.IsZero() || e.node.stopping.Load() || e.node.opts.Store.DirectTransport() == nil {
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
	limit := expireAfter
	if e.row.Reading {
		limit = readingExpire
	}
	// Only an answer of the store after that time says that the row is unchanged.
	return e.lastContact.Sub(idle) > limit+e.spread+e.reserve && now.Sub(e.lastContact) < expireAfter
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
		Address:  e.node.opts.PeerAddress,
		Workers:  before.Workers,
		Lost:     before.Lost,
		VMs:      before.VMs,
		Reading:  true,
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
	l := newLeader(sessionCtx, e.node, row, version, began, before)
	e.mu.Lock()
	e.adopt(row, version)
	e.session = cancel
	e.renewAt = began.Add(renewEvery)
	e.mu.Unlock()
	e.node.setLeader(l)
	e.ended.Add(1)
	go (&task{call: l.run, done: &e.ended}).run(sessionCtx)
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
	row.VMs = l.vms()
	row.Reading = l.pending() == nil
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
	if !errors.As(err, &conflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return 0, err
	}
	readCtx, done := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer done()
	stored, readErr := e.node.opts.Store.Read(readCtx, LeaderTable, LeaderKey)
	if readErr != nil {
		e.node.opts.Store.MarkUnreachable()
		return 0, errors.Join(err, readErr)
	}
	if slices.Equal(stored.Value, data) {
		return stored.Version, nil
	}
	e.observe(stored)
	return 0, err
}

// stepDown hands the leadership over to a VM that the store answers. The next leader
// takes a released row as proof that this one starts no job that is stored after it,
// so nothing is started from here on unless the row is known to be unchanged.
func (e *elector) stepDown(l *leader) {
	l.pause(true)
	e.mu.Lock()
	row, version := e.row, e.version
	e.mu.Unlock()
	row.Released = true
	row.Beat++
	_, err := e.write(context.Background(), row, version)
	if errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) {
		e.node.opts.Logger.Warn("leadership not handed over", "epoch", row.Epoch, "error", err)
		l.pause(false)
		return
	}
	e.abandon(l.epoch, "the store answers only other VMs")
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
