package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Mux maps message kinds to handlers. It is safe for concurrent use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]rawHandler
}

// rawHandler is a Handler that takes an encoded message and returns an encoded answer.
type rawHandler func(ctx context.Context, c *codec, from Identity, body []byte) (cbor.RawMessage, error)

// NewMux returns a Mux that handles only pings.
func NewMux() *Mux {
	m := &Mux{handlers: make(map[string]rawHandler)}
	Handle(m, answerPing)
	return m
}

// Handle registers the handler for messages of type Q. It replaces an earlier handler for the
// same kind.
func Handle[Q Message, A any](m *Mux, h Handler[Q, A]) {
	var zero Q
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[zero.Kind()] = func(ctx context.Context, c *codec, from Identity, body []byte) (cbor.RawMessage, error) {
		message, err := decode[Q](c, body)
		if err != nil {
			return nil, &RemoteError{Code: CodeMalformed, Detail: err.Error()}
		}
		answer, err := h(ctx, from, message)
		if err != nil {
			return nil, err
		}
		return c.encode(answer)
	}
}

// dispatch runs the handler of a message and returns the answer.
func (m *Mux) dispatch(ctx context.Context, c *codec, from Identity, e envelope) reply {
	m.mu.RLock()
	handler, ok := m.handlers[e.Kind]
	m.mu.RUnlock()
	if !ok {
		return reply{Code: CodeUnknownKind, Detail: fmt.Sprintf("no handler for kind %q", e.Kind)}
	}
	body, err := handler(ctx, c, from, e.Body)
	if err != nil {
		return errorReply(err)
	}
	return reply{Body: body}
}

// ping is a message that checks that a connection works in both directions.
type ping struct{}

// Kind returns the message kind.
func (ping) Kind() string { return "ping" }

func answerPing(context.Context, Identity, ping) (ping, error) { return ping{}, nil }
