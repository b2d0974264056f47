package place

import "tanagerstack.org/core/roster"

// Demand asks for workers for like tasks of one job.
type Demand struct {
	// Each is the size of one task.
	PerTask roster.Resources
	// Count is the number of tasks.
	Count int
	// Policy says how the tasks are laid out.
	Strategy Strategy
	// Avoid has workers that must not be chosen, such as those where the job failed.
	Avoid map[string]bool
	// Held is room that is set aside on workers for a waiting gang job of others.
	Reserved map[string]roster.Resources
}

// Policy is one of Spread, Packed and Together.
type Strategy interface{ policy() }

// Spread lays tasks out over racks, then over workers.
type Spread struct {
	// Placed counts the job's tasks that are already on each worker.
	Placed map[string]int
}

// Packed fills the workers that are left with the least room.
type Packed struct{}

// Together is Packed, and all tasks or none.
type AllOrNothing struct{}

func (Spread) policy()       {}
func (Packed) policy()       {}
func (AllOrNothing) policy() {}
