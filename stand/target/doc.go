// Package target is a stand-in for service targets.
//
// The model: a Fleet holds many targets, each with slots. A request takes a slot
// for its work time, even when its client gives up, and is answered with a text
// that follows from the request (see Answer), so that a client can tell whether
// it got the whole answer to its own request. A request that finds no slot is
// not run, and is recorded as an overload: entry VMs must never send more than a
// target has slots.
//
// The record counts executions by request ID over all targets of the process.
// IDs that start with OncePrefix are non-idempotent; a second execution of one is
// recorded as doubled.
package target
