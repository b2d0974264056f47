// Package bench measures a running fleet of entry VMs from its callers' side.
//
// The model: a Run makes three measurements one after the other, each a ratio
// within the run, so that the speed of the machine cancels out.
//
//   - Added latency: the same request goes directly to a target, through an entry
//     VM as idempotent, and through one as non-idempotent, in turn.
//   - Flooding neighbor: a steady caller alone and beside one that sends far more
//     than its limit, in turn.
//   - Overload: useful completions at 1, 2 and 4 times the capacity of the targets.
//
// Each result has a bound; Run says which were passed. The bounds are those of the
// stated targets, and are for a machine that has processors left.
package bench
