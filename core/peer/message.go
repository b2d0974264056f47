package peer

import "context"

// Message is a request to another entry VM. Kind returns the name of its type on the wire, in
// kebab case. It must be the same for all values of the type, including the zero value. The
// package that handles a message declares its type.
type Message interface{ Kind() string }

// Identity identifies the sender of a message, verified by its TLS certificate.
type Identity struct {
	// Name is the name of the entry VM, the first DNS name of the certificate.
	Name string
}

// Handler handles messages of type Q and returns their answers, of type A. ctx ends at the
// deadline of the message, when the caller gives up, or with the connection.
type Handler[Q Message, A any] func(ctx context.Context, from Identity, message Q) (A, error)
