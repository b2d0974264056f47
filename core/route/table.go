package route

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which a target is
	// ejected.
	failuresToEject = 3
	// initialEjection is the duration of the first ejection; each further one takes
	// twice as long.
	initialEjection = 500 * time.Millisecond
	// maxEjection is the maximum duration of an ejection.
	maxEjection = 30 * time.Second
	// durationWeight and deviationWeight are the weights of a new sample in the
	// exponentially weighted moving averages of the duration and of its deviation.
	durationWeight  = 0.1
	deviationWeight = 0.2
	// expectedDeviations is the number of mean deviations above the mean that
	// ExpectedDuration allows for.
	expectedDeviations = 4
)

// TargetSlots is a target and the number of its slots that this entry VM may use.
type TargetSlots struct {
	Name  string
	Slots int
}

// Query describes the request that a target is picked for.
type Query struct {
	// Avoid lists the targets that must not be picked, because an attempt was already
	// made there.
	Avoid []string
	// AvoidProbation is set for non-idempotent requests. These are not sent to a target
	// on probation until a time as long as its last ejection has passed.
	AvoidProbation bool
}

// Table holds the targets of one service and the slots of them that this entry VM may
// use. The zero value is an empty table.
type Table struct {
	targets map[string]*targetState
	// ready holds the targets with a free slot, least loaded first.
	ready         readyHeap
	ejected       []*targetState
	lostSlots     []lostSlot
	picks         uint64
	slots         int
	busy          int
	meanDuration  time.Duration
	meanDeviation time.Duration
}

// targetState is the state of one target.
type targetState struct {
	name     string
	slots    int
	busy     int
	leaving  bool
	failures int
	// ejections is the number of ejections since the last success.
	ejections int
	// ejectedUntil is the end of the current ejection; zero if there is none.
	ejectedUntil time.Time
	// trustedAt is when a target on probation may get non-idempotent requests again.
	trustedAt time.Time
	// lastPick is the value of Table.picks when the target was last picked.
	lastPick uint64
	// heapIndex is the position in Table.ready, or -1.
	heapIndex int
}

// lostSlot is a slot whose request may still be running.
type lostSlot struct {
	target *targetState
	until  time.Time
}

// Set replaces the targets and their slots. A target that is not listed gets no new
// requests and is removed when its last request has ended.
func (t *Table) Set(targets []TargetSlots) {
	if t.targets == nil {
		t.targets = make(map[string]*targetState)
	}
	listed := make(map[string]int, len(targets))
	for _, s := range targets {
		listed[s.Name] = s.Slots
		if t.targets[s.Name] == nil {
			t.targets[s.Name] = &targetState{name: s.Name, heapIndex: -1}
		}
	}
	t.slots = 0
	for name, e := range t.targets {
		e.slots = listed[name]
		e.leaving = e.leaving && e.slots > 0
		t.slots += e.slots
		t.updateReady(e)
		if e.slots == 0 && e.busy == 0 {
			t.remove(e)
		}
	}
}

// SetLeaving stops new requests to a target until a call of Set does not list it.
func (t *Table) SetLeaving(name string) {
	if e := t.targets[name]; e != nil {
		e.leaving = true
		t.updateReady(e)
	}
}

// Pick takes a slot of the best target and returns the name of the target, or false if
// no target can take the request now. Each slot must be returned by a call of Finish.
func (t *Table) Pick(now time.Time, q Query) (string, bool) {
	t.Advance(now)
	var skipped []*targetState
	var picked *targetState
	for picked == nil && len(t.ready) > 0 {
		e := heap.Pop(&t.ready).(*targetState)
		if e.accepts(now, q) {
			picked = e
		} else {
			skipped = append(skipped, e)
		}
	}
	for _, e := range skipped {
		t.updateReady(e)
	}
	if picked == nil {
		return "", false
	}
	t.picks++
	picked.lastPick = t.picks
	picked.busy++
	t.busy++
	t.updateReady(picked)
	return picked.name, true
}

// Finish returns a slot that Pick took and records the result of the attempt. After
// Lost the slot stays in use until r.Until.
func (t *Table) Finish(now time.Time, name string, r Result) {
	e := t.targets[name]
	switch r := r.(type) {
	case Succeeded:
		e.failures, e.ejections = 0, 0
		t.recordDuration(r.Took)
		t.release(e)
	case Unused:
		t.release(e)
	case NotSent, Rejected, Failed:
		t.recordFailure(now, e)
		t.release(e)
	case Lost:
		t.lostSlots = append(t.lostSlots, lostSlot{target: e, until: r.Until})
		if !r.Inconclusive {
			t.recordFailure(now, e)
		}
	}
}

// Advance frees the slots of lost requests and ends the ejections that are due at now.
// It reports whether there were any.
func (t *Table) Advance(now time.Time) bool {
	changed := false
	t.lostSlots = slices.DeleteFunc(t.lostSlots, func(h lostSlot) bool {
		due := !now.Before(h.until)
		if due {
			changed = true
			t.release(h.target)
		}
		return due
	})
	t.ejected = slices.DeleteFunc(t.ejected, func(e *targetState) bool {
		due := !now.Before(e.ejectedUntil)
		if due {
			changed = true
			e.ejectedUntil = time.Time{}
			t.updateReady(e)
		}
		return due
	})
	return changed
}

// LostUntil returns the instant by which all lost requests have ended; zero if there
// are none.
func (t *Table) LostUntil() time.Time {
	var last time.Time
	for _, h := range t.lostSlots {
		if h.until.After(last) {
			last = h.until
		}
	}
	return last
}

// Slots returns the number of slots that this entry VM may use and the number of
// slots in use.
func (t *Table) Slots() (usable, busy int) { return t.slots, t.busy }

// HasFreeSlot reports whether any target can take a request now.
func (t *Table) HasFreeSlot() bool { return len(t.ready) > 0 }

// CanServe reports whether any target could take the request now or when one of its
// slots becomes free. Targets that are leaving or ejected do not count.
func (t *Table) CanServe(now time.Time, q Query) bool {
	for _, e := range t.targets {
		if e.concurrencyLimit() > 0 && e.accepts(now, q) {
			return true
		}
	}
	return false
}

// MeanDuration returns the moving average of the duration of successful attempts, or 0
// if there were none.
func (t *Table) MeanDuration() time.Duration { return t.meanDuration }

// ExpectedDuration returns an upper estimate of the duration of an attempt, from recent
// successful attempts: the mean plus four mean deviations. It is 0 if there were none.
func (t *Table) ExpectedDuration() time.Duration {
	return t.meanDuration + expectedDeviations*t.meanDeviation
}

// accepts reports whether the target is suitable for the request. It ignores the load.
func (e *targetState) accepts(now time.Time, q Query) bool {
	if q.AvoidProbation && e.onProbation() && now.Before(e.trustedAt) {
		return false
	}
	return !slices.Contains(q.Avoid, e.name)
}

// onProbation reports whether the target was ejected and has not succeeded since.
func (e *targetState) onProbation() bool { return e.ejections > 0 }

// concurrencyLimit returns the number of requests that the target may run at once: 0
// while it is leaving or ejected, at most 1 on probation.
func (e *targetState) concurrencyLimit() int {
	if e.leaving || !e.ejectedUntil.IsZero() {
		return 0
	}
	if e.onProbation() {
		return min(1, e.slots)
	}
	return e.slots
}

// recordDuration adds the duration of a successful attempt to the moving averages.
func (t *Table) recordDuration(took time.Duration) {
	if t.meanDuration == 0 {
		t.meanDuration, t.meanDeviation = took, took/8
		return
	}
	off := took - t.meanDuration
	t.meanDuration += time.Duration(durationWeight * float64(off))
	t.meanDeviation += time.Duration(deviationWeight * float64(off.Abs()-t.meanDeviation))
}

// recordFailure counts a failure and ejects the target after failuresToEject consecutive
// failures, or after the first one on probation.
func (t *Table) recordFailure(now time.Time, e *targetState) {
	e.failures++
	if !e.ejectedUntil.IsZero() || (e.failures < failuresToEject && !e.onProbation()) {
		t.updateReady(e)
		return
	}
	length := min(maxEjection, initialEjection<<min(e.ejections, 10))
	e.ejections++
	e.ejectedUntil = now.Add(length)
	e.trustedAt = e.ejectedUntil.Add(length)
	t.ejected = append(t.ejected, e)
	t.updateReady(e)
}

// release returns a slot of the target.
func (t *Table) release(e *targetState) {
	e.busy--
	t.busy--
	t.updateReady(e)
	if e.slots == 0 && e.busy == 0 {
		t.remove(e)
	}
}

func (t *Table) remove(e *targetState) {
	delete(t.targets, e.name)
	t.ejected = slices.DeleteFunc(t.ejected, func(other *targetState) bool { return other == e })
}

// updateReady adds the target to the ready heap, moves it there or removes it, to match
// its load and limit.
func (t *Table) updateReady(e *targetState) {
	hasSlot := e.busy < e.concurrencyLimit()
	switch {
	case hasSlot && e.heapIndex < 0:
		heap.Push(&t.ready, e)
	case hasSlot:
		heap.Fix(&t.ready, e.heapIndex)
	case e.heapIndex >= 0:
		heap.Remove(&t.ready, e.heapIndex)
	}
}

// less orders targets by load, then by last pick, then by name. The load is the number
// of busy slots and of failures since the last success, relative to the slots.
func (e *targetState) less(other *targetState) bool {
	load, otherLoad := (e.busy+e.failures)*other.slots, (other.busy+other.failures)*e.slots
	return cmp.Or(
		cmp.Compare(load, otherLoad),
		cmp.Compare(e.lastPick, other.lastPick),
		cmp.Compare(e.name, other.name),
	) < 0
}

// readyHeap implements heap.Interface in the order of targetState.less.
type readyHeap []*targetState

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].less(h[j]) }

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	e := x.(*targetState)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = -1
	return e
}
