// Package admit decides which requests may enter and in which order they start.
//
// The model has two parts:
//
//   - A Gate bounds what each caller may ask of this entry VM: a rate, a burst
//     and a number of requests in flight. The rate of the policy holds for the
//     whole fleet, so each entry VM admits its share of it.
//   - A Queue holds the requests that wait for a slot. Urgent classes go first.
//     Otherwise classes share the slots by weight, the callers of a class share
//     them equally, and the requests of one caller start by earliest deadline.
//     A caller that floods the queue therefore delays mostly itself.
//
// A request that cannot start early enough to end inside its window is refused
// on arrival. Nothing here reads a clock: each decision takes the instant.
package admit
