package queue

import (
	"slices"
	"sort"
)

// Queue holds the waiting jobs. The zero value is empty and ready to use. A Queue is
// not safe for concurrent use.
type Queue struct {
	items map[string]*Item
	// urgent and the lists in teams are sorted by byWindow, aging by byAge. A job that
	// is not urgent is in the list of its team and, unless it is a service, in aging.
	urgent []*Item
	aging  []*Item
	teams  map[string][]*Item
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether the job is in the queue.
func (q *Queue) Has(job string) bool {
	_, ok := q.items[job]
	return ok
}

// Add adds a job to the queue, replacing an item of the same job.
func (q *Queue) Add(item Item) {
	q.Remove(item.Job)
	if q.items == nil {
		q.items = make(map[string]*Item)
		q.teams = make(map[string][]*Item)
	}
	it := &item
	q.items[item.Job] = it
	if item.Urgent {
		q.urgent = insert(q.urgent, it, byWindow)
		return
	}
	q.teams[item.Team] = insert(q.teams[item.Team], it, byWindow)
	if !item.Service {
		q.aging = insert(q.aging, it, byAge)
	}
}

// Remove removes a job from the queue. It does nothing if the job is not there.
func (q *Queue) Remove(job string) {
	it, ok := q.items[job]
	if !ok {
		return
	}
	delete(q.items, job)
	if it.Urgent {
		q.urgent = remove(q.urgent, it, byWindow)
		return
	}
	q.aging = remove(q.aging, it, byAge)
	if rest := remove(q.teams[it.Team], it, byWindow); len(rest) > 0 {
		q.teams[it.Team] = rest
	} else {
		delete(q.teams, it.Team)
	}
}

// insert adds an item to a sorted list.
func insert(items []*Item, it *Item, order func(a, b *Item) int) []*Item {
	at := sort.Search(len(items), func(i int) bool { return order(items[i], it) >= 0 })
	return slices.Insert(items, at, it)
}

// remove deletes an item from a sorted list, if it is there.
func remove(items []*Item, it *Item, order func(a, b *Item) int) []*Item {
	at := sort.Search(len(items), func(i int) bool { return order(items[i], it) >= 0 })
	if at == len(items) || items[at] != it {
		return items
	}
	return slices.Delete(items, at, at+1)
}
