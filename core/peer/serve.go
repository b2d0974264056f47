package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"tanagerstack.org/core/guard"
)

// acceptor accepts connections from peers.
type acceptor struct{ node *Node }

func (a *acceptor) run(ctx context.Context) {
	for {
		conn, err := a.node.listener.Accept(ctx)
		if err != nil {
			return
		}
		if err := a.node.opts.Port.Take(connectionCost, guard.Connections); err != nil {
			_ = conn.CloseWithError(1, "too many connections")
			continue
		}
		c, err := newConnection(a.node, conn, nil)
		if err != nil {
			a.node.opts.Port.Give(connectionCost)
			klog.ErrorS(err, "peer connection rejected", "address", conn.RemoteAddr())
			_ = conn.CloseWithError(1, "no name in the certificate")
			continue
		}
		c.cost = connectionCost
		go c.run(ctx)
	}
}

// beginExchange counts a message that is about to be handled. It returns false if the node is
// closing.
func (n *Node) beginExchange() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.serving.Add(1)
	return true
}

// incomingExchange handles one message of a peer and sends its answer.
type incomingExchange struct {
	connection *connection
	stream     *quic.Stream
	// room is what the exchange has taken of the byte budget.
	room *guard.Stream
}

func (x *incomingExchange) run(ctx context.Context) {
	node := x.connection.node
	defer node.serving.Done()
	defer x.connection.release()
	var err error
	if x.room, err = node.opts.Port.OpenStream(exchangeCost, x); err != nil {
		_ = x.Close()
		return
	}
	defer x.room.Close()
	answer, err := x.answer(ctx)
	if errors.Is(err, guard.ErrRefused) {
		_ = x.Close()
		return
	}
	if err != nil {
		x.stream.CancelRead(0)
		x.stream.CancelWrite(0)
		return
	}
	data, err := node.codec.encode(answer)
	if err != nil {
		data, _ = node.codec.encode(errorReply(err))
	}
	if err := x.stream.SetWriteDeadline(time.Now().Add(CallTimeout)); err != nil {
		x.stream.CancelWrite(0)
		return
	}
	if _, err := x.stream.Write(data); err != nil {
		x.stream.CancelWrite(0)
		return
	}
	_ = x.stream.Close()
}

// Close tells the peer that its message is not handled.
func (x *incomingExchange) Close() error {
	x.stream.CancelRead(streamNotHandled)
	x.stream.CancelWrite(streamNotHandled)
	return nil
}

// Read reads bytes of the message and takes them of the byte budget.
func (x *incomingExchange) Read(p []byte) (int, error) {
	n, err := x.stream.Read(p)
	if n > 0 {
		if refused := x.room.Received(n, n*messageCost); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// answer reads and handles the message. It returns an error only if the message cannot be read
// completely, because it was cut off or there is no room for it; such a message gets no answer.
func (x *incomingExchange) answer(ctx context.Context) (reply, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(CallTimeout)); err != nil {
		return reply{}, err
	}
	data, err := readAll(x)
	if err != nil {
		return reply{}, err
	}
	if err := x.room.Complete(); err != nil {
		return reply{}, err
	}
	message, err := decode[envelope](x.connection.node.codec, data)
	if err != nil {
		return reply{Code: CodeMalformed, Detail: err.Error()}, nil
	}
	if !time.Now().Before(message.Deadline) {
		return reply{Code: CodeExpired, Detail: "message arrived after its deadline"}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, message.Deadline)
	defer cancel()
	// The stream's context ends when the caller gives up or the connection ends.
	stop := context.AfterFunc(x.stream.Context(), cancel)
	defer stop()
	node := x.connection.node
	node.stats.Handled.Add(1)
	return node.opts.Mux.dispatch(ctx, node.codec, x.connection.peer, message), nil
}

// readAll reads a stream to its end. The error is a *SizeError if it exceeds MaxMessageBytes.
func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}
