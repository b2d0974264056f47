// Package peer carries messages between entry VMs over QUIC with mutual TLS.
//
// The model: one message and its answer use one stream of their own, so that an
// answer cannot be matched to another message. Messages and answers are CBOR.
// A Mux maps the kind of a message to its typed handler; Call sends a message
// and waits for the typed answer. Errors say whether the message may have been
// handled:
//
//   - ErrNotSent: no byte of it reached the peer.
//   - ErrNoAnswer: the peer may have handled it.
//   - a *RemoteError: the peer's handler returned an error.
package peer
