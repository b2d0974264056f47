package engine

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

const (
	// maxReportAge is the maximum age of a worker's last report for the worker to get new work. A
	// poll waits at most a second, so after half as long again a poll was missed.
	maxReportAge = 1600 * time.Millisecond
	// ticketMargin is the minimum time that a ticket must remain valid for a start. It covers the
	// path to a worker in another region and a retransmitted packet.
	ticketMargin = 150 * time.Millisecond
	// stopRetryInterval is the time between two stop commands for a run.
	stopRetryInterval = 700 * time.Millisecond
	// maxCommandDelay is the time for which a command to an earlier incarnation of a worker may
	// still reach a later one. The platform delivers commands up to 12 s late.
	maxCommandDelay = 15 * time.Second
	// fencesPerEpoch is the number of fencing tokens in an epoch: enough for one every 150 ms for
	// a day and a half.
	fencesPerEpoch = 1 << 20
	// entryLag is the time after which an entry that names another incarnation counts as that of
	// the present one. The entry of an earlier one is gone after three missed heartbeats of 1.5 s,
	// up to 3 s late.
	entryLag = 10 * time.Second
	// forgetAfter is the time for which a worker without directory entry and runs is kept.
	forgetAfter = 20 * time.Second
)

// worker is a worker with everything that may run on it.
type worker struct {
	Worker
	// number identifies the worker in a workerSet. No two workers of an engine have the same one.
	number     int
	listed     bool
	unlistedAt time.Time
	// entryStartedAt is the incarnation that the last directory entry names. StartedAt is the one
	// that has answered last, and incarnationSince when it did so first.
	entryStartedAt   time.Time
	incarnationSince time.Time
	// entryUntil is the time until which runs may start by the entry. entryDoubtedSince is the time from
	// which an entry that names another incarnation should have been replaced.
	entryUntil, entryDoubtedSince time.Time
	// synced is set once this incarnation was polled in this epoch with the current fencing token.
	synced bool
	// resultsKnown is set once a report of this incarnation in this epoch listed all results that
	// are not acknowledged. Until then a run that is not listed may have ended.
	resultsKnown bool
	// fenceRaises counts how often the fencing token was raised in this epoch.
	fenceRaises int64
	clock       clock
	// leasedUntil is the latest lease deadline granted, as a reading of the worker's clock.
	leasedUntil time.Duration
	// lastSeen is the time of the last answer to a poll.
	lastSeen time.Time
	runs     map[runKey]*run
	used     roster.Resources
	// reserved is the capacity reserved for steps. expectedMillicores is the processor capacity
	// that tasks may occupy after the outstanding advice requests are answered.
	reserved           roster.Resources
	expectedMillicores int64
	// openInPass is the number of the last pass in which the worker could get work.
	openInPass int64
	// stopping counts the runs that were commanded to stop. evictable caches what could be
	// stopped in favor of others.
	stopping  int
	evictable evictableCapacity
	// lastSequence is the highest sequence number of a result handled, ackedUpTo that of the last
	// one up to which all results are handled and all progress is committed. pendingAcks holds the
	// results handled beyond it, in sequence.
	lastSequence int64
	ackedUpTo    int64
	pendingAcks  []pendingAck
	// recheck is set if the last report lacked runs that the next one decides about.
	recheck bool
	// mayHaveRestarted is set from a failed poll, or an entry of a later incarnation, until the next
	// report of the known incarnation.
	mayHaveRestarted bool
	// presumedCrashes holds the runs that were lost with the present incarnation and count as crashes.
	presumedCrashes []runKey
	// keptFor is the isolated task that the worker runs or is kept for, or nil.
	keptFor  *task
	health   health
	slowdown slowdown
	// grade is the worker's reliability if it is graded, and restriction what follows from it, as of the
	// last pass.
	grade       grade
	restriction gradeStage
	// unknownDemandRuns counts the runs whose demand is not known.
	unknownDemandRuns int
}

// workerSet is a set of workers, as a bit for the number of each. Steps keep sets of workers for as
// long as their job, and passes look each worker up for each step.
type workerSet []uint64

func (s workerSet) has(w *worker) bool { return s.hasNumber(w.number) }

func (s workerSet) hasNumber(n int) bool { return n/64 < len(s) && s[n/64]>>(n%64)&1 != 0 }

func (s workerSet) count() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

func (s *workerSet) add(w *worker) {
	if missing := w.number/64 + 1 - len(*s); missing > 0 {
		*s = append(*s, make([]uint64, missing)...)
	}
	(*s)[w.number/64] |= 1 << (w.number % 64)
}

func (w *worker) destination() Destination {
	return Destination{Worker: w.ID, Address: w.Address, Zone: w.Zone}
}

// fence returns the fencing token that commands to the worker carry. It rises with each leader,
// and each time this leader loses contact with the worker or finds it restarted, so that an older
// command that arrives late is dropped once the worker was polled again.
func (e *Engine) fence(w *worker) int64 { return e.opts.Epoch*fencesPerEpoch + w.fenceRaises }

func (w *worker) raiseFence() { w.fenceRaises = min(w.fenceRaises+1, fencesPerEpoch-1) }

func (w *worker) free() roster.Resources { return ledger.Difference(w.Capacity, w.used) }

// expectedFree returns the free capacity that is left once the outstanding advice requests are
// answered. What they are expected to use cannot make it negative, but more may be in use than there is.
func (w *worker) expectedFree() roster.Resources {
	free := ledger.Difference(w.free(), w.reserved)
	free.Millicores = max(min(0, free.Millicores), free.Millicores-w.expectedMillicores)
	return free
}

// freeFor returns the free capacity that a step may use, excluding what is reserved for other
// steps.
func (w *worker) freeFor(s *step) roster.Resources {
	free := ledger.Difference(w.free(), w.reserved)
	if s.reservation != nil {
		free = ledger.Sum(free, ledger.Scale(s.demand(), s.reservation.tasks[w]))
	}
	return free
}

// usable reports whether the worker can get new work.
func (w *worker) usable(now time.Time) bool {
	return w.resultsKnown && w.listed && !w.Leaving && w.describedByEntry(now) && w.unknownDemandRuns == 0 && now.Sub(w.lastSeen) < maxReportAge
}

// describedByEntry reports whether the directory entry describes the incarnation that answers: another
// one may have other labels and capacity. An entry without start time describes any.
func (w *worker) describedByEntry(now time.Time) bool {
	return w.entryStartedAt.Equal(w.StartedAt) || w.entryStartedAt.UnixMilli() <= 0 || now.Sub(w.entryDoubtedSince) > entryLag
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

func (w *worker) add(r *run) {
	w.runs[r.runKey] = r
	w.used = ledger.Sum(w.used, r.demand)
	if r.demandUnknown {
		w.unknownDemandRuns++
	}
}

// setDemand sets the demand of a run for which it was not known.
func (w *worker) setDemand(r *run, demand roster.Resources) {
	if !r.demandUnknown {
		return
	}
	r.demandUnknown, r.demand = false, demand
	w.unknownDemandRuns--
	w.used = ledger.Sum(w.used, demand)
}

func (w *worker) remove(r *run) {
	if w.runs[r.runKey] != r {
		return
	}
	delete(w.runs, r.runKey)
	if r.phase == stopping {
		w.stopping--
	}
	w.used = ledger.Difference(w.used, r.demand)
	if r.demandUnknown {
		w.unknownDemandRuns--
	}
}

// sortedRuns returns the runs in a deterministic order.
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
	for _, w := range slices.Clone(e.sortedWorkers) {
		if !listed[w.ID] {
			e.workerUnlisted(now, w.ID)
		}
	}
}

func (e *Engine) workerListed(now time.Time, entry Worker) {
	w, known := e.workers[entry.ID]
	if !known {
		w = &worker{Worker: entry, number: e.nextWorkerNumber, listed: true, entryStartedAt: entry.StartedAt, runs: make(map[runKey]*run)}
		e.nextWorkerNumber++
		e.workers[entry.ID] = w
		e.sortedWorkers = append(e.sortedWorkers, w)
		slices.SortFunc(e.sortedWorkers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		e.log("worker listed", "worker", entry.ID, "address", entry.Address, "rack", entry.Rack, "leaving", entry.Leaving)
		return
	}
	if entry.Leaving != w.Leaving || entry.Capacity != w.Capacity || !w.listed {
		e.log("worker entry changed", "worker", entry.ID, "capacity", entry.Capacity, "capacity-before", w.Capacity, "leaving", entry.Leaving, "leaves-in", entry.LeavesIn, "was-listed", w.listed,
			"born", w.StartedAt, "entry-born", entry.StartedAt)
	}
	w.listed = true
	if entry.StartedAt.Before(w.StartedAt) {
		// The entry of an earlier incarnation, or one that names the wrong incarnation.
		w.entryStartedAt = entry.StartedAt
		w.Leaving = w.Leaving || entry.Leaving
		return
	}
	if entry.StartedAt.After(w.StartedAt) && !entry.StartedAt.Equal(w.entryStartedAt) {
		e.restartAnnounced(now, w, entry.StartedAt)
	}
	w.entryStartedAt = entry.StartedAt
	entry.StartedAt = w.StartedAt
	if e.opts.unsafe.keepCapacity {
		entry.Capacity = w.Capacity
	}
	w.Worker = entry
}

// restartAnnounced handles a directory entry that names a later incarnation. The entry proves
// nothing about runs, since the directory has entries of other writers too. The next poll shows
// which incarnation answers. Commands that are underway can no longer take effect once it is
// answered; those to the earlier incarnation may until then.
func (e *Engine) restartAnnounced(now time.Time, w *worker, startedAt time.Time) {
	e.log("worker entry names a later incarnation", "worker", w.ID, "runs", len(w.runs), "born", w.StartedAt, "entry-born", startedAt,
		"last-seen", now.Sub(w.lastSeen))
	w.synced, w.resultsKnown, w.mayHaveRestarted = false, false, true
	w.raiseFence()
	for _, r := range w.sortedRuns() {
		if !r.listed || r.repeated {
			r.markSentBeforeRestart(now)
		}
	}
}

func (e *Engine) workerUnlisted(now time.Time, id string) {
	w := e.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, now
	e.log("worker unlisted", "worker", id, "runs", len(w.runs), "last-seen", now.Sub(w.lastSeen))
}

// workerRestarted handles a report of another incarnation. Runs that the earlier incarnation has
// listed are gone. The new incarnation may have accepted others, or may accept them until it is
// polled with a higher fencing token, so they are counted until then. The same holds for unknown
// runs of previous leaders.
func (e *Engine) workerRestarted(now time.Time, w *worker, startedAt time.Time) {
	if e.health == HealthGraded && !w.StartedAt.IsZero() && !w.lastSeen.IsZero() {
		w.grade.restarted(now)
	}
	e.log("worker restarted", "worker", w.ID, "runs", len(w.runs), "born", startedAt, "born-before", w.StartedAt, "entry-born", w.entryStartedAt)
	w.StartedAt, w.incarnationSince, w.entryDoubtedSince = startedAt, now, now
	w.synced, w.resultsKnown = false, false
	w.raiseFence()
	if now.Before(e.opts.PreviousActiveUntil) {
		// It knows no fencing token, so the previous leader can start runs there again.
		e.previousWorkers[w.ID] = nil
	}
	w.clock = clock{}
	w.leasedUntil = 0
	w.lastSequence, w.ackedUpTo, w.pendingAcks = 0, 0, nil
	w.presumedCrashes = nil
	for _, r := range w.sortedRuns() {
		r.suspectCrash(provedCrash)
		if r.listed && !r.repeated {
			e.presumeEnded(now, r, jobs.EndExpired, "the worker restarted")
			continue
		}
		r.markSentBeforeRestart(now)
	}
}

// workerPolled handles a worker's report.
func (e *Engine) workerPolled(now time.Time, ev WorkerPolled) {
	w := e.workers[ev.Worker]
	if w == nil || !ev.Report.plausible() {
		return
	}
	if !ev.Report.StartedAt.Equal(w.StartedAt) {
		// An earlier time in the answer to a later poll means that the worker's clock was set back.
		if ev.Report.StartedAt.After(w.StartedAt) || ev.Sent.After(w.incarnationSince) {
			// This poll did not carry the fencing token of the new incarnation; the next one does.
			e.workerRestarted(now, w, ev.Report.StartedAt)
		}
		return
	}
	w.clock.observe(now, ev.Report.Clock)
	e.entryPolled(now, w, ev)
	e.withdrawPresumedCrashes(w)
	// An idle worker delays its answer to a poll and reports its state at the time of the answer,
	// so the age of the report is counted from its arrival.
	w.lastSeen = now
	w.grade.back(now)
	w.mayHaveRestarted, w.recheck = false, false
	e.logResults(w, ev.Report.Results)
	for _, result := range ev.Report.Results {
		e.resultReported(now, w, result)
	}
	w.settleGaps(ev.Sent)
	listed := make(map[runKey]bool, len(ev.Report.Running))
	for _, active := range ev.Report.Running {
		listed[runKey{active.Task, active.Run}] = true
		e.runReported(now, w, active)
	}
	unclear := make(map[jobs.TaskID]bool, len(ev.Report.Unclear))
	for _, task := range ev.Report.Unclear {
		unclear[task] = true
	}
	allListed := len(ev.Report.Results)+ev.Report.Skipped < MaxResults
	if allListed {
		e.checkMissingRuns(now, w, ev.Sent, listed, unclear)
	}
	w.advanceAcks()
	if !w.synced {
		// Commands with lower tokens may have granted a lease by the clock of an earlier
		// incarnation, so the worker may hold the longest one that it accepts.
		w.leasedUntil = max(w.leasedUntil, ev.Report.Clock+e.opts.MaxLease)
	}
	// A report to a poll with a lower token proves nothing about commands that are still underway.
	if !w.synced && ev.Fence == e.fence(w) {
		w.synced = true
		e.log("worker synchronized by its first poll", "worker", w.ID, "running", len(ev.Report.Running), "ended", len(ev.Report.Results), "all-ends-listed", allListed, "former-left", len(e.previousWorkers))
	}
	if w.synced && !w.resultsKnown && allListed && len(unclear) == 0 {
		w.resultsKnown = true
		delete(e.previousWorkers, w.ID)
	}
}

func (e *Engine) pollFailed(now time.Time, ev PollFailed) {
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
	w.mayHaveRestarted = true
	if w.listed || len(w.runs) > 0 {
		return
	}
	if now.Sub(w.unlistedAt) > forgetAfter {
		delete(e.workers, ev.Worker)
		e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(other *worker) bool { return other == w })
		e.log("worker forgotten", "worker", ev.Worker)
	}
}

func (e *Engine) supersede(by, worker string) {
	if !e.superseded {
		e.log("worker follows a later leader", "seen-by", by, "worker", worker, "epoch", e.opts.Epoch)
	}
	e.superseded = true
}

// WorkersByZone returns the number of workers to poll in each failure domain.
func (e *Engine) WorkersByZone() map[string]int {
	counts := make(map[string]int)
	for _, w := range e.sortedWorkers {
		counts[w.Zone]++
	}
	return counts
}

// Workers returns the IDs of all workers to poll.
func (e *Engine) Workers() []string {
	ids := make([]string, 0, len(e.workers))
	for _, w := range e.sortedWorkers {
		ids = append(ids, w.ID)
	}
	return ids
}
