package engine

import (
	"sort"
	"time"

	"tanagerstack.org/core/jobs"
)

// Options configure an Engine. Epoch and MaxLease are needed.
type Options struct {
	// Epoch is the number of this leadership; workers drop orders of lower ones.
	Epoch int64
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest that a worker takes to stop a run.
	StopTime time.Duration
	// HeardUntil is until when the leader before may still hear of new jobs and
	// start them; zero if that leader is proved to be gone. Jobs that come before a
	// JobsRead of a later instant may have been started by it.
	PreviousActiveUntil time.Time
	// Former is what the last leader has put on record.
	PreviousRoster Roster
	// FormerUntil is when the leases there have lapsed at the latest.
	PreviousLeasesUntil time.Time
	// Policy turns decisions off, to show what they are worth.
	Policy Policy
	// Logger is told each decision; it may be nil.
	Logger Logger

	unsafe unsafeOptions
}

// Policy turns decisions of the engine off. The zero value is what the product runs.
type Policy struct {
	// ArrivalOrder serves jobs in the order of their arrival.
	ArrivalOrder bool
	// DeadlineOrder goes by deadline alone among jobs of a queue, whatever chance they have.
	DeadlineOrder bool
	// NoHeldRoom lets no worker run empty for gangs that wait for room.
	NoDedicatedWorkers bool
	// NoPreemption stops no work for gangs.
	NoPreemption bool
	// OneQuestion asks about a step by one question after another.
	SingleAdviceRequest bool
}

// unsafeOptions turn protections off, so that tests can show that they notice.
type unsafeOptions struct {
	skipFormer, skipOverlap, confirmEarly, forgetUnanswered, forgetLost, forgetFailures, forgetOrphans bool
}

// Logger writes structured lines: a message, then keys and values in turn.
type Logger interface {
	Info(message string, keysAndValues ...any)
}

// Engine is the scheduler of a cell for one epoch. It is not safe for
// concurrent use.
type Engine struct {
	opts    Options
	config  *jobs.Config
	workers map[string]*worker
	// order has the workers by ID.
	order []*worker
	jobs  map[jobs.ID]*job
	// active are the jobs that are not final, in the order of their arrival.
	active []*job
	// former are the workers where runs of earlier leaders may be, with the jobs
	// that these may be of, or nil for any.
	former map[string][]jobs.ID
	// orphans are ends, and strays runs, of jobs that were not heard of.
	orphans map[jobs.ID][]*orphan
	strays  map[jobs.ID][]stray
	stats   map[string]*queueStats
	helpers []*helper
	// reserving are the steps for which room is kept.
	reserving []*step
	// roster is what is on record.
	roster Roster
	dirty  map[jobs.ID]*job
	// heardAll says that no job is left which the leader before may have heard of first.
	heardAll   bool
	commands   []Command
	superseded bool
	// passes counts the passes over the steps.
	passes    int64
	rescuedAt time.Time
	counters  Counters
}

// Counters counts decisions. All counts only grow.
type Counters struct {
	Starts, Stops, AdviceRequests, Records       int64
	EndsDone, EndsFailed, EndsExpired, EndsOther int64
	NoCapacity, NoTicket, Unknown                int64
}

// New returns an engine that knows no jobs and no workers.
func New(opts Options) *Engine {
	e := &Engine{
		opts:    opts,
		workers: make(map[string]*worker),
		jobs:    make(map[jobs.ID]*job),
		former:  make(map[string][]jobs.ID),
		orphans: make(map[jobs.ID][]*orphan),
		strays:  make(map[jobs.ID][]stray),
		stats:   make(map[string]*queueStats),
		roster:  opts.PreviousRoster,
		dirty:   make(map[jobs.ID]*job),
	}
	for _, id := range opts.PreviousRoster.Workers {
		e.former[id] = opts.PreviousRoster.Lost[id]
	}
	return e
}

// Apply takes an event and returns what is to be done. It does not place
// anything: Schedule does, so that events that come together share one pass.
func (e *Engine) Apply(now time.Time, event Event) []Command {
	switch ev := event.(type) {
	case ConfigChanged:
		e.configChanged(ev)
	case WorkersListed:
		e.workersListed(now, ev)
	case WorkerListed:
		e.workerListed(now, ev.Worker)
	case WorkerUnlisted:
		e.workerUnlisted(now, ev.ID)
	case AdviceProxiesChanged:
		e.helpersChanged(now, ev.Names)
	case JobAccepted:
		e.jobAccepted(now, ev)
	case JobsRead:
		e.heardAll = e.heardAll || ev.Before.After(e.opts.PreviousActiveUntil)
	case JobCanceled:
		e.jobCanceled(now, ev.ID)
	case WorkerPolled:
		e.looked(now, ev)
	case PollFailed:
		e.lookFailed(now, ev)
	case StartAnswered:
		e.startAnswered(now, ev)
	case StopAnswered:
		e.stopAnswered(now, ev)
	case AdviceAnswered:
		e.adviceAnswered(now, ev)
	case Recorded:
		e.recorded(ev)
	case Tick:
		e.tick(now)
	}
	return e.take()
}

// Schedule places what can be placed and asks for advice. It does nothing once
// a later leader is known.
func (e *Engine) Schedule(now time.Time) []Command {
	if !e.superseded {
		e.schedule(now)
	}
	return e.take()
}

// Superseded reports whether a worker has obeyed a later leader.
func (e *Engine) Superseded() bool { return e.superseded }

// Counters returns the counts so far.
func (e *Engine) Counters() Counters { return e.counters }

// take returns the commands so far, with a record for each job that changed.
func (e *Engine) take() []Command {
	ids := make([]jobs.ID, 0, len(e.dirty))
	for id := range e.dirty {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		e.counters.Records++
		e.emit(e.dirty[id].record())
		delete(e.dirty, id)
	}
	commands := e.commands
	e.commands = nil
	return commands
}

func (e *Engine) emit(c Command) { e.commands = append(e.commands, c) }

func (e *Engine) log(message string, keysAndValues ...any) {
	if e.opts.Logger != nil {
		e.opts.Logger.Info(message, keysAndValues...)
	}
}

// configChanged keeps the newest configuration.
func (e *Engine) configChanged(ev ConfigChanged) {
	if e.config != nil && ev.Config.Version <= e.config.Version {
		return
	}
	e.config = ev.Config
}

// tick notices what only time brings: lapsed leases and stops to repeat.
func (e *Engine) tick(now time.Time) {
	for _, w := range e.order {
		e.checkLapse(now, w)
		e.repeatStops(now, w)
	}
	e.expireOrphans(now)
	e.expireStrays(now)
	if !e.superseded && now.Sub(e.rescuedAt) >= rescueEvery {
		e.rescuedAt = now
		e.rescue(now)
	}
	if len(e.former) > 0 && now.After(e.opts.PreviousLeasesUntil) {
		for id, ids := range e.former {
			e.log("lease of an earlier leader has lapsed", "worker", id, "any-job", ids == nil, "jobs", len(ids))
		}
		clear(e.former)
	}
}
