package cell

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// The paths of the exchanges between VMs. Bodies are CBOR.
const (
	pathHello  = "/peer/hello"
	pathStatus = "/peer/status"
	pathAsk    = "/peer/ask"
	pathNews   = "/peer/news"
)

const (
	// helloEvery is how often a VM reports to the leader.
	helloEvery = 400 * time.Millisecond
	// helloTimeout bounds a report; helperFresh is how old the last report of a
	// VM may be for questions to go through it.
	helloTimeout = 700 * time.Millisecond
	helperFresh  = 1500 * time.Millisecond
	// newsTimeout bounds the message about a row that was just stored; the leader's
	// feed brings the row as well.
	newsTimeout = 500 * time.Millisecond
	// statusTimeout bounds a question about a job, after which the store is read.
	statusTimeout = 400 * time.Millisecond
	// peerDialTimeout bounds a new connection: a region away takes 24 ms.
	peerDialTimeout = 400 * time.Millisecond
	peerIdleTimeout = 20 * time.Second
	peerConnections = 64
	// peerBodyBytes bounds a message.
	peerBodyBytes = 1 << 20
)

// hello is what a VM reports to the leader.
type hello struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Epoch is the latest leadership that the VM has heard of.
	Epoch int64 `cbor:"3,keyasint"`
}

// helloReply is what the leader answers.
type helloReply struct {
	Leading bool           `cbor:"1,keyasint"`
	Epoch   int64          `cbor:"2,keyasint"`
	Pending map[string]int `cbor:"3,keyasint"`
	// Instance identifies the process that answers.
	Instance string `cbor:"4,keyasint"`
}

// news is a row of the table of jobs that was just stored.
type news struct {
	Row storedRow `cbor:"1,keyasint"`
}

type storedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

type newsReply struct{}

type statusQuestion struct {
	Job jobs.ID `cbor:"1,keyasint"`
}

type statusReply struct {
	Leading bool       `cbor:"1,keyasint"`
	Known   bool       `cbor:"2,keyasint"`
	State   jobs.State `cbor:"3,keyasint"`
}

type adviceQuestion struct {
	Step    jobs.StepID   `cbor:"1,keyasint"`
	Workers []string      `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint"`
}

type adviceReply struct {
	Answer     Answer `cbor:"1,keyasint"`
	Overloaded bool   `cbor:"2,keyasint"`
	Problem    string `cbor:"3,keyasint"`
}

// peerClient sends messages to other VMs.
type peerClient struct {
	http *http.Client
}

func newPeerClient() *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}}}
}

// exchange sends a question and reads its reply. A call that times out closes
// its connection, so that one that has gone silent is not used again.
func exchange[Q, R any](ctx context.Context, c *peerClient, to netip.AddrPort, path string, question Q) (R, error) {
	var reply R
	body, err := cbor.Marshal(question)
	if err != nil {
		return reply, fmt.Errorf("encode %T: %w", question, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, peerBodyBytes))
	if err != nil {
		return reply, fmt.Errorf("peer %s: %w", to, err)
	}
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s answered %d", to, response.StatusCode)
	}
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode %T: %w", reply, err)
	}
	return reply, nil
}

// peerServer answers other VMs.
type peerServer struct {
	node     *Node
	listener net.Listener
	server   *http.Server
}

func newPeerServer(n *Node) (*peerServer, error) {
	listener, err := net.Listen("tcp", n.opts.Peers.String())
	if err != nil {
		return nil, err
	}
	s := &peerServer{node: n, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathHello, handle(s.hello))
	mux.HandleFunc("POST "+pathStatus, handle(s.status))
	mux.HandleFunc("POST "+pathAsk, handle(s.ask))
	mux.HandleFunc("POST "+pathNews, handle(s.news))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: peerIdleTimeout}
	return s, nil
}

// run serves until the server is closed.
func (s *peerServer) run(context.Context) {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		s.node.opts.Logger.Warn("peer server ended", "error", err)
	}
}

func (s *peerServer) close() { _ = s.server.Close() }

// handle reads a question, answers it and writes the reply.
func handle[Q, R any](answer func(context.Context, Q) R) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var question Q
		data, err := io.ReadAll(io.LimitReader(r.Body, peerBodyBytes))
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
		_, _ = w.Write(body)
	}
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
	answer, err := s.node.opts.Adviser.Ask(ctx, q.Step, q.Workers)
	if err != nil {
		return adviceReply{Problem: err.Error(), Overloaded: isOverloaded(err)}
	}
	return adviceReply{Answer: answer}
}

// tellLeader passes a row on without waiting, so that the leader need not wait for
// its feed. A message that is lost costs only that time.
func (n *Node) tellLeader(message news) {
	if l := n.leader(); l != nil {
		l.hear(message)
		return
	}
	if row := n.elector.current(); row.Address.IsValid() && !row.Released {
		go (&newsCall{node: n, to: row.Address, news: message}).run()
	}
}

// newsCall sends one message to the leader.
type newsCall struct {
	node *Node
	to   netip.AddrPort
	news news
}

func (c *newsCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	if _, err := exchange[news, newsReply](ctx, c.node.peers, c.to, pathNews, c.news); err != nil {
		c.node.opts.Logger.Warn("leader not told", "key", c.news.Row.Key, "leader", c.to, "error", err)
	}
}

// hear takes in a row before the feed brings it. Before the stored jobs are read
// it is left to the feed, which keeps the order. So it is while the store does not
// answer: another VM may have taken over since.
func (l *leader) hear(n news) {
	if !l.node.elector.inContact() {
		l.node.opts.Logger.Info("news left to the feed", "key", n.Row.Key, "why", "the store does not answer")
		return
	}
	l.mu.Lock()
	loaded := l.loaded
	l.mu.Unlock()
	if loaded {
		l.takeIn([]store.Row{{Table: JobsTable, Key: n.Row.Key, Version: n.Row.Version, Value: n.Row.Value}}, nil)
	}
}

// greet takes in a VM's report.
func (l *leader) greet(h hello) helloReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.helpers[h.Name] = &helperVM{hello: h, seenAt: time.Now()}
	return helloReply{Leading: true, Epoch: l.epoch, Pending: l.pendingLocked(), Instance: l.node.instance}
}

func (l *leader) status(id jobs.ID) engine.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.Status(id)
}

// reportHelpers tells the engine which VMs can ask the adviser.
func (l *leader) reportHelpers() {
	now := time.Now()
	names := []string{l.node.opts.Name}
	l.mu.Lock()
	for name, vm := range l.helpers {
		if now.Sub(vm.seenAt) > helperFresh {
			delete(l.helpers, name)
			l.node.opts.Logger.Warn("vm lost", "vm", name, "last-seen", now.Sub(vm.seenAt))
			continue
		}
		if name != l.node.opts.Name {
			names = append(names, name)
		}
	}
	l.mu.Unlock()
	l.apply(engine.HelpersChanged{Names: names})
}

// askThrough passes a question to the VM that is to ask it.
func (l *leader) askThrough(ctx context.Context, ask engine.Ask) (Answer, error) {
	if ask.Helper == l.node.opts.Name {
		return l.node.opts.Adviser.Ask(ctx, ask.Step, ask.Workers)
	}
	l.mu.Lock()
	vm := l.helpers[ask.Helper]
	l.mu.Unlock()
	if vm == nil {
		return Answer{}, fmt.Errorf("vm %s is gone", ask.Helper)
	}
	question := adviceQuestion{Step: ask.Step, Workers: ask.Workers, Timeout: 2*ask.Cost + askMargin}
	reply, err := exchange[adviceQuestion, adviceReply](ctx, l.node.peers, vm.hello.Address, pathAsk, question)
	switch {
	case err != nil:
		return Answer{}, err
	case reply.Overloaded:
		return Answer{}, ErrOverloaded
	case reply.Problem != "":
		return Answer{}, fmt.Errorf("vm %s: %s", ask.Helper, reply.Problem)
	default:
		return reply.Answer, nil
	}
}

// runHello reports to the leader until ctx ends.
func (n *Node) runHello(ctx context.Context) {
	for sleep(ctx, helloEvery) {
		row := n.elector.current()
		if !row.Address.IsValid() || row.Released {
			continue
		}
		if l := n.leader(); l != nil {
			if counts := l.pending(); counts != nil {
				n.notePending(counts)
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		reply, err := exchange[hello, helloReply](callCtx, n.peers, row.Address, pathHello, hello{Name: n.opts.Name, Address: n.opts.Peers, Epoch: row.Epoch})
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.elector.holderGone(row.Instance, "no process listens at its address")
		}
		if err == nil && reply.Instance != row.Instance {
			n.elector.holderGone(row.Instance, "another process answers at its address")
		}
		if err != nil {
			n.opts.Logger.Warn("leader not reached", "leader", row.Holder, "epoch", row.Epoch, "error", err)
			continue
		}
		if reply.Leading && reply.Pending != nil {
			n.notePending(reply.Pending)
		}
	}
}

func (l *leader) pending() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pendingLocked()
}

// pendingLocked returns the counts of all queues, or nil before the jobs are
// read; l.mu is held.
func (l *leader) pendingLocked() map[string]int {
	if !l.loaded {
		return nil
	}
	return l.engine.Pending()
}

func (n *Node) notePending(counts map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending, n.pendingAt = counts, time.Now()
}
