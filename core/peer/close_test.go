package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"
)

// noteSender sends notes to one peer until stop is closed.
type noteSender struct {
	from *Node
	to   Address
	name string
	stop <-chan struct{}
	// unanswered maps notes that the peer may have handled, according to the error of the call, to
	// that error.
	unanswered map[string]error
}

func (s *noteSender) run() {
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		text := fmt.Sprintf("%s-%d", s.name, i)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := Call[note](WithConnectTimeout(ctx, 50*time.Millisecond), s.from, s.to, note{Text: text})
		cancel()
		if errors.Is(err, ErrNoAnswer) {
			s.unanswered[text] = err
		}
	}
}

// TestCloseTellsWhatWasNotHandled checks that calls to a peer that closes fail with ErrNotSent,
// not ErrNoAnswer, if the peer did not handle the message. Such messages may be sent elsewhere.
func TestCloseTellsWhatWasNotHandled(t *testing.T) {
	const rounds, senders = 8, 16
	f := newFleet(t, "a", "b")
	for round := range rounds {
		var handled sync.Map
		mux := NewMux()
		Handle(mux, func(_ context.Context, _ Identity, n note) (note, error) {
			handled.Store(n.Text, true)
			return n, nil
		})
		a, _ := f.node("a", nil)
		b, to := f.node("b", mux)
		if _, err := Call[note](t.Context(), a, to, note{Text: "first"}); err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		var done sync.WaitGroup
		list := make([]*noteSender, 0, senders)
		for i := range senders {
			s := &noteSender{from: a, to: to, name: fmt.Sprintf("r%d-s%d", round, i), stop: stop, unanswered: make(map[string]error)}
			list = append(list, s)
			done.Go(s.run)
		}
		time.Sleep(20 * time.Millisecond)
		closing, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := b.Close(closing); err != nil {
			t.Error(err)
		}
		cancel()
		time.Sleep(20 * time.Millisecond)
		close(stop)
		done.Wait()
		for _, s := range list {
			for text, err := range s.unanswered {
				if _, ran := handled.Load(text); !ran {
					t.Errorf("note %s was not handled, but the error does not say so: %v", text, err)
				}
			}
		}
	}
}
