// Package peer sends messages between entry VMs over QUIC with mutual TLS.
//
// Each message and its answer use their own stream, so that an answer cannot be matched to
// another message. Messages and answers are encoded in CBOR. Two entry VMs share one
// connection, regardless of which of them opened it; connections are identified by the name
// in the peer's certificate. If no packet arrives while a message waits for its answer, the
// connection becomes suspect, and later messages use a new connection from another port. On
// a connection that has been idle for a while, a ping must be answered before a message is
// sent.
//
// A Mux maps the kind of a message to its typed handler. Call sends a message and waits for
// the typed answer. Its error tells whether the peer may have handled the message:
//
//   - ErrNotSent: the peer has not handled the message and will not.
//   - ErrNoAnswer: the peer may have handled the message.
//   - *RemoteError: the peer answered with an error.
package peer
