// Package front implements the callers' API of an entry VM.
//
// Each call becomes a Request that passes through a chain of filters:
//
//	label → window → limits → claim → route → dispatch
//
// A filter returns an Outcome or calls the next filter. There are exactly three
// outcomes: Completed, with the complete response; Refused, for a request that
// did not run; and Unknown, for a request that may have run. A request is
// Refused only if no byte of it can have reached a target.
//
// A request passes through up to three entry VMs: the one that received it from
// the caller; the owner of its claim, if the request is non-idempotent; and
// another VM, of the same or another failure domain, if no slot is available.
// The first VM runs the whole chain, the second starts at claim, the third at
// route.
package front
