package queue

import (
	"cmp"
	"time"

	"tanagerstack.org/core/roster"
)

// Item is a job in the queue that has tasks to place.
type Item struct {
	Job    string
	Team   string
	Urgent bool
	// Service is true for long-lived services. They are never moved ahead for the
	// time that they have waited.
	Service    bool
	AcceptedAt time.Time
	// NotAfter is the end of the job's window.
	NotAfter time.Time
	// PerTask is the size of one task.
	PerTask roster.Resources
	// MinTasks is the number of tasks that must be placed together: all pending tasks
	// of a gang, otherwise 1.
	MinTasks int
}

// byWindow orders items by the end of their window, then by acceptance time and job.
func byWindow(a, b *Item) int {
	return cmp.Or(a.NotAfter.Compare(b.NotAfter), a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Job, b.Job))
}

// byAge orders items by acceptance time, oldest first, then by job.
func byAge(a, b *Item) int {
	return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Job, b.Job))
}
