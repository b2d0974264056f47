// Package admit decides which requests may enter and in which order they start.
//
// The package has two parts:
//
//   - A Gate limits the rate, the burst and the number of requests in flight of
//     each caller on this entry VM. The rate in the policy applies to the whole
//     fleet, so each entry VM admits its share of it.
//   - A Queue holds the requests that wait for a slot and orders them by
//     start-time fair queuing. Urgent classes go first. Otherwise classes share
//     the slots by weight, the callers of a class share them equally, and the
//     requests of one caller start in order of deadline. A caller that floods the
//     queue therefore delays mostly its own requests.
//
// Queue.EstimateAhead lets an entry VM refuse on arrival a request that cannot
// end inside its window. The package reads no clock: methods that depend on time
// take the current instant.
package admit
