// Package queue orders the jobs that wait for workers.
//
// The model: a Queue holds the jobs of a failure domain that have tasks to place.
// A Pass walks it once, in this order:
//
//  1. urgent jobs, the earliest end of window first;
//  2. batch and gang jobs that have waited longer than the policy's age, oldest first;
//  3. the job of the team that holds least, measured as its dominant share (the
//     greatest of its shares of processors, memory and accelerators) divided by
//     the team's weight; inside a team the earliest end of window first.
//
// The shares follow what the caller charges to the teams during the pass. A
// team's quota bounds what its tasks hold together; the pass says how many tasks
// it still allows. Everything is a decision on state: there is no clock.
package queue
