package peer

import "context"

// Message is a request to another entry VM. Kind names its type on the wire in
// kebab case; it must be the same for all values of the type, the zero value
// included. The package that handles a message declares its type.
type Message interface{ Kind() string }

// Identity is the sender of a message, as its certificate proves it.
type Identity struct {
	// Name is the name of the entry VM.
	Name string
}

// Handler answers messages of one type.
type Handler[Q Message, A any] func(ctx context.Context, from Identity, message Q) (A, error)
