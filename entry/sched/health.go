package sched

// health is how a worker fared with the tasks that it was given.
type health struct {
	quarantined bool
}
