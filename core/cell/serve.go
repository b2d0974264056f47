package cell

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// peerServer answers other VMs.
type peerServer struct {
	node     *Node
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// sessions are the links that leaders have opened to this VM.
	sessions map[*relaySession]bool
	closed   bool
}

func newPeerServer(n *Node) (*peerServer, error) {
	listener, err := net.Listen("tcp", n.opts.PeerAddress.String())
	if err != nil {
		return nil, err
	}
	s := &peerServer{node: n, listener: listener, sessions: make(map[*relaySession]bool)}
	mux := http.NewServeMux()
	handle(s, mux, pathHello, s.hello)
	handle(s, mux, pathStatus, s.status)
	handle(s, mux, pathAsk, s.ask)
	handle(s, mux, pathNews, s.news)
	handle(s, mux, pathStore, s.store)
	mux.HandleFunc("POST "+pathRelay, s.openRelay)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: peerIdleTimeout}
	return s, nil
}

// run serves until the server is closed.
func (s *peerServer) run(context.Context) {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		s.node.opts.Logger.Warn("peer server ended", "error", err)
	}
}

// close ends the server and the links, which the server does not know anymore.
func (s *peerServer) close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for session := range s.sessions {
		session.conn.close()
	}
}

// handle registers what reads a question of a path, answers it and writes the reply.
func handle[Q, R any](s *peerServer, mux *http.ServeMux, path string, answer func(context.Context, Q) R) {
	meter := s.node.opts.Meter
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var question Q
		data, err := io.ReadAll(io.LimitReader(r.Body, peerBodyBytes))
		meter.Received(path, len(data))
		if err == nil {
			err = cbor.Unmarshal(data, &question)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := cbor.Marshal(answer(r.Context(), question))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		meter.Sent(path, len(body))
		_, _ = w.Write(body)
	})
}

func (s *peerServer) hello(_ context.Context, h hello) helloReply {
	l := s.node.leader()
	if l == nil {
		return helloReply{Epoch: s.node.elector.current().Epoch, Instance: s.node.instance}
	}
	if h.Epoch > l.epoch {
		s.node.elector.abandon(l.epoch, "a peer knows a later leader")
		return helloReply{Instance: s.node.instance}
	}
	return l.greet(h)
}

func (s *peerServer) news(_ context.Context, n news) newsReply {
	if l := s.node.leader(); l != nil {
		l.hear(n)
	}
	return newsReply{}
}

func (s *peerServer) status(_ context.Context, q statusQuestion) statusReply {
	l := s.node.leader()
	if l == nil {
		return statusReply{}
	}
	status := l.status(q.Job)
	return statusReply{Leading: true, Known: status.Known, State: status.State}
}

func (s *peerServer) ask(ctx context.Context, q adviceQuestion) adviceReply {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	answer, err := s.node.opts.Adviser.Advise(ctx, q.Step, q.Workers)
	if err != nil {
		return adviceReply{Problem: err.Error(), Overloaded: isOverloaded(err)}
	}
	return adviceReply{Answer: answer}
}
