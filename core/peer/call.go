package peer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/quic-go/quic-go"
)

// Call sends a message and waits for its answer until the deadline of ctx, or for CallTimeout if
// ctx has none. The deadline is sent with the message. The error wraps ErrNotSent or
// ErrNoAnswer, or is a *RemoteError.
func Call[A any](ctx context.Context, n *Node, to Address, q Message) (A, error) {
	var zero A
	n.stats.Calls.Add(1)
	body, err := n.call(ctx, to, q)
	if err != nil {
		n.stats.count(err)
		return zero, err
	}
	answer, err := decode[A](n.codec, body)
	if err != nil {
		return zero, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return answer, nil
}

func (s *Stats) count(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		s.NotSent.Add(1)
	case errors.Is(err, ErrNoAnswer):
		s.NoAnswer.Add(1)
	}
}

func (n *Node) call(ctx context.Context, to Address, q Message) ([]byte, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	data, err := n.encodeEnvelope(ctx, q)
	if err != nil {
		return nil, notSentError(to, err)
	}
	l, err := n.linkTo(to)
	if err != nil {
		return nil, notSentError(to, err)
	}
	connectCtx, cancelConnect := withConnectTimeout(ctx)
	defer cancelConnect()
	c, stream, err := l.openStream(connectCtx)
	if err != nil {
		return nil, notSentError(to, err)
	}
	defer c.release()
	answer, err := c.roundTrip(ctx, stream, data)
	if err != nil && provesNotHandled(stream, err) {
		return nil, notSentError(to, err)
	}
	if err != nil {
		return nil, fmt.Errorf("message %s to VM %s: %w: %w", q.Kind(), to.Name, ErrNoAnswer, err)
	}
	if answer.Code != "" {
		return nil, &RemoteError{Code: answer.Code, Detail: answer.Detail}
	}
	return answer.Body, nil
}

// connectTimeoutKey is the context key of WithConnectTimeout.
type connectTimeoutKey struct{}

// WithConnectTimeout returns a context that limits how long a call may take to get a live
// connection. A call that gets none in time fails with ErrNotSent, without waiting for its
// deadline.
func WithConnectTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectTimeoutKey{}, d)
}

func withConnectTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Value(connectTimeoutKey{}).(time.Duration); ok {
		return context.WithTimeout(ctx, d)
	}
	return context.WithCancel(ctx)
}

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, CallTimeout)
}

func notSentError(to Address, err error) error {
	return fmt.Errorf("message to VM %s: %w: %w", to.Name, ErrNotSent, err)
}

// encodeEnvelope returns the encoded envelope of a message.
func (n *Node) encodeEnvelope(ctx context.Context, q Message) ([]byte, error) {
	body, err := n.codec.encode(q)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	return n.codec.encode(envelope{Kind: q.Kind(), Deadline: deadline, Body: body})
}

// openStream returns a stream on a live connection. A connection that has been idle for longer
// than PingAfter has to answer a ping first, so that no message is lost on a dead one. The
// caller must release the connection.
func (l *link) openStream(ctx context.Context) (*connection, *quic.Stream, error) {
	for {
		c, err := l.connect(ctx)
		if err != nil {
			return nil, nil, err
		}
		stream, err := c.openLiveStream(ctx)
		if err == nil {
			return c, stream, nil
		}
		c.markSuspect()
		c.release()
		if ctx.Err() != nil {
			return nil, nil, errors.Join(ctx.Err(), err)
		}
	}
}

func (c *connection) openLiveStream(ctx context.Context) (*quic.Stream, error) {
	if c.idleTime() > PingAfter {
		if err := c.checkAlive(ctx); err != nil {
			return nil, err
		}
	}
	return c.conn.OpenStreamSync(ctx)
}

// checkAlive sends a ping and waits for its answer, for SuspectAfter at most.
func (c *connection) checkAlive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, SuspectAfter)
	defer cancel()
	data, err := c.node.encodeEnvelope(ctx, ping{})
	if err != nil {
		return err
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_, err = c.roundTrip(ctx, stream, data)
	return err
}

// roundTrip writes an encoded envelope and reads the answer.
func (c *connection) roundTrip(ctx context.Context, stream *quic.Stream, data []byte) (reply, error) {
	canceler := &streamCanceler{stream: stream}
	stop := context.AfterFunc(ctx, canceler.cancel)
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetWriteDeadline(deadline); err != nil {
			return reply{}, err
		}
	}
	sentAt := time.Now()
	reader := &answerReader{ctx: ctx, connection: c, stream: stream, packets: c.packetsReceived(), readTimeout: SuspectAfter}
	if _, err := stream.Write(data); err != nil {
		canceler.cancel()
		return reply{}, err
	}
	if err := stream.Close(); err != nil {
		canceler.cancel()
		return reply{}, err
	}
	answer, err := readAll(reader)
	if err != nil {
		canceler.cancel()
		c.markUnanswered(sentAt)
		return reply{}, err
	}
	c.markActive()
	return decode[reply](c.node.codec, answer)
}

// streamCanceler cancels a stream, which tells the peer that its answer is no longer needed.
type streamCanceler struct{ stream *quic.Stream }

func (s *streamCanceler) cancel() {
	s.stream.CancelRead(0)
	s.stream.CancelWrite(0)
}

// answerReader reads an answer and checks that packets arrive in the meantime. The peer's QUIC
// stack acknowledges a message at once, regardless of how long the handler takes, and sends
// keep-alives afterwards. If no packet arrives, the connection is dead.
type answerReader struct {
	ctx        context.Context
	connection *connection
	stream     *quic.Stream
	// packets is the number of packets received by the last check.
	packets uint64
	// readTimeout is how long a live connection may receive no packet from now on.
	readTimeout time.Duration
}

// Read reads bytes of the answer. It fails if the context or the connection ends.
func (r *answerReader) Read(p []byte) (int, error) {
	for {
		if err := r.stream.SetReadDeadline(time.Now().Add(r.readTimeout)); err != nil {
			return 0, err
		}
		count, err := r.stream.Read(p)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		if err := r.ctx.Err(); err != nil {
			return 0, err
		}
		r.checkLiveness()
	}
}

// checkLiveness marks the connection as suspect if no packet has arrived since the last check.
func (r *answerReader) checkLiveness() {
	packets := r.connection.packetsReceived()
	if packets == r.packets {
		r.connection.markSuspect()
		return
	}
	r.packets = packets
	r.readTimeout = keepAlivePeriod + SuspectAfter
}
