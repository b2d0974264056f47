package cell

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/guard"
)

// peerServer serves the messages of other VMs.
type peerServer struct {
	node     *Node
	listener net.Listener
	server   *http.Server

	// decoding is held while a long message is decoded.
	decoding sync.Mutex

	mu sync.Mutex
	// sessions are the links that leaders have opened to this VM.
	sessions map[*relaySession]bool
	closed   bool
}

func newPeerServer(n *Node) (*peerServer, error) {
	port := n.opts.Guard.Port(guard.Peers, guard.Refusal{})
	listener, err := port.Listen(n.opts.PeerAddress.String())
	if err != nil {
		return nil, err
	}
	s := &peerServer{node: n, listener: listener, sessions: make(map[*relaySession]bool)}
	mux := http.NewServeMux()
	handle(s, mux, pathHello, s.hello)
	handle(s, mux, pathStatus, s.status)
	handle(s, mux, pathAdvice, s.advise)
	handle(s, mux, pathRowUpdate, s.rowUpdate)
	handle(s, mux, pathStore, s.proxyStore)
	handle(s, mux, pathTerm, s.confirmTerm)
	mux.HandleFunc("POST "+pathRelay, s.openRelay)
	s.server = port.Wrap(&http.Server{
		Handler: mux, ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: 2 * peerIdleTimeout, MaxHeaderBytes: maxPeerHeaderBytes,
	})
	return s, nil
}

// run serves until the server is closed.
func (s *peerServer) run(context.Context) {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		s.node.opts.Logger.Warn("peer server failed", "error", err)
	}
}

// close closes the server and the links, which http.Server does not track after they were
// hijacked.
func (s *peerServer) close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for session := range s.sessions {
		session.conn.close()
	}
}

// handle registers a handler that decodes a message of a path, passes it to answer and sends
// the reply.
func handle[Q, R any](s *peerServer, mux *http.ServeMux, path string, answer func(context.Context, Q) R) {
	meter := s.node.opts.Meter
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var message Q
		data, err := io.ReadAll(io.LimitReader(r.Body, maxPeerMessageBytes+1))
		meter.Received(path, len(data))
		if err == nil && len(data) > maxPeerMessageBytes {
			err = errMessageTooLong
		}
		if err == nil {
			err = s.decode(data, &message)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := cbor.Marshal(answer(r.Context(), message))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		meter.Sent(path, len(body))
		_, _ = w.Write(body)
	})
}

// errMessageTooLong means that a message exceeds maxPeerMessageBytes.
var errMessageTooLong = errors.New("message too long")

// messageDecoder bounds the lists of a message, since an empty element takes one byte on the wire
// and up to a hundred when decoded.
var messageDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxListElements, MaxMapPairs: maxListElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decode decodes a message. Long ones are decoded one at a time, so that what they grow to is
// bounded.
func (s *peerServer) decode(data []byte, message any) error {
	if len(data) > longMessageBytes {
		s.decoding.Lock()
		defer s.decoding.Unlock()
	}
	return messageDecoder.Unmarshal(data, message)
}

func (s *peerServer) hello(_ context.Context, h hello) helloReply {
	l := s.node.leader()
	if l == nil {
		return helloReply{Epoch: s.node.elector.current().Epoch, Instance: s.node.instance}
	}
	if h.Epoch > l.epoch {
		s.node.elector.abandon(l.epoch, "a peer knows a later epoch")
		return helloReply{Instance: s.node.instance}
	}
	return l.handleHello(h)
}

func (s *peerServer) rowUpdate(_ context.Context, update rowUpdate) rowUpdateReply {
	if l := s.node.leader(); l != nil {
		l.handleRowUpdate(update)
	}
	return rowUpdateReply{}
}

func (s *peerServer) status(_ context.Context, request statusRequest) statusReply {
	l := s.node.leader()
	if l == nil {
		return statusReply{}
	}
	return l.statusReply(request.Job)
}

func (s *peerServer) advise(ctx context.Context, request adviceRequest) adviceReply {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	answer, err := s.node.opts.Adviser.Advise(ctx, request.Step, request.Workers)
	if err != nil {
		return adviceReply{Error: err.Error(), Overloaded: isOverloaded(err)}
	}
	return adviceReply{Advice: answer}
}
