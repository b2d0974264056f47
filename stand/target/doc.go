// Package target implements fake service targets.
//
// A Fleet holds many targets, each with a number of slots. A request occupies a
// slot for the duration of its work, even if its client gives up. The answer is
// derived from the request (see Answer), so a client can check that it received
// the complete answer to its own request. A request that finds no free slot is
// not run and is recorded as an overload: entry VMs must never send a target more
// concurrent requests than it has slots.
//
// All targets of a Fleet share one record, which counts executions by request ID.
// A request whose ID starts with OncePrefix is not idempotent; a second
// execution of it is recorded as doubled.
package target
