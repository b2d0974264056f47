package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"tanagerstack.org/core/guard"
)

// TestManyStreamsLeaveRoom guards against a peer that opens many streams with messages that do not end,
// and so takes all the memory: calls of another peer are answered, the figures stay within the budget,
// and a message that was refused for lack of memory is not handled.
func TestManyStreamsLeaveRoom(t *testing.T) {
	const streams, messageBytes = 500, 64 << 10
	f := newFleet(t, "a", "b", "c")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := guard.New(ctx, guard.Options{Limits: guard.Limits{MemoryBytes: 50_000_000, Descriptors: 400}})
	hostile, _ := f.node("a", nil)
	_, to := f.limitedNode("b", echoMux(), g.Port(guard.Peers, guard.Refusal{}))
	other, _ := f.node("c", nil)
	l, err := hostile.linkTo(to)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := l.connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for range streams {
		stream, err := connection.conn.OpenStreamSync(ctx)
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = stream.Write(make([]byte, messageBytes))
	}
	answered := false
	for deadline := time.Now().Add(time.Minute); !answered && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		_, err = Call[note](ctx, other, to, note{Text: "x"})
		if err != nil && !errors.Is(err, ErrNotSent) {
			t.Fatalf("refused message: %v, want ErrNotSent", err)
		}
		answered = err == nil
	}
	if !answered {
		t.Errorf("another peer got no answer: %v", err)
	}
	counts := g.Counts()
	if counts.BufferedBytes > counts.BudgetBytes {
		t.Errorf("%d bytes are held, more than the budget of %d", counts.BufferedBytes, counts.BudgetBytes)
	}
	if counts.Refused[guard.Streams.String()]+counts.Refused[guard.Memory.String()] == 0 {
		t.Error("no stream was refused")
	}
}
