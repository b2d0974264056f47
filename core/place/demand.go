package place

import "tanagerstack.org/core/roster"

// Demand is a request to place identical tasks of one job.
type Demand struct {
	// PerTask is the size of one task.
	PerTask roster.Resources
	// Count is the number of tasks.
	Count int
	// Strategy selects how tasks are distributed; nil means Packed.
	Strategy Strategy
	// Avoid is the set of workers that must not be chosen, such as workers where the
	// job failed.
	Avoid map[string]bool
	// Reserved is the capacity of each worker that is reserved for another waiting
	// job. Tasks are not placed in it.
	Reserved map[string]roster.Resources
}

// Strategy is Spread, Packed or AllOrNothing.
type Strategy interface{ strategy() }

// Spread balances tasks over racks, then over workers.
type Spread struct {
	// Placed is the number of the job's tasks that each worker already runs.
	Placed map[string]int
}

// Packed prefers the workers that keep the least free capacity.
type Packed struct{}

// AllOrNothing places tasks like Packed, but either all of them or none.
type AllOrNothing struct{}

func (Spread) strategy()       {}
func (Packed) strategy()       {}
func (AllOrNothing) strategy() {}
