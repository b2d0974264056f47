// Package bench measures a running fleet of entry VMs from the side of its callers.
//
// A Run makes three measurements one after the other. Each is a ratio of two values
// of the same run, so that the speed of the machine cancels out:
//
//   - Added latency: the same request is sent directly to a target, through an entry
//     VM as idempotent, and through an entry VM as non-idempotent, in turn.
//   - Flooding neighbor: the latency of a steady caller, alone and while another
//     caller sends far more than its limit, in turn.
//   - Overload: completed requests per second at 1, 2 and 4 times the capacity of the
//     targets.
//
// Each result has a bound, and Run returns an error for each bound that is exceeded.
// The bounds assume a machine with idle processors.
package bench
