// Package claim makes sure that a non-idempotent request runs at most once.
//
// The model: a request is named by its Key, the caller and the caller's own
// identifier. The key has an order of entry VMs in the caller's home failure
// domain, by rendezvous hash over the seats of the stored roster. The first is
// the owner, the second its replica. A VM may send the request to a target only
// while it holds the claim on the key:
//
//   - The table service answers: the claim is a row, inserted if absent.
//   - It does not: the claim is held in memory by the owner and its replica.
//     Both write it to the tables when they answer again.
//   - The owner does not answer, but the tables do: the replica may insert the
//     row in its place, unless its memory says that the owner holds the claim.
//
// A VM that started less than one longest window ago may have forgotten claims
// that it held in memory. It refuses what only such a memory could decide.
//
// A Book is the memory of one VM. A claim stays there until the request's
// window has passed and one longest window more, so that a caller's repeat finds
// the first answer. A claim whose request provably did not run is dropped, so
// that the caller may send it again.
package claim
