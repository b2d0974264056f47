// Package place chooses workers for the tasks of a job.
//
// The model: a Demand asks for a number of like tasks and names a Policy, which
// is one of three:
//
//   - Spread, for long-lived services: the fewest tasks of the job on each rack,
//     then on each worker.
//   - Packed, for batch work: the workers that are left with the least room.
//   - Together, for gang jobs: packed, and all tasks or none.
//
// Choose reads a ledger and returns a Decision. It changes nothing; the caller
// charges what it accepts. For tasks that found no worker the Decision counts
// how many workers each Constraint ruled out, so that a person can see why.
//
// All tasks of a demand are alike, so the number that fit on each worker is
// independent of the others, and filling workers one after the other in order of
// their score is the same as choosing anew for each task.
package place
