package cell

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

// beginTakeover reports whether the leadership is free and this VM should acquire it now. Until
// endTakeover is called, the VM confirms no leader's term.
func (e *elector) beginTakeover(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.takingOver = e.shouldTakeOver(now)
	return e.takingOver
}

func (e *elector) endTakeover() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.takingOver = false
}

// shouldTakeOver reports whether the leadership is free and this VM should acquire it now. The
// caller holds e.mu.
func (e *elector) shouldTakeOver(now time.Time) bool {
	if !e.known || e.cancelSession != nil || e.reachableSince.IsZero() || e.node.stopping.Load() || e.node.opts.Store.DirectTransport() == nil {
		return false
	}
	if e.version == store.Absent || e.row.Released || e.holderEnded || e.holderGone && e.isElector() {
		if e.freeSince.IsZero() {
			e.freeSince = now
		}
		return now.Sub(e.freeSince) >= e.takeoverDelay
	}
	e.freeSince = time.Time{}
	idleSince := e.changedAt
	if e.reachableSince.After(idleSince) {
		idleSince = e.reachableSince
	}
	limit := expireAfter
	if e.row.Loading {
		limit = loadingExpireAfter
	}
	if !e.isElector() {
		limit = max(limit, unlistedExpireAfter)
		if e.seenAt.After(idleSince) {
			idleSince = e.seenAt
		}
	}
	// Only an answer of the store after that time proves that the row is unchanged.
	return e.lastAnswerAt.Sub(idleSince) > limit+e.jitter+e.takeoverDelay && now.Sub(e.lastAnswerAt) < expireAfter
}

// isElector reports whether this VM may take over as soon as the row expires. The caller holds e.mu.
func (e *elector) isElector() bool {
	_, listed := e.row.Electors[e.node.opts.Name]
	return listed || len(e.row.Electors) == 0
}

// takeOver writes a row of the next epoch and starts to lead.
func (e *elector) takeOver(ctx context.Context) {
	e.mu.Lock()
	previous, version, changedAt := e.row, e.version, e.changedAt
	// The leader before the last one may act until its term ends as well.
	ended := (e.holderEnded || e.row.Released) && time.Since(e.epochSeenAt) > leadershipTerm
	e.mu.Unlock()
	next := leaderRow{
		Epoch:    previous.Epoch + 1,
		Holder:   e.node.opts.Name,
		Instance: e.node.instance,
		Address:  e.node.opts.PeerAddress,
		Workers:  previous.Workers,
		Lost:     previous.Lost,
		VMs:      previous.VMs,
		Electors: maps.Clone(previous.Electors),
		Loading:  true,
	}
	delete(next.Electors, next.Holder)
	began := time.Now()
	written, err := e.write(ctx, next, version, store.Put{Table: LeaderTable, Key: epochKey, Value: fmt.Append(nil, next.Epoch)})
	if err != nil {
		e.node.opts.Logger.Warn("takeover failed", "epoch", next.Epoch, "error", err)
		return
	}
	e.node.metrics.takeovers.Inc()
	e.node.opts.Logger.Info("leadership taken over", "epoch", next.Epoch, "after", previous.Holder, "former-workers", len(previous.Workers), "former-lost", len(previous.Lost), "row-age", began.Sub(changedAt), "proved", ended, "took", time.Since(began))
	e.lead(ctx, next, written, began, predecessorOf(began, ended, e.node.opts.MaxLease))
}

// lead starts to act as the leader.
func (e *elector) lead(ctx context.Context, row leaderRow, version int64, began time.Time, previous predecessor) {
	sessionCtx, cancel := context.WithCancel(ctx)
	l := newLeader(sessionCtx, e.node, row, version, began, previous)
	e.mu.Lock()
	e.adopt(row, version)
	e.cancelSession = cancel
	e.renewAt = began.Add(renewInterval)
	e.mu.Unlock()
	e.node.setLeader(l)
	e.sessions.Add(1)
	go (&task{call: l.run, done: &e.sessions}).run(sessionCtx)
}

// renew writes the row again, with the workers that the engine intends to use.
func (e *elector) renew(ctx context.Context, l *leader, roster engine.Roster) {
	e.mu.Lock()
	row, version := e.row, e.version
	e.mu.Unlock()
	if row.Epoch != l.epoch || row.Instance != e.node.instance {
		return
	}
	row.Renewals++
	row.Workers, row.Lost = roster.Workers, roster.Lost
	row.VMs = l.vms()
	row.Electors = l.nextElectors(time.Now())
	row.Loading = l.pending() == nil
	l.rosterSent(roster)
	now := time.Now()
	written, err := e.write(ctx, row, version)
	if err != nil {
		e.node.opts.Logger.Warn("renewal failed", "epoch", row.Epoch, "error", err)
		e.renewAt = now.Add(electInterval)
		return
	}
	e.renewAt = now.Add(renewInterval)
	e.mu.Lock()
	if written > e.version {
		e.adopt(row, written)
	}
	e.mu.Unlock()
	l.rosterRecorded(roster)
	l.noteRenewed(now, row.Electors)
}

// encode returns the stored form of the row. If that is too large, it leaves out the jobs of lost
// workers, of those with the most jobs first, so that any job may run there. It returns the number of
// workers whose jobs it left out.
func (r leaderRow) encode(tooLarge func([]byte) bool) (data []byte, shortened int, err error) {
	lost := slices.SortedFunc(maps.Keys(r.Lost), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(r.Lost[b]), len(r.Lost[a])), cmp.Compare(a, b))
	})
	r.Lost = maps.Clone(r.Lost)
	for {
		data, err = json.Marshal(r)
		if err != nil {
			return nil, shortened, fmt.Errorf("encode leader row: %w", err)
		}
		if !tooLarge(data) || shortened == len(lost) {
			return data, shortened, nil
		}
		step := min(max(1, len(lost)/8), len(lost)-shortened)
		for _, id := range lost[shortened : shortened+step] {
			r.Lost[id] = nil
		}
		shortened += step
	}
}

// write commits the row over a version. After a lost answer or a conflict it reads the row to
// find out whether the write took effect.
func (e *elector) write(ctx context.Context, row leaderRow, version int64, extra ...store.Change) (int64, error) {
	data, shortened, err := row.encode(e.node.exceedsRow)
	if err != nil {
		return 0, err
	}
	if shortened > 0 {
		e.node.opts.Logger.Warn("leader row too large; jobs of lost workers left out", "workers", shortened, "lost", len(row.Lost), "bytes", len(data))
	}
	ctx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
	defer cancel()
	put := store.Put{Table: LeaderTable, Key: LeaderKey, Value: data, Expected: store.Expect(version)}
	written, err := e.node.opts.Store.Commit(ctx, append([]store.Change{put}, extra...)...)
	if err == nil {
		return written, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return 0, err
	}
	readCtx, done := context.WithTimeout(context.WithoutCancel(ctx), rowReadTimeout)
	defer done()
	stored, readErr := e.node.opts.Store.Read(readCtx, LeaderTable, LeaderKey)
	if readErr != nil {
		e.node.opts.Store.MarkUnreachable()
		return 0, errors.Join(err, readErr)
	}
	if slices.Equal(stored.Value, data) {
		return stored.Version, nil
	}
	if stored.Version != version && row.follows(stored) {
		// The version came from the answer to the last write, which may give a later one.
		return e.write(ctx, row, stored.Version, extra...)
	}
	e.observe(stored)
	return 0, err
}

// follows reports whether the row is the next one after a stored row in the same leadership.
func (r leaderRow) follows(stored store.Row) bool {
	var previous leaderRow
	return json.Unmarshal(stored.Value, &previous) == nil && previous.Instance == r.Instance && previous.Epoch == r.Epoch && previous.Renewals == r.Renewals-1
}

// stepDown hands the leadership over to a VM that the store answers. The next leader takes a
// released row as proof that this one starts no job that is stored after it. So nothing is
// started from here on, unless the row is known to be unchanged.
func (e *elector) stepDown(l *leader) {
	l.setPaused(true)
	e.mu.Lock()
	row, version := e.row, e.version
	e.mu.Unlock()
	row.Released = true
	row.Renewals++
	_, err := e.write(context.Background(), row, version)
	if errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) {
		e.node.opts.Logger.Warn("leadership not handed over", "epoch", row.Epoch, "error", err)
		l.setPaused(false)
		return
	}
	e.abandon(l.epoch, "store reachable only through other VMs")
}

// release hands the leadership over at once, if this node has it.
func (e *elector) release() {
	e.mu.Lock()
	row, version, leads := e.row, e.version, e.cancelSession != nil
	if leads {
		e.endSession("VM is shutting down")
	}
	e.mu.Unlock()
	e.sessions.Wait()
	if !leads {
		return
	}
	row.Released = true
	row.Renewals++
	if _, err := e.write(context.Background(), row, version); err != nil {
		e.node.opts.Logger.Warn("leadership not handed over", "error", err)
	}
}
