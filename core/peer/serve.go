package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"
)

// acceptor takes connections from peers.
type acceptor struct{ node *Node }

func (a *acceptor) run(ctx context.Context) {
	for {
		conn, err := a.node.listener.Accept(ctx)
		if err != nil {
			return
		}
		go (&incoming{node: a.node, conn: conn}).run(ctx)
	}
}

// incoming is a connection that a peer opened.
type incoming struct {
	node *Node
	conn *quic.Conn
}

func (i *incoming) run(ctx context.Context) {
	if !i.node.track(i.conn) {
		_ = i.conn.CloseWithError(0, "shutdown")
	}
	defer i.node.untrack(i.conn)
	from, err := identify(i.conn)
	if err != nil {
		klog.ErrorS(err, "Refused a peer connection", "address", i.conn.RemoteAddr())
		_ = i.conn.CloseWithError(1, "no name in the certificate")
		return
	}
	for {
		stream, err := i.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if !i.node.enter() {
			stream.CancelRead(0)
			stream.CancelWrite(0)
			continue
		}
		go (&exchange{node: i.node, from: from, stream: stream}).run(ctx)
	}
}

// identify reads the peer's name from its verified certificate.
func identify(conn *quic.Conn) (Identity, error) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) == 0 {
		return Identity{}, errors.New("peer certificate has no DNS name")
	}
	return Identity{Name: certs[0].DNSNames[0]}, nil
}

// enter counts a new exchange, unless the node is closing.
func (n *Node) enter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.serving.Add(1)
	return true
}

// exchange is one message from a peer and its answer.
type exchange struct {
	node   *Node
	from   Identity
	stream *quic.Stream
}

func (x *exchange) run(ctx context.Context) {
	defer x.node.serving.Done()
	answer, err := x.answer(ctx)
	if err != nil {
		x.stream.CancelRead(0)
		x.stream.CancelWrite(0)
		return
	}
	data, err := x.node.codec.encode(answer)
	if err != nil {
		data, _ = x.node.codec.encode(errorReply(err))
	}
	if _, err := x.stream.Write(data); err != nil {
		x.stream.CancelWrite(0)
		return
	}
	_ = x.stream.Close()
}

// answer reads the message and handles it. It fails only where the message
// cannot be read to its end; a peer that cut it short gets no answer.
func (x *exchange) answer(ctx context.Context) (reply, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(CallTimeout)); err != nil {
		return reply{}, err
	}
	data, err := readAll(x.stream)
	if err != nil {
		return reply{}, err
	}
	message, err := decode[envelope](x.node.codec, data)
	if err != nil {
		return reply{Code: CodeMalformed, Detail: err.Error()}, nil
	}
	if !time.Now().Before(message.Deadline) {
		return reply{Code: CodeExpired, Detail: "the message arrived after its deadline"}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, message.Deadline)
	defer cancel()
	// The stream's context ends when the caller gives up or the connection dies.
	stop := context.AfterFunc(x.stream.Context(), cancel)
	defer stop()
	x.node.stats.Handled.Add(1)
	return x.node.opts.Mux.dispatch(ctx, x.node.codec, x.from, message), nil
}

// readAll reads a stream to its end, up to the size limit.
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
