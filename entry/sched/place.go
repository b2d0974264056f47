package sched

import (
	"context"
	"fmt"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/place"
	"tanagerstack.org/core/queue"
	"tanagerstack.org/core/roster"
)

const (
	// passDecisions bounds one pass over the queue, so that reports of workers
	// need not wait for the lock for long.
	passDecisions = 500
	// chunk is the most tasks of one job that are placed before the shares of
	// teams are compared again.
	chunk = 8
	// passGap is the least time between passes.
	passGap = 5 * time.Millisecond
	// defaultAgeBatch is used where the policy names none.
	defaultAgeBatch = 10 * time.Minute
)

// placer walks the queue whenever something changed.
type placer struct{ h *holder }

func (p *placer) run(ctx context.Context) {
	defer p.h.loops.Done()
	ticker := time.NewTicker(placeEvery)
	defer ticker.Stop()
	for {
		p.h.pass(p.h.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.h.wake:
			time.Sleep(passGap)
		}
	}
}

// pass walks the queue once and reserves workers.
func (h *holder) pass(now time.Time) {
	if !h.valid(now) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropReservation(now)
	touched := make(map[string]*job)
	walk := h.queue.Begin(h.frame(now))
	for range passDecisions {
		it, ok := walk.Next()
		if !ok {
			break
		}
		j := h.jobs[it.Job]
		touched[it.Job] = j
		if h.placeNext(walk, it, j, now) == 0 {
			walk.Skip(it)
		}
	}
	for _, j := range touched {
		h.enqueuePlaced(j)
	}
}

// enqueuePlaced takes a job out of the queue once no task of it waits. The lock
// must be held.
func (h *holder) enqueuePlaced(j *job) {
	if j.pending == 0 {
		h.queue.Remove(j.row.ID)
	} else if j.row.Spec.Kind == caller.JobSpecKindGang {
		h.queue.Add(h.item(j))
	}
}

// frame is what a pass goes by. The lock must be held.
func (h *holder) frame(now time.Time) queue.PassParams {
	frame := queue.PassParams{Now: now, AgeBatch: h.ageBatch(), Teams: h.teams}
	for _, w := range h.ledger.Workers() {
		frame.Fleet = ledger.Sum(frame.Fleet, w.Capacity)
	}
	document := h.s.document()
	if document == nil {
		return frame
	}
	for name, granted := range document.Teams {
		team := h.team(name)
		team.Weight = granted.Share
		team.Quota = roster.Resources{
			Millicores:   granted.Quota.Millicores,
			MemoryBytes:  granted.Quota.MemoryBytes,
			Accelerators: granted.Quota.Accelerators,
		}
	}
	return frame
}

func (h *holder) ageBatch() time.Duration {
	if document := h.s.document(); document != nil && document.Jobs.AgeBatch > 0 {
		return time.Duration(document.Jobs.AgeBatch)
	}
	return defaultAgeBatch
}

// placeNext places the next tasks of a job and returns how many. The lock must
// be held.
func (h *holder) placeNext(walk *queue.Pass, it queue.Item, j *job, now time.Time) int {
	if j.pending == 0 || j.ends != "" || now.Before(j.retryAt) {
		return 0
	}
	if j.inherited && !h.settled {
		h.explain(j, "waits until all workers have listed their tasks")
		return 0
	}
	if j.triedAt == h.tryNumber() {
		return 0
	}
	n := min(j.pending, chunk)
	if it.MinTasks > 1 {
		n = j.pending
	}
	allowed := walk.TasksWithinQuota(it, n)
	if allowed == 0 || (it.MinTasks > 1 && allowed < n) {
		h.explain(j, fmt.Sprintf("over the quota of team %q: %d of %d tasks allowed", it.Team, allowed, n))
		return 0
	}
	demand := h.demandOf(j, it, allowed, now)
	decision := place.Choose(&h.ledger, demand)
	if len(decision.Workers) == 0 {
		h.noRoom(j, demand, decision, now)
		return 0
	}
	h.reserve(j, it, decision.Workers)
	return len(decision.Workers)
}

// noRoom notes that no worker has room for a job, and makes some where the job's
// kind allows. The lock must be held.
func (h *holder) noRoom(j *job, d place.Demand, decision place.Decision, now time.Time) {
	if decision.Exclusions[place.Avoided] > 0 {
		// Better a worker where the job failed than none.
		clear(j.failedOn)
		return
	}
	h.explain(j, fmt.Sprintf("%d tasks wait for room; %d workers ruled out: %s", j.pending, decision.Considered, decision.Exclusions))
	switch {
	case j.row.Spec.Urgent.Value:
		h.displaceFor(j, d, now)
		// It is tried again in each pass: a displacement may have fallen short.
		return
	case j.row.Spec.Kind == caller.JobSpecKindGang:
		h.reserveFor(j, d, now)
	case now.Sub(j.row.AcceptedAt) > h.ageBatch():
		// Smaller jobs would take all room that falls free before it.
		d.Count = 1
		h.reserveFor(j, d, now)
	}
	j.triedAt = h.tryNumber()
}

// tryNumber changes whenever a job that found no room may find some. The lock
// must be held.
func (h *holder) tryNumber() uint64 { return h.ledger.CapacityVersion() + h.generation + 1 }

// reserve charges pending tasks to workers and hands them to the links. The lock
// must be held.
func (h *holder) reserve(j *job, it queue.Item, workers []string) {
	for n, index := range j.pendingTasks(len(workers)) {
		name := workers[n]
		j.set(index, starting)
		j.tasks[index].worker, j.tasks[index].size = name, it.PerTask
		h.charge(name, ledger.Charge{Task: j.key(index), Team: it.Team, Amount: it.PerTask, State: ledger.Reserved})
		l := h.links[name]
		if l.health.quarantined {
			l.health.probing = true
			h.refresh(l, h.now())
		}
		l.starts = append(l.starts, j.key(index))
		signal(l.wake)
	}
	h.trace(j.row.ID, "place", "placed", fmt.Sprintf("%d tasks on %v", len(workers), workers))
	j.explained = ""
	j.placedAt = h.now()
}

// explain keeps why a job waits, and traces it when it changed. The lock must be held.
func (h *holder) explain(j *job, why string) {
	if j.explained == why {
		return
	}
	j.explained = why
	h.trace(j.row.ID, "place", "waits", why)
}

// policy is how the tasks of the job are laid out.
func (j *job) policy() place.Strategy {
	switch j.row.Spec.Kind {
	case caller.JobSpecKindService:
		return place.Spread{Placed: j.placed()}
	case caller.JobSpecKindGang:
		return place.AllOrNothing{}
	default:
		return place.Packed{}
	}
}
