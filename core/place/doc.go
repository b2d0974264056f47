// Package place chooses workers for the tasks of a job.
//
// A Demand describes a number of identical tasks and the Strategy for placing
// them:
//
//   - Spread, for long-lived services, balances the tasks over racks and then
//     over workers.
//   - Packed, for batch work, prefers the workers that keep the least free
//     capacity.
//   - AllOrNothing, for gang jobs, packs the tasks but places either all of them
//     or none.
//
// Choose reads a ledger and returns a Decision. It does not change the ledger;
// the calling code charges the tasks that it accepts. If some tasks cannot be
// placed, the Decision counts the workers that each Constraint excluded, so that
// operators can see the reason.
//
// Preempt selects running tasks to stop for an urgent demand. Reserve selects
// workers whose capacity is kept for a job, such as a gang, that does not fit yet.
//
// Because all tasks of a demand are identical, the number of tasks that fit on a
// worker does not depend on the other workers. Packing therefore fills one worker
// after another in order of score, which gives the same result as choosing the
// best worker again for each task.
package place
