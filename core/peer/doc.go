// Package peer carries messages between entry VMs over QUIC with mutual TLS.
//
// The model: one message and its answer use one stream of their own, so that an
// answer cannot be matched to another message. Messages and answers are CBOR.
// Two entry VMs share one connection, whichever of them opened it; it is found by
// the name that the peer's certificate proves. A connection from which nothing
// comes is suspect: later messages take a new one, from another port, and what
// was silent for a while has to answer a ping before a message goes into it.
//
// A Mux maps the kind of a message to its typed handler; Call sends a message
// and waits for the typed answer. Errors say whether the message may have been
// handled:
//
//   - ErrNotSent: no byte of it reached the peer.
//   - ErrNoAnswer: the peer may have handled it.
//   - a *RemoteError: the peer's handler returned an error.
package peer
