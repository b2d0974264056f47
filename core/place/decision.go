package place

import (
	"fmt"
	"strings"
)

// Constraint is a reason why a worker cannot take a task.
type Constraint int

// The constraints, in the order in which they are checked.
const (
	// NotReachable means that the worker has not answered recently or has not been polled
	// yet.
	NotReachable Constraint = iota
	// Leaving means that the platform is removing the worker.
	Leaving
	// Quarantined means that the worker is quarantined, because the tasks that it starts fail.
	Quarantined
	// Avoided means that the demand excludes the worker.
	Avoided
	// LacksAccelerators means that too few accelerators are free.
	LacksAccelerators
	// LacksMemory means that too little memory is free.
	LacksMemory
	// LacksProcessors means that too few processors are free.
	LacksProcessors
	// ReservedForGang means that the free capacity is reserved for another job, usually a
	// gang.
	ReservedForGang
	// constraintCount is the number of constraints.
	constraintCount
)

// String returns the name of the constraint in kebab case.
func (c Constraint) String() string {
	names := [constraintCount]string{
		"not-reachable", "leaving", "quarantined", "avoided",
		"lacks-accelerators", "lacks-memory", "lacks-processors", "held-for-gang",
	}
	if c < 0 || c >= constraintCount {
		return "unknown"
	}
	return names[c]
}

// Exclusions counts the excluded workers by constraint. A worker is counted once,
// under the first constraint that it fails.
type Exclusions [constraintCount]int

// String lists the constraints with a count above zero as NAME=COUNT, or returns
// "none".
func (r Exclusions) String() string {
	var parts []string
	for c, n := range r {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", Constraint(c), n))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// Decision is the result of Choose for a Demand.
type Decision struct {
	// Workers holds the name of the chosen worker for each placed task.
	Workers []string
	// Unplaced is the number of tasks for which there is no worker.
	Unplaced int
	// Considered is the number of workers examined.
	Considered int
	// Exclusions counts the workers that cannot take a task, or another one. If all
	// tasks are placed, it leaves out the workers that could take a task.
	Exclusions Exclusions
}
