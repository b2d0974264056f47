package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// maxIdleFlows is the number of flows without waiters that a class keeps before it
// drops those that have not received more than their share.
const maxIdleFlows = 64

// Waiter is a request that waits for a slot. Value belongs to the user of the queue.
type Waiter[T any] struct {
	Caller string
	Class  string
	// Share is the weight of the class; values below minShare count as minShare.
	Share float64
	// Urgent waiters start before all others.
	Urgent bool
	// NotAfter is the deadline of the request, which is the end of its window.
	NotAfter time.Time
	Value    T

	flow  *flow[T]
	index int
}

// Queue orders waiters. The zero value is empty and ready to use. A Queue is not safe
// for concurrent use: its user guards it by the lock that also guards the slots.
type Queue[T any] struct {
	urgent priorityLevel[T]
	normal priorityLevel[T]
}

// priorityLevel is a set of classes that share slots by weight.
type priorityLevel[T any] struct {
	classes []*class[T]
	// virtualTime is the start tag of the class that was served last.
	virtualTime float64
	size        int
}

// class holds the flows of one request class, which share its slots equally. Its
// startTag grows by 1/share with each start; the class with the lowest tag is served
// next.
type class[T any] struct {
	name     string
	share    float64
	startTag float64
	// virtualTime is the start tag of the flow that was served last.
	virtualTime float64
	size        int
	flows       map[string]*flow[T]
	// active holds the flows that have waiters.
	active []*flow[T]
}

// flow holds the waiters of one caller in one class, ordered by deadline. Its startTag
// grows by 1 with each start; the flow with the lowest tag is served next.
type flow[T any] struct {
	caller   string
	parent   *class[T]
	startTag float64
	waiters  deadlineHeap[T]
}

// minShare is the least weight of a class, so that a class with a share of zero is
// still served.
const minShare = 0.01

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.urgent.size + q.normal.size }

// Push adds a waiter, which must not be in a queue already.
func (q *Queue[T]) Push(w *Waiter[T]) {
	l := q.level(w.Urgent)
	c := l.class(w.Class, w.Share)
	if c.size == 0 {
		c.startTag = max(c.startTag, l.virtualTime)
	}
	f := c.flow(w.Caller)
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		c.active = append(c.active, f)
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	c.size++
	l.size++
}

// Remove removes a waiter and reports whether it was still in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.flow == nil {
		return false
	}
	q.unlink(w)
	return true
}

// Pop removes and returns the waiter that starts next, or nil if there is none. It
// skips the waiters of callers for which blocked returns true; a nil blocked skips
// none. earliestEnd is the expected end of a request that starts now. Waiters that Pop
// encounters whose deadline is before earliestEnd cannot be served in time; Pop removes
// them and returns them as late.
func (q *Queue[T]) Pop(earliestEnd time.Time, blocked func(caller string) bool) (next *Waiter[T], late []*Waiter[T]) {
	for {
		l := &q.urgent
		c, f := l.next(blocked)
		if f == nil {
			l = &q.normal
			c, f = l.next(blocked)
		}
		if f == nil {
			return nil, late
		}
		w := f.waiters[0]
		if w.NotAfter.Before(earliestEnd) {
			q.unlink(w)
			late = append(late, w)
			continue
		}
		l.chargeStart(c, f)
		q.unlink(w)
		return w, late
	}
}

// HasUnblocked reports whether there is a waiter whose caller is not blocked.
func (q *Queue[T]) HasUnblocked(blocked func(caller string) bool) bool {
	_, urgent := q.urgent.next(blocked)
	_, normal := q.normal.next(blocked)
	return urgent != nil || normal != nil
}

// RemoveLate removes and returns all waiters whose deadline is before earliestEnd.
func (q *Queue[T]) RemoveLate(earliestEnd time.Time) []*Waiter[T] {
	var late []*Waiter[T]
	for _, l := range []*priorityLevel[T]{&q.urgent, &q.normal} {
		for _, c := range l.classes {
			for _, f := range append([]*flow[T](nil), c.active...) {
				for len(f.waiters) > 0 && f.waiters[0].NotAfter.Before(earliestEnd) {
					w := f.waiters[0]
					q.unlink(w)
					late = append(late, w)
				}
			}
		}
	}
	return late
}

// EstimateAhead estimates how many waiters would start before w if w were pushed now.
// Besides the waiters of higher priority, it counts those of the same class by rounds
// in which each caller starts one, and those of other classes in proportion to the
// shares.
func (q *Queue[T]) EstimateAhead(w *Waiter[T]) int {
	l, total := &q.normal, q.Len()
	if w.Urgent {
		l, total = &q.urgent, q.urgent.size
	}
	higher := total - l.size
	own, inClass := 0, 0
	shares, share := 0.0, max(w.Share, minShare)
	for _, c := range l.classes {
		if c.name == w.Class {
			own = c.countEarlier(w)
			inClass = c.countAhead(w.Caller, own)
		} else if c.size > 0 {
			shares += c.share
		}
	}
	others := l.size - l.sizeOf(w.Class)
	fromOthers := int(float64(inClass+1) * shares / share)
	return higher + inClass + min(others, fromOthers)
}

// level returns the level of urgent or of other waiters.
func (q *Queue[T]) level(urgent bool) *priorityLevel[T] {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

// unlink removes a waiter that is in the queue.
func (q *Queue[T]) unlink(w *Waiter[T]) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	w.flow = nil
	f.parent.size--
	q.level(w.Urgent).size--
	if len(f.waiters) == 0 {
		f.parent.deactivate(f)
	}
}

// class returns the named class with its share set, and creates it if necessary.
func (l *priorityLevel[T]) class(name string, share float64) *class[T] {
	for _, c := range l.classes {
		if c.name == name {
			c.share = max(share, minShare)
			return c
		}
	}
	c := &class[T]{name: name, share: max(share, minShare), flows: make(map[string]*flow[T])}
	l.classes = append(l.classes, c)
	return c
}

// sizeOf returns the number of waiters of the named class.
func (l *priorityLevel[T]) sizeOf(name string) int {
	for _, c := range l.classes {
		if c.name == name {
			return c.size
		}
	}
	return 0
}

// next returns the class with the lowest start tag that has an unblocked waiter, and
// the flow of that class that is served next; nil if there is none.
func (l *priorityLevel[T]) next(blocked func(string) bool) (*class[T], *flow[T]) {
	var best *class[T]
	var bestFlow *flow[T]
	for _, c := range l.classes {
		if best != nil && !tagBefore(c.startTag, c.name, best.startTag, best.name) {
			continue
		}
		if f := c.next(blocked); f != nil {
			best, bestFlow = c, f
		}
	}
	return best, bestFlow
}

// chargeStart advances the virtual times and start tags for one start of a waiter of f.
func (l *priorityLevel[T]) chargeStart(c *class[T], f *flow[T]) {
	l.virtualTime = c.startTag
	c.startTag += 1 / c.share
	c.virtualTime = f.startTag
	f.startTag++
}

// flow returns the flow of a caller and creates it if necessary.
func (c *class[T]) flow(caller string) *flow[T] {
	f := c.flows[caller]
	if f == nil {
		c.dropIdleFlows()
		f = &flow[T]{caller: caller, parent: c}
		c.flows[caller] = f
	}
	return f
}

// next returns the active flow with the lowest start tag whose caller is not blocked,
// or nil if there is none.
func (c *class[T]) next(blocked func(string) bool) *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		if best != nil && !tagBefore(f.startTag, f.caller, best.startTag, best.caller) {
			continue
		}
		if blocked == nil || !blocked(f.caller) {
			best = f
		}
	}
	return best
}

// deactivate removes a flow without waiters from the active flows. The flow keeps its
// start tag, so that a caller gains nothing by sending one request at a time.
func (c *class[T]) deactivate(f *flow[T]) {
	for i, other := range c.active {
		if other == f {
			last := len(c.active) - 1
			c.active[i] = c.active[last]
			c.active[last] = nil
			c.active = c.active[:last]
			return
		}
	}
}

// dropIdleFlows drops the flows that have no waiters and whose start tag is not above
// the virtual time of the class. It does so only when there are at least maxIdleFlows
// flows without waiters.
func (c *class[T]) dropIdleFlows() {
	if len(c.flows) < len(c.active)+maxIdleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.waiters) == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// countEarlier counts the waiters of w's caller whose deadline is not after that of w.
func (c *class[T]) countEarlier(w *Waiter[T]) int {
	f := c.flows[w.Caller]
	if f == nil {
		return 0
	}
	count := 0
	for _, other := range f.waiters {
		if !w.NotAfter.Before(other.NotAfter) {
			count++
		}
	}
	return count
}

// countAhead estimates how many waiters of the class start before a waiter of caller
// that is preceded by own waiters of the same caller. Each other caller starts at most
// one waiter per round.
func (c *class[T]) countAhead(caller string, own int) int {
	count := own
	mine := c.flows[caller]
	for _, f := range c.active {
		if f != mine {
			count += min(len(f.waiters), own+1)
		}
	}
	return count
}

// tagBefore orders by start tag, then by name, so that the order is deterministic.
func tagBefore(tag float64, name string, otherTag float64, otherName string) bool {
	return cmp.Or(cmp.Compare(tag, otherTag), cmp.Compare(name, otherName)) < 0
}

// deadlineHeap implements heap.Interface; the earliest deadline comes first.
type deadlineHeap[T any] []*Waiter[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].NotAfter.Before(h[j].NotAfter) }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
