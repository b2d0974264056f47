// Package front is the callers' API of an entry VM.
//
// The model: each call becomes a Request that runs through a chain of filters:
//
//	label → window → limits → claim → route → dispatch
//
// A filter answers with an Outcome or calls the next one. There are three
// outcomes and never a fourth: Completed with the whole answer, Refused (not
// run) and Unknown (may have run). Refused is said only when no byte of the
// request can have reached a target.
//
// A request may pass through up to three entry VMs: the one that the caller
// reached, the owner of its claim if it is non-idempotent, and one in another
// failure domain if the owner's has no slot for it. The first runs the whole
// chain, the second starts at claim, the third at route.
package front
