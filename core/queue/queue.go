package queue

import (
	"slices"
	"sort"
)

// Queue holds the jobs that wait. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	items map[string]*Item
	// urgent and each team's items are sorted by window, aging by acceptance.
	urgent []*Item
	aging  []*Item
	teams  map[string][]*Item
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether a job waits.
func (q *Queue) Has(job string) bool {
	_, ok := q.items[job]
	return ok
}

// Add puts a job in the queue, in place of an earlier item of the same job.
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

// Remove takes a job out of the queue.
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

func insert(items []*Item, it *Item, order func(a, b *Item) int) []*Item {
	at := sort.Search(len(items), func(i int) bool { return order(items[i], it) >= 0 })
	return slices.Insert(items, at, it)
}

func remove(items []*Item, it *Item, order func(a, b *Item) int) []*Item {
	at := sort.Search(len(items), func(i int) bool { return order(items[i], it) >= 0 })
	if at == len(items) || items[at] != it {
		return items
	}
	return slices.Delete(items, at, at+1)
}
