package play

import (
	"container/heap"
	"time"
)

// timed is something that happens at an instant.
type timed struct {
	at     time.Time
	serial int
	do     func()
}

// events are what is still to happen, the earliest first.
type events struct {
	list   []timed
	serial int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.serial < b.serial
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { e.list = append(e.list, x.(timed)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (e *events) add(at time.Time, do func()) {
	e.serial++
	heap.Push(e, timed{at: at, serial: e.serial, do: do})
}
