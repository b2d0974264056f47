package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// idleFlows is the number of flows without waiters that a class may keep before
// it drops those that have no debt.
const idleFlows = 64

// Waiter is a request that waits for a slot. Value is the queue owner's.
type Waiter[T any] struct {
	Caller string
	Class  string
	// Share weighs the class against others; values below a small minimum count as it.
	Share float64
	// Urgent waiters go before all others.
	Urgent bool
	// NotAfter is the end of the request's window.
	NotAfter time.Time
	Value    T

	flow  *flow[T]
	index int
}

// Queue orders waiters. The zero value is empty. It is not safe for concurrent
// use: its owner locks it together with the slots that it waits for.
type Queue[T any] struct {
	urgent level[T]
	normal level[T]
}

// level is a set of classes that share slots by weight.
type level[T any] struct {
	classes []*class[T]
	// served is the virtual time of the level: the start tag last served.
	served float64
	size   int
}

// class is the callers of one class, which share equally.
type class[T any] struct {
	name   string
	share  float64
	tag    float64
	served float64
	size   int
	flows  map[string]*flow[T]
	active []*flow[T]
}

// flow is the waiters of one caller in one class, by earliest deadline.
type flow[T any] struct {
	caller  string
	owner   *class[T]
	tag     float64
	waiters deadlineHeap[T]
}

// minimumShare keeps a class without a share from never being served.
const minimumShare = 0.01

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.urgent.size + q.normal.size }

// Push adds a waiter, which must not be in a queue.
func (q *Queue[T]) Push(w *Waiter[T]) {
	l := q.level(w.Urgent)
	c := l.class(w.Class, w.Share)
	if c.size == 0 {
		c.tag = max(c.tag, l.served)
	}
	f := c.flow(w.Caller)
	if len(f.waiters) == 0 {
		f.tag = max(f.tag, c.served)
		c.active = append(c.active, f)
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	c.size++
	l.size++
}

// Remove takes a waiter out and reports whether it was still in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.flow == nil {
		return false
	}
	q.take(w)
	return true
}

// Pop takes out the waiter that starts next. Callers for which blocked returns
// true are passed over; a nil blocked passes over none. Waiters whose window ends
// before startBy are taken out too and returned as late; they can no longer be
// served.
func (q *Queue[T]) Pop(startBy time.Time, blocked func(caller string) bool) (next *Waiter[T], late []*Waiter[T]) {
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
		if w.NotAfter.Before(startBy) {
			q.take(w)
			late = append(late, w)
			continue
		}
		l.serve(c, f)
		q.take(w)
		return w, late
	}
}

// Any reports whether there is a waiter whose caller is not blocked.
func (q *Queue[T]) HasUnblocked(blocked func(caller string) bool) bool {
	_, urgent := q.urgent.next(blocked)
	_, normal := q.normal.next(blocked)
	return urgent != nil || normal != nil
}

// Late takes out all waiters whose window ends before startBy.
func (q *Queue[T]) RemoveLate(startBy time.Time) []*Waiter[T] {
	var late []*Waiter[T]
	for _, l := range []*level[T]{&q.urgent, &q.normal} {
		for _, c := range l.classes {
			for _, f := range append([]*flow[T](nil), c.active...) {
				for len(f.waiters) > 0 && f.waiters[0].NotAfter.Before(startBy) {
					w := f.waiters[0]
					q.take(w)
					late = append(late, w)
				}
			}
		}
	}
	return late
}

// Ahead estimates how many waiters would start before w if w were pushed now.
func (q *Queue[T]) EstimateAhead(w *Waiter[T]) int {
	l, total := &q.normal, q.Len()
	if w.Urgent {
		l, total = &q.urgent, q.urgent.size
	}
	before := total - l.size
	own, inClass := 0, 0
	shares, share := 0.0, max(w.Share, minimumShare)
	for _, c := range l.classes {
		if c.name == w.Class {
			own = c.earlier(w)
			inClass = c.ahead(w.Caller, own)
		} else if c.size > 0 {
			shares += c.share
		}
	}
	others := l.size - l.sizeOf(w.Class)
	crossing := int(float64(inClass+1) * shares / share)
	return before + inClass + min(others, crossing)
}

func (q *Queue[T]) level(urgent bool) *level[T] {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

func (q *Queue[T]) take(w *Waiter[T]) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	w.flow = nil
	f.owner.size--
	q.level(w.Urgent).size--
	if len(f.waiters) == 0 {
		f.owner.rest(f)
	}
}

func (l *level[T]) class(name string, share float64) *class[T] {
	for _, c := range l.classes {
		if c.name == name {
			c.share = max(share, minimumShare)
			return c
		}
	}
	c := &class[T]{name: name, share: max(share, minimumShare), flows: make(map[string]*flow[T])}
	l.classes = append(l.classes, c)
	return c
}

func (l *level[T]) sizeOf(name string) int {
	for _, c := range l.classes {
		if c.name == name {
			return c.size
		}
	}
	return 0
}

// next returns the class with waiters that may start and that has had the least
// for its share, and the caller whose turn it is in it.
func (l *level[T]) next(blocked func(string) bool) (*class[T], *flow[T]) {
	var best *class[T]
	var turn *flow[T]
	for _, c := range l.classes {
		if best != nil && !comesFirst(c.tag, c.name, best.tag, best.name) {
			continue
		}
		if f := c.next(blocked); f != nil {
			best, turn = c, f
		}
	}
	return best, turn
}

// serve charges one start to the class and the flow.
func (l *level[T]) serve(c *class[T], f *flow[T]) {
	l.served = c.tag
	c.tag += 1 / c.share
	c.served = f.tag
	f.tag++
}

func (c *class[T]) flow(caller string) *flow[T] {
	f := c.flows[caller]
	if f == nil {
		c.forgetIdle()
		f = &flow[T]{caller: caller, owner: c}
		c.flows[caller] = f
	}
	return f
}

// next returns the caller with waiters that may start and that has had the least.
func (c *class[T]) next(blocked func(string) bool) *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		if best != nil && !comesFirst(f.tag, f.caller, best.tag, best.caller) {
			continue
		}
		if blocked == nil || !blocked(f.caller) {
			best = f
		}
	}
	return best
}

// rest moves a flow without waiters out of the active ones. It keeps its tag,
// so that a caller gains nothing by sending one request at a time.
func (c *class[T]) rest(f *flow[T]) {
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

// forgetIdle drops flows that have no waiters and no debt.
func (c *class[T]) forgetIdle() {
	if len(c.flows) < len(c.active)+idleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.waiters) == 0 && f.tag <= c.served {
			delete(c.flows, name)
		}
	}
}

// earlier counts the waiters of w's caller that have an earlier deadline.
func (c *class[T]) earlier(w *Waiter[T]) int {
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

// ahead counts the waiters of the class that start before a waiter of caller
// that has own earlier ones: each other caller gets a turn in each round.
func (c *class[T]) ahead(caller string, own int) int {
	count := own
	mine := c.flows[caller]
	for _, f := range c.active {
		if f != mine {
			count += min(len(f.waiters), own+1)
		}
	}
	return count
}

// comesFirst orders by tag, then by name, so that decisions can be repeated.
func comesFirst(tag float64, name string, otherTag float64, otherName string) bool {
	return cmp.Or(cmp.Compare(tag, otherTag), cmp.Compare(name, otherName)) < 0
}

// deadlineHeap is a heap.Interface by earliest deadline.
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
