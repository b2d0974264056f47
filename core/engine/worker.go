package engine

import (
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

const (
	// freshFor is how long ago a worker may have answered for it to get new work: a
	// look waits a second at most, so half as long again is a missed one.
	freshFor = 1600 * time.Millisecond
	// ticketMargin is how long a ticket must still hold for a start: the way to a
	// worker in another region and a repeated packet.
	ticketMargin = 150 * time.Millisecond
	// stopRepeat is the time between two stops of one run that were not confirmed.
	stopRepeat = 700 * time.Millisecond
	// ghostTime is how long an order to an earlier life of a worker may still
	// arrive at a later one: the platform carries orders out up to 12 s late.
	ghostTime = 15 * time.Second
	// fencesPerEpoch is how often a fence can rise in an epoch: each 150 ms for a
	// day and a half.
	fencesPerEpoch = 1 << 20
	// forgetAfter is how long a worker without an entry and without runs is kept.
	forgetAfter = 20 * time.Second
)

// worker is a worker and all that may run on it.
type worker struct {
	Worker
	listed     bool
	unlistedAt time.Time
	// synced says that this life was looked at in this epoch.
	synced bool
	// raises counts how often the fence was raised in this epoch.
	raises int64
	clock  clock
	// leased is the latest reading of its clock to which a lease was given.
	leased time.Duration
	// lastSeen is when it last answered a look.
	lastSeen time.Time
	runs     map[runKey]*run
	used     roster.Resources
	// reserved is the room that is kept for steps, and expected the processors that
	// questions to the adviser which are out may lead to the use of.
	reserved roster.Resources
	expected int64
	// openIn is the last pass in which the worker could get work.
	openIn int64
	// stopping is how many runs were told to stop, evictable what could be stopped for
	// others.
	stopping  int
	evictable evictableRoom
	// seen is the last end that was taken in, confirmable the last one whose
	// progress is committed.
	seen        int64
	confirmable int64
	marks       []ackMark
	health      health
	pace        pace
	// unsized counts runs of which it is not known what they take.
	unsized int
}

func (w *worker) target() Destination {
	return Destination{Worker: w.ID, Address: w.Address, Zone: w.Zone}
}

// fence returns the number that orders to the worker carry. It rises with each
// leader, and each time that this leader loses the worker or finds it started
// anew: an order from before that arrives late is dropped once the worker was
// looked at again.
func (e *Engine) fence(w *worker) int64 { return e.opts.Epoch*fencesPerEpoch + w.raises }

func (w *worker) raiseFence() { w.raises = min(w.raises+1, fencesPerEpoch-1) }

func (w *worker) free() roster.Resources { return ledger.Difference(w.Capacity, w.used) }

// likelyFree returns the room that is left once the questions that are out are answered.
func (w *worker) likelyFree() roster.Resources {
	free := ledger.Difference(w.free(), w.reserved)
	free.Millicores = max(0, free.Millicores-w.expected)
	return free
}

// freeFor returns the room that a step may take: what is kept for others is not free.
func (w *worker) freeFor(s *step) roster.Resources {
	free := ledger.Difference(w.free(), w.reserved)
	if s.reserved != nil {
		free = ledger.Sum(free, ledger.Scale(s.room(), s.reserved.tasks[w]))
	}
	return free
}

// usable reports whether new work may go to the worker.
func (w *worker) usable(now time.Time) bool {
	return w.synced && w.listed && !w.Leaving && w.unsized == 0 && now.Sub(w.lastSeen) < freshFor
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

func (w *worker) add(r *run) {
	w.runs[r.runKey] = r
	w.used = ledger.Sum(w.used, r.each)
	if r.unsized {
		w.unsized++
	}
}

// size takes in what a run takes of which that was not known.
func (w *worker) size(r *run, each roster.Resources) {
	if !r.unsized {
		return
	}
	r.unsized, r.each = false, each
	w.unsized--
	w.used = ledger.Sum(w.used, each)
}

func (w *worker) remove(r *run) {
	if w.runs[r.runKey] != r {
		return
	}
	delete(w.runs, r.runKey)
	if r.phase == stopping {
		w.stopping--
	}
	w.used = ledger.Difference(w.used, r.each)
	if r.unsized {
		w.unsized--
	}
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.runKey, b.runKey) })
	return list
}

func (e *Engine) workersListed(now time.Time, ev WorkersListed) {
	listed := make(map[string]bool, len(ev.Workers))
	for _, w := range ev.Workers {
		listed[w.ID] = true
		e.workerListed(now, w)
	}
	for _, w := range slices.Clone(e.order) {
		if !listed[w.ID] {
			e.workerUnlisted(now, w.ID)
		}
	}
}

func (e *Engine) workerListed(now time.Time, entry Worker) {
	w, known := e.workers[entry.ID]
	if !known {
		w = &worker{Worker: entry, listed: true, runs: make(map[runKey]*run)}
		e.workers[entry.ID] = w
		e.order = append(e.order, w)
		slices.SortFunc(e.order, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		e.log("worker listed", "worker", entry.ID, "address", entry.Address, "rack", entry.Rack, "leaving", entry.Leaving)
		return
	}
	if entry.StartedAt.Before(w.StartedAt) {
		return
	}
	if entry.StartedAt.After(w.StartedAt) {
		e.reborn(now, w, entry.StartedAt)
	}
	if entry.Leaving != w.Leaving || !w.listed {
		e.log("worker entry changed", "worker", entry.ID, "leaving", entry.Leaving, "leaves-in", entry.LeavesIn, "was-listed", w.listed)
	}
	w.Worker = entry
	w.listed = true
}

func (e *Engine) workerUnlisted(now time.Time, id string) {
	w := e.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, now
	e.log("worker unlisted", "worker", id, "runs", len(w.runs), "last-seen", now.Sub(w.lastSeen))
}

// reborn takes in that a worker has started anew. Runs that its earlier life has listed
// are gone. Others may be at the new life, which may have accepted them, or reach it
// until it was looked at under a higher fence, so they count until then.
func (e *Engine) reborn(now time.Time, w *worker, born time.Time) {
	e.log("worker started anew", "worker", w.ID, "runs", len(w.runs), "born", born)
	delete(e.former, w.ID)
	w.StartedAt = born
	w.synced = false
	w.raiseFence()
	w.clock = clock{}
	w.leased = 0
	w.seen, w.confirmable, w.marks = 0, 0, nil
	for _, r := range w.sortedRuns() {
		if r.listed && !r.repeated {
			e.presume(now, r, jobs.EndExpired, "the worker started anew")
			continue
		}
		r.listed = false
		r.ghost, r.since = true, now
	}
}

// looked takes in a worker's report.
func (e *Engine) looked(now time.Time, ev WorkerPolled) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	if ev.Report.StartedAt.Before(w.StartedAt) {
		return
	}
	if ev.Report.StartedAt.After(w.StartedAt) {
		// This look did not carry the fence of the new life; the next one does.
		e.reborn(now, w, ev.Report.StartedAt)
		return
	}
	w.clock.observe(now, ev.Report.Clock)
	// An idle worker holds a look back, and then tells how it is when it answers.
	w.lastSeen = now
	e.logEnds(w, ev.Report.Results)
	for _, end := range ev.Report.Results {
		e.ended(now, w, end)
	}
	listed := make(map[runKey]bool, len(ev.Report.Running))
	for _, row := range ev.Report.Running {
		listed[runKey{row.Task, row.Run}] = true
		e.running(now, w, row)
	}
	if len(ev.Report.Results) < MaxResults {
		e.missing(now, w, ev.Sent, listed)
	}
	w.advanceMarks()
	if !w.synced {
		w.synced = true
		w.leased = max(w.leased, ev.Report.Clock+e.opts.MaxLease)
		delete(e.former, w.ID)
		e.log("worker looked at", "worker", w.ID, "running", len(ev.Report.Running), "ended", len(ev.Report.Results), "former-left", len(e.former))
	}
}

func (e *Engine) lookFailed(now time.Time, ev PollFailed) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	if ev.Superseded {
		if ev.Fence == e.fence(w) {
			e.supersede("look", ev.Worker)
		}
		return
	}
	w.raiseFence()
	if w.listed || len(w.runs) > 0 {
		return
	}
	if now.Sub(w.unlistedAt) > forgetAfter {
		delete(e.workers, ev.Worker)
		e.order = slices.DeleteFunc(e.order, func(other *worker) bool { return other == w })
		e.log("worker forgotten", "worker", ev.Worker)
	}
}

func (e *Engine) supersede(by, worker string) {
	if !e.superseded {
		e.log("a later leader is in place", "seen-by", by, "worker", worker, "epoch", e.opts.Epoch)
	}
	e.superseded = true
}

// WorkersByZone returns how many workers to look at there are in each failure domain.
func (e *Engine) WorkersByZone() map[string]int {
	counts := make(map[string]int)
	for _, w := range e.order {
		counts[w.Zone]++
	}
	return counts
}

// Workers returns the IDs of all workers to look at.
func (e *Engine) Workers() []string {
	ids := make([]string, 0, len(e.workers))
	for _, w := range e.order {
		ids = append(ids, w.ID)
	}
	return ids
}
