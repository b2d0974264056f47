package route

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
	// firstEjection is how long a target is ejected at first.
	firstEjection = 500 * time.Millisecond
	// longestEjection bounds the doubling.
	longestEjection = 30 * time.Second
	// durationWeight is the weight of a new sample in the mean duration, and
	// deviationWeight that in its mean deviation.
	durationWeight  = 0.1
	deviationWeight = 0.2
	// deviations is how many mean deviations above the mean an attempt is
	// expected to take at most.
	deviations = 4
)

// Share is a target with the slots of it that this entry VM may use.
type TargetSlots struct {
	Name  string
	Slots int
}

// Query describes the request that a target is picked for.
type Query struct {
	// Avoid names targets that the request was tried at.
	Avoid []string
	// Careful keeps a non-idempotent request away from targets on probation.
	AvoidProbation bool
}

// Table is the targets of one service as this entry VM may use them. The zero
// value has none.
type Table struct {
	entries map[string]*entry
	// ready has the entries that may take a request now, least loaded first.
	ready   readyHeap
	ejected []*entry
	held    []heldSlot
	picks   uint64
	slots   int
	busy    int
	mean    time.Duration
	spread  time.Duration
}

// entry is a target.
type entry struct {
	name     string
	slots    int
	busy     int
	leaving  bool
	failures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// trustedAt is when a target on probation may get non-idempotent requests.
	trustedAt time.Time
	lastPick  uint64
	index     int
}

// heldSlot is a slot whose request may still run.
type heldSlot struct {
	entry *entry
	until time.Time
}

// Set replaces the shares. Targets that are left out get nothing new; their
// slots in use stay counted.
func (t *Table) Set(shares []TargetSlots) {
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	listed := make(map[string]int, len(shares))
	for _, s := range shares {
		listed[s.Name] = s.Slots
		if t.entries[s.Name] == nil {
			t.entries[s.Name] = &entry{name: s.Name, index: -1}
		}
	}
	t.slots = 0
	for name, e := range t.entries {
		e.slots = listed[name]
		e.leaving = e.leaving && e.slots > 0
		t.slots += e.slots
		t.place(e)
		if e.slots == 0 && e.busy == 0 {
			t.forget(e)
		}
	}
}

// SetLeaving stops new requests to a target until it is left out of the shares.
func (t *Table) SetLeaving(name string) {
	if e := t.entries[name]; e != nil {
		e.leaving = true
		t.place(e)
	}
}

// Pick takes a slot of the best target and returns the target's name, or false
// if no target can take the request now.
func (t *Table) Pick(now time.Time, q Query) (string, bool) {
	t.Advance(now)
	var skipped []*entry
	var picked *entry
	for picked == nil && len(t.ready) > 0 {
		e := heap.Pop(&t.ready).(*entry)
		if e.accepts(now, q) {
			picked = e
		} else {
			skipped = append(skipped, e)
		}
	}
	for _, e := range skipped {
		t.place(e)
	}
	if picked == nil {
		return "", false
	}
	t.picks++
	picked.lastPick = t.picks
	picked.busy++
	t.busy++
	t.place(picked)
	return picked.name, true
}

// Finish gives back a slot that Pick took, with how its attempt ended.
func (t *Table) Finish(now time.Time, name string, r Result) {
	e := t.entries[name]
	switch r := r.(type) {
	case Succeeded:
		e.failures, e.ejections = 0, 0
		t.observe(r.Took)
		t.release(e)
	case Unused:
		t.release(e)
	case NotSent, Rejected, Failed:
		t.fail(now, e)
		t.release(e)
	case Lost:
		t.held = append(t.held, heldSlot{entry: e, until: r.Until})
		if !r.Inconclusive {
			t.fail(now, e)
		}
	}
}

// Advance frees held slots and ends ejections that are due at now. It reports
// whether any target may have become ready.
func (t *Table) Advance(now time.Time) bool {
	changed := false
	t.held = slices.DeleteFunc(t.held, func(h heldSlot) bool {
		due := !now.Before(h.until)
		if due {
			changed = true
			t.release(h.entry)
		}
		return due
	})
	t.ejected = slices.DeleteFunc(t.ejected, func(e *entry) bool {
		due := !now.Before(e.ejectedUntil)
		if due {
			changed = true
			e.ejectedUntil = time.Time{}
			t.place(e)
		}
		return due
	})
	return changed
}

// HeldUntil returns the instant by which all requests that were lost must have
// ended; zero if there are none.
func (t *Table) LostUntil() time.Time {
	var last time.Time
	for _, h := range t.held {
		if h.until.After(last) {
			last = h.until
		}
	}
	return last
}

// Slots returns how many slots this entry VM may use, and how many are taken.
func (t *Table) Slots() (usable, busy int) { return t.slots, t.busy }

// Ready reports whether any target may take a request.
func (t *Table) HasFreeSlot() bool { return len(t.ready) > 0 }

// Usable reports whether any target with slots here, busy or not, could take
// the request.
func (t *Table) CanServe(now time.Time, q Query) bool {
	for _, e := range t.entries {
		if e.limit() > 0 && e.accepts(now, q) {
			return true
		}
	}
	return false
}

// MeanDuration returns the moving mean of how long successful attempts took.
func (t *Table) MeanDuration() time.Duration { return t.mean }

// ExpectedDuration returns how long an attempt takes at most, as far as the
// recent ones tell. It is 0 while there were none.
func (t *Table) ExpectedDuration() time.Duration { return t.mean + deviations*t.spread }

// accepts reports whether the entry suits the request.
func (e *entry) accepts(now time.Time, q Query) bool {
	if q.AvoidProbation && e.onProbation() && now.Before(e.trustedAt) {
		return false
	}
	return !slices.Contains(q.Avoid, e.name)
}

func (e *entry) onProbation() bool { return e.ejections > 0 }

// limit returns how many requests the entry may run at once.
func (e *entry) limit() int {
	if e.leaving || !e.ejectedUntil.IsZero() {
		return 0
	}
	if e.onProbation() {
		return min(1, e.slots)
	}
	return e.slots
}

func (t *Table) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.spread = took, took/8
		return
	}
	off := took - t.mean
	t.mean += time.Duration(durationWeight * float64(off))
	t.spread += time.Duration(deviationWeight * float64(off.Abs()-t.spread))
}

// fail counts a failure and ejects the entry when there were too many. A target
// on probation is ejected by its first one.
func (t *Table) fail(now time.Time, e *entry) {
	e.failures++
	if !e.ejectedUntil.IsZero() || (e.failures < failuresToEject && !e.onProbation()) {
		t.place(e)
		return
	}
	length := min(longestEjection, firstEjection<<min(e.ejections, 10))
	e.ejections++
	e.ejectedUntil = now.Add(length)
	e.trustedAt = e.ejectedUntil.Add(length)
	t.ejected = append(t.ejected, e)
	t.place(e)
}

func (t *Table) release(e *entry) {
	e.busy--
	t.busy--
	t.place(e)
	if e.slots == 0 && e.busy == 0 {
		t.forget(e)
	}
}

func (t *Table) forget(e *entry) {
	delete(t.entries, e.name)
	t.ejected = slices.DeleteFunc(t.ejected, func(other *entry) bool { return other == e })
}

// place puts the entry where it belongs in the ready heap, or out of it.
func (t *Table) place(e *entry) {
	fits := e.busy < e.limit()
	switch {
	case fits && e.index < 0:
		heap.Push(&t.ready, e)
	case fits:
		heap.Fix(&t.ready, e.index)
	case e.index >= 0:
		heap.Remove(&t.ready, e.index)
	}
}

// before orders entries: the lower load first, then the one unused for longest.
// Failures count as load.
func (e *entry) before(other *entry) bool {
	load, otherLoad := (e.busy+e.failures)*other.slots, (other.busy+other.failures)*e.slots
	return cmp.Or(
		cmp.Compare(load, otherLoad),
		cmp.Compare(e.lastPick, other.lastPick),
		cmp.Compare(e.name, other.name),
	) < 0
}

// readyHeap is a heap.Interface by load.
type readyHeap []*entry

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
