package queue

import (
	"cmp"
	"time"

	"tanagerstack.org/core/roster"
)

// Item is a job that has tasks to place.
type Item struct {
	Job    string
	Team   string
	Urgent bool
	// Service jobs have no age: they are long-lived by nature.
	Service    bool
	AcceptedAt time.Time
	// NotAfter is the end of the job's window.
	NotAfter time.Time
	// Each is the size of one task.
	PerTask roster.Resources
	// Least is the number of tasks that must be placed together: all of a gang, else 1.
	MinTasks int
}

// byWindow orders items by the end of their window.
func byWindow(a, b *Item) int {
	return cmp.Or(a.NotAfter.Compare(b.NotAfter), a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Job, b.Job))
}

// byAge orders items by their acceptance.
func byAge(a, b *Item) int {
	return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Job, b.Job))
}
