// Package queue orders the jobs that wait for workers.
//
// A Queue holds the jobs of a failure domain that have tasks to place. A Pass visits
// them once, in this order:
//
//  1. urgent jobs, earliest end of window first;
//  2. batch and gang jobs that have waited at least as long as the policy's age-batch,
//     oldest first;
//  3. jobs of the team with the lowest weighted dominant share, earliest end of window
//     first within a team. The dominant share is the greatest of the team's shares of
//     processors, memory and accelerators, divided by the team's weight.
//
// The shares include what the calling code charges to the teams during the pass. A
// team's quota limits the resources that its tasks use together; the pass returns how
// many more tasks the quota allows. The package has no clock: the current time is a
// parameter of a pass.
package queue
