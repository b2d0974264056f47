package place

import (
	"fmt"
	"strings"
)

// Constraint is a reason why a worker can't take a task.
type Constraint int

// The constraints, in the order in which they are asked.
const (
	NotReachable Constraint = iota
	Leaving
	Quarantined
	Avoided
	LacksAccelerators
	LacksMemory
	LacksProcessors
	ReservedForGang
	constraints
)

// String returns the constraint's name in kebab case.
func (c Constraint) String() string {
	names := [constraints]string{
		"not-reachable", "leaving", "quarantined", "avoided",
		"lacks-accelerators", "lacks-memory", "lacks-processors", "held-for-gang",
	}
	if c < 0 || c >= constraints {
		return "unknown"
	}
	return names[c]
}

// Ruled counts the workers that each constraint ruled out. A worker counts once,
// for the first constraint that it fails.
type Exclusions [constraints]int

// String lists the constraints that ruled out a worker.
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

// Decision is the outcome of a Demand.
type Decision struct {
	// Workers has one worker's name for each task placed.
	Workers []string
	// Missing is the number of tasks that found no worker.
	Unplaced int
	// Considered is the number of workers looked at.
	Considered int
	// Ruled says why workers took no task, or no more of them.
	Exclusions Exclusions
}
