package sched

import (
	"context"
	"sync"
	"time"

	"tanagerstack.org/core/lease"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/place"
	"tanagerstack.org/core/queue"
	"tanagerstack.org/core/trace"
)

// holder is the state of a failure domain's scheduler while this VM holds the
// lease in one epoch.
type holder struct {
	s     *Scheduler
	grant lease.Grant
	// startedAt is when this VM took over.
	startedAt time.Time
	// loops counts the running controllers.
	loops sync.WaitGroup
	// wake asks for a pass over the queue, write for a round of the recorder.
	wake  chan struct{}
	write chan struct{}

	mu     sync.Mutex
	jobs   map[string]*job
	ledger ledger.Ledger
	queue  queue.Queue
	teams  map[string]*queue.Team
	links  map[string]*link
	fleet  fleet
	// loaded: the rows were read. settled: every worker that may have tasks of
	// older jobs was listed or waited out.
	loaded  bool
	settled bool
	// learned corrects declarations; reserved is the gang job's reservation.
	learned  map[workload]correction
	reserved *place.Reservation
	// generation grows when waiting jobs may find room for another reason than
	// that some fell free.
	generation uint64
	// formers counts earlier holders that may still renew tasks; renewedUntil is
	// the latest deadline that those whose end was proved may have given.
	formers      int
	renewedUntil time.Time
	dirty        map[string]*job
	// wrote is closed and replaced after each successful write of the recorder.
	wrote chan struct{}
}

func newHolder(s *Scheduler, grant lease.Grant) *holder {
	return &holder{
		s:         s,
		grant:     grant,
		startedAt: s.opts.Now(),
		formers:   len(grant.PreviousHolders),
		wake:      make(chan struct{}, 1),
		write:     make(chan struct{}, 1),
		jobs:      make(map[string]*job),
		teams:     make(map[string]*queue.Team),
		links:     make(map[string]*link),
		learned:   make(map[workload]correction),
		dirty:     make(map[string]*job),
		wrote:     make(chan struct{}),
	}
}

// start starts the controllers. The function that it returns ends them.
func (h *holder) start(ctx context.Context, cancel context.CancelFunc) func() {
	h.loops.Add(3)
	go (&loader{h: h}).run(ctx)
	go (&extender{h: h}).run(ctx)
	go (&confirmer{h: h}).run(ctx)
	return func() {
		cancel()
		h.loops.Wait()
	}
}

// valid reports whether this holder's grant is still in force at now.
func (h *holder) valid(now time.Time) bool {
	grant, holds := h.s.lease.Current(now)
	return holds && grant.Epoch == h.grant.Epoch
}

func (h *holder) now() time.Time { return h.s.opts.Now() }

func (h *holder) skew() time.Duration { return h.s.opts.ClockSkew }

// signal puts a signal into a channel with room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (h *holder) trace(id, step, verdict, detail string) {
	h.s.opts.Trace.Add(id, trace.Decision{At: h.now(), Step: step, Verdict: verdict, Detail: detail})
}

// markDirty asks the recorder to write a job. The lock must be held.
func (h *holder) markDirty(j *job) {
	j.dirty = true
	h.dirty[j.row.ID] = j
	signal(h.write)
}

// enqueue brings a job's place in the queue up to date. The lock must be held.
func (h *holder) enqueue(j *job) {
	if j.pending == 0 || j.ending() || j.ends != "" {
		h.queue.Remove(j.row.ID)
		return
	}
	h.queue.Add(h.item(j))
	signal(h.wake)
}

// charge puts a task on a worker's account and on its team's. The lock must be held.
func (h *holder) charge(worker string, c ledger.Charge) {
	if old, ok := h.ledger.Find(worker, c.Task); ok {
		team := h.team(old.Team)
		team.Usage = ledger.Difference(team.Usage, old.Amount)
	}
	h.ledger.Charge(worker, c)
	team := h.team(c.Team)
	team.Usage = ledger.Sum(team.Usage, c.Amount)
}

// release takes a task off a worker's account on proof, and reports whether the
// task is off the worker. The lock must be held.
func (h *holder) release(worker string, t ledger.Task, p ledger.Proof) bool {
	c, ok := h.ledger.Find(worker, t)
	if !ok {
		return true
	}
	if !h.ledger.Release(worker, t, p) {
		return false
	}
	team := h.team(c.Team)
	team.Usage = ledger.Difference(team.Usage, c.Amount)
	signal(h.wake)
	return true
}

// team is the account of a team. The lock must be held.
func (h *holder) team(name string) *queue.Team {
	team := h.teams[name]
	if team == nil {
		team = &queue.Team{}
		h.teams[name] = team
	}
	return team
}
