package play

import (
	"container/heap"
	"time"
)

// timedEvent is an action at a point in simulated time. Events at the same time run in the order
// of seq.
type timedEvent struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue is a heap of pending events, the earliest first.
type eventQueue struct {
	list    []timedEvent
	lastSeq int
}

func (e *eventQueue) Len() int { return len(e.list) }
func (e *eventQueue) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (e *eventQueue) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { e.list = append(e.list, x.(timedEvent)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (e *eventQueue) add(at time.Time, do func()) {
	e.lastSeq++
	heap.Push(e, timedEvent{at: at, seq: e.lastSeq, do: do})
}
