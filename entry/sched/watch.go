package sched

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// watcher follows the roster: it keeps a link to each worker, and ends jobs whose
// window has passed.
type watcher struct{ h *holder }

func (w *watcher) run(ctx context.Context) {
	defer w.h.loops.Done()
	ticker := time.NewTicker(fleetEvery)
	defer ticker.Stop()
	for {
		w.h.follow(ctx, w.h.s.opts.Roster())
		if err := w.h.recordFleet(ctx); err != nil {
			klog.V(2).InfoS("The fleet's row could not be written; new workers wait", "err", err)
		}
		w.h.endLate(w.h.now())
		w.h.endUnfit(w.h.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow takes in the roster, and starts a link to each worker that is new.
func (h *holder) follow(ctx context.Context, view *roster.View) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.member = gone
	}
	for _, w := range h.fleet.workers {
		l := h.connect(ctx, w)
		l.recorded = true
	}
	for _, w := range view.Workers {
		if w.Domain != h.s.opts.Domain || !w.Address.IsValid() {
			continue
		}
		l := h.connect(ctx, fleetWorkerOf(w))
		l.member = member
		if w.State == roster.Leaving {
			l.member = leavingMember
		}
	}
	for _, l := range h.links {
		h.refresh(l, now)
		if l.member == leavingMember {
			h.moveServices(l)
		}
	}
	h.checkSettled(now)
	signal(h.wake)
}

// connect makes sure that there is a link to a worker. The lock must be held.
func (h *holder) connect(ctx context.Context, w fleetWorker) *link {
	l := h.links[w.Name]
	h.ledger.SetWorker(w.Name, w.Rack, w.capacity())
	if l != nil {
		h.redial(l, w.Address)
		return l
	}
	l = newLink(h, w.Name)
	h.redial(l, w.Address)
	h.links[w.Name] = l
	if l.client != nil {
		h.loops.Add(1)
		go l.run(ctx)
	}
	return l
}

func (h *holder) redial(l *link, address string) {
	if err := l.dial(address); err != nil {
		klog.ErrorS(err, "A worker's address can't be used", "worker", l.name, "address", address)
	}
}

// refresh decides whether a worker takes new tasks. The lock must be held.
func (h *holder) refresh(l *link, now time.Time) {
	h.ledger.SetCondition(l.name, l.condition(now))
}

func (l *link) condition(now time.Time) ledger.Condition {
	switch {
	case l.member == leavingMember:
		return ledger.Leaving
	case !l.listed || !l.recorded || l.member == gone:
		return ledger.Unreachable
	case !l.failingSince.IsZero() && now.Sub(l.failingSince) > silenceLimit:
		return ledger.Unreachable
	case !l.health.usable(now):
		return ledger.Quarantined
	default:
		return ledger.Usable
	}
}

// checkSettled notes when no task of an older job can run on a worker that has
// not been listed. The lock must be held.
func (h *holder) checkSettled(now time.Time) {
	if h.settled || !h.loaded || len(h.links) < len(h.fleet.workers) {
		return
	}
	if !h.allListed() && !h.lapsedBefore(now) {
		return
	}
	h.settled = true
	for _, former := range h.grant.PreviousHolders {
		h.s.lease.RemovePreviousHolder(former)
	}
	for _, j := range sortedJobs(h.jobs) {
		j.inherited = false
		h.settleJob(j)
	}
	signal(h.wake)
}

// allListed reports whether every worker has listed its tasks, which also fences
// all earlier holders there. The lock must be held.
func (h *holder) allListed() bool {
	for _, l := range h.links {
		if !l.listed {
			return false
		}
	}
	return true
}

// lapsedBefore reports whether all leases that earlier holders gave have lapsed.
func (h *holder) lapsedBefore(now time.Time) bool {
	bound := latest(h.grant.MaxTaskDeadline, h.renewedUntil)
	return h.formers == 0 && now.After(bound.Add(h.skew()))
}

// recordFleet writes the fleet's row if the roster has workers that it lacks.
func (h *holder) recordFleet(ctx context.Context) error {
	h.mu.Lock()
	next, changed := h.nextFleet()
	version := h.fleet.version
	h.mu.Unlock()
	if !changed {
		return nil
	}
	data, err := encodeFleet(next)
	if err != nil {
		return err
	}
	put := store.Put{Table: tableFleet, Key: h.s.opts.Domain, Value: data, Expected: store.Expect(version)}
	written, err := h.s.opts.Tables.Commit(ctx, put)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		return h.rereadFleet(ctx)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet = fleet{version: written, workers: next}
	return nil
}

// nextFleet is what the fleet's row should be: it keeps workers that still have
// charges. The lock must be held.
func (h *holder) nextFleet() (map[string]fleetWorker, bool) {
	next := maps.Clone(h.fleet.workers)
	for _, w := range h.s.opts.Roster().Workers {
		if w.Domain == h.s.opts.Domain && w.Address.IsValid() {
			next[w.Name] = fleetWorkerOf(w)
		}
	}
	for name := range next {
		if l := h.links[name]; h.settled && l != nil && l.member == gone && len(h.ledger.ChargesOf(name)) == 0 {
			delete(next, name)
			l.recorded = false
		}
	}
	return next, !maps.Equal(next, h.fleet.workers)
}

// rereadFleet settles a write whose outcome is not known.
func (h *holder) rereadFleet(ctx context.Context) error {
	row, err := h.s.opts.Tables.Read(ctx, tableFleet, h.s.opts.Domain)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet.decode(row)
}

// endLate ends the jobs whose window has passed.
func (h *holder) endLate(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.ends != "" || now.Before(j.row.Spec.NotAfter) {
			continue
		}
		switch {
		case j.row.Spec.Kind == caller.JobSpecKindService && j.live > 0:
			h.end(j, caller.JobStateSucceeded, "its window ended")
		case j.live == 0 && j.done == 0 && !j.tried() && !j.inherited:
			h.end(j, caller.JobStateRefused, "its window passed before a worker had room: "+j.explained)
		default:
			h.end(j, caller.JobStateFailed, "its window passed before all tasks were done")
		}
	}
}

// tried reports whether a start of any task was ever sent.
func (j *job) tried() bool {
	for i := range j.tasks {
		if j.tasks[i].attempt > 0 {
			return true
		}
	}
	return false
}

// unfitFor is how long a job must not fit on any listed worker before it is
// refused, so that a worker that is just being replaced does not count.
const unfitFor = 5 * time.Second

// endUnfit ends the waiting jobs that no listed worker can carry, even when empty.
func (h *holder) endUnfit(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.settled {
		return
	}
	for _, j := range h.jobs {
		if j.ends != "" || j.pending == 0 {
			continue
		}
		if fits, least := h.capacityFor(j), leastTogether(&j.row.Spec); fits >= least {
			j.unfitSince = time.Time{}
		} else if j.unfitSince.IsZero() {
			j.unfitSince = now
		} else if now.Sub(j.unfitSince) > unfitFor {
			h.refuseUnfit(j, fits, least)
		}
	}
}

// capacityFor is how many of the tasks that must run together fit on the listed
// workers if these are empty. The lock must be held.
func (h *holder) capacityFor(j *job) int {
	least := leastTogether(&j.row.Spec)
	fits := 0
	for _, l := range h.links {
		if l.member != member {
			continue
		}
		if w := h.ledger.Worker(l.name); w != nil {
			fits += ledger.FitCount(j.each(), w.Capacity, least)
		}
	}
	return fits
}

// refuseUnfit ends a job that can never run. The lock must be held.
func (h *holder) refuseUnfit(j *job, fits, least int) {
	state := caller.JobStateFailed
	if !j.tried() && j.done == 0 {
		state = caller.JobStateRefused
	}
	h.end(j, state, fmt.Sprintf("can-never-fit: %d of %d tasks of %+v fit on the workers that are left, all empty", fits, least, j.each()))
}
