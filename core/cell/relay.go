package cell

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// The load that relays answer: a leader of a thousand workers would send and read a
// few thousand HTTP messages a second, more than the processor, the link and the
// descriptors of one VM carry. Other VMs, the relays, exchange those messages with the
// workers near them, and the leader exchanges frames of many orders with each relay.
// A relay decides nothing: each order comes from the engine, with its own fence, lease
// and life of the worker, so an order that a relay sends late is what an order is that
// the network brings late.

const (
	// relayProtocol is the protocol that a link asks for in place of HTTP.
	// Its number changes with the frames.
	relayProtocol = "tanager-relay-2"
	// epochHeader carries the epoch of the leader that opens a link.
	epochHeader = "Tanager-Epoch"
	// orderHold is how long a VM may hold an order before it sends it, or repeats it.
	// The leader has given it up by then.
	orderHold = time.Second
	// relayOrders bounds the orders that a relay works on for a link: a look at each of
	// its workers, and two full workers' starts beside them.
	relayOrders = 4096
)

// errHeld means that a relay has held an order for too long to send it.
var errHeld = errors.New("order held for too long")

// relaySession serves the orders of one leader until its link breaks.
type relaySession struct {
	node    *Node
	epoch   int64
	conn    *frameConn
	way     path
	results *batch[relayResult]
	// orders are the orders that are worked on.
	orders sync.WaitGroup
	slots  chan struct{}
}

// openRelay turns a request of a leader into a link.
func (s *peerServer) openRelay(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseInt(r.Header.Get(epochHeader), 10, 64)
	if err != nil || r.Header.Get("Upgrade") != relayProtocol {
		http.Error(w, "not a link of a leader", http.StatusBadRequest)
		return
	}
	if known := s.node.elector.current().Epoch; epoch < known {
		http.Error(w, fmt.Sprintf("epoch %d is in place", known), http.StatusConflict)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "connection cannot change its protocol", http.StatusInternalServerError)
		return
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		s.node.opts.Logger.Warn("link not opened", "error", err)
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", relayProtocol); err != nil {
		_ = conn.Close()
		return
	}
	session := &relaySession{
		node: s.node, epoch: epoch, conn: newFrameConn(conn, bufio.NewReader(buffered.Reader), s.node.opts.Meter),
		way: directWay{s.node.opts.Workers}, results: newBatch[relayResult](), slots: make(chan struct{}, relayOrders),
	}
	s.serve(session)
}

// serve runs a session until its link breaks, or a later leader opens one.
func (s *peerServer) serve(session *relaySession) {
	if !s.adopt(session) {
		session.conn.close()
		return
	}
	session.run(context.Background())
	s.drop(session)
}

// adopt makes a session known and ends those of earlier epochs. It reports false for
// a session of an epoch that has ended.
func (s *peerServer) adopt(session *relaySession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	for other := range s.sessions {
		if other.epoch > session.epoch {
			return false
		}
		if other.epoch < session.epoch {
			other.conn.close()
		}
	}
	s.sessions[session] = true
	return true
}

func (s *peerServer) drop(session *relaySession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// run reads orders until the link breaks.
func (s *relaySession) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s.node.opts.Logger.Info("relaying", "epoch", s.epoch, "leader", s.conn.conn.RemoteAddr().String())
	writer := &batchWriter[relayResult, resultFrame]{batch: s.results, conn: s.conn, frame: func(list []relayResult) resultFrame {
		return resultFrame{Results: list}
	}}
	s.orders.Add(1)
	go (&task{call: writer.run, done: &s.orders}).run(ctx)
	var err error
	for err == nil {
		var frame orderFrame
		if frame, err = readFrame[orderFrame](s.conn); err == nil {
			s.take(ctx, frame)
		}
	}
	s.conn.close()
	cancel()
	s.orders.Wait()
	s.node.opts.Logger.Info("relaying ended", "epoch", s.epoch, "error", err)
}

// take starts on the orders of a frame. Orders beyond what a relay can hold are
// answered as not sent.
func (s *relaySession) take(ctx context.Context, frame orderFrame) {
	now := time.Now()
	for _, order := range frame.Orders {
		select {
		case s.slots <- struct{}{}:
			s.orders.Add(1)
			go (&relayCall{session: s, order: order, spec: frame.specOf(order), took: now}).run(ctx)
		default:
			s.results.add(relayResult{ID: order.ID, Outcome: engine.StartUnsent, Problem: "relay holds too many orders"})
		}
	}
}

func (f *orderFrame) specOf(order relayOrder) jobs.Spec {
	if order.Start == nil {
		return jobs.Spec{}
	}
	return f.Specs[order.Start.Task.Job]
}

// relayCall carries out one order.
type relayCall struct {
	session *relaySession
	order   relayOrder
	spec    jobs.Spec
	took    time.Time
}

func (c *relayCall) run(ctx context.Context) {
	defer c.session.orders.Done()
	result := c.carryOut(ctx)
	result.ID = c.order.ID
	<-c.session.slots
	if ctx.Err() == nil {
		c.session.results.add(result)
	}
}

// carryOut sends the order, unless it was held for too long.
func (c *relayCall) carryOut(ctx context.Context) relayResult {
	if isHeld(c.took) {
		return relayResult{Outcome: engine.StartUnsent, Problem: errHeld.Error()}
	}
	switch {
	case c.order.Start != nil:
		outcome, repeated, err := c.session.way.start(ctx, c.order.Start.decode(c.spec))
		return relayResult{Outcome: outcome, Repeated: repeated, Problem: textOf(err)}
	case c.order.Stop != nil:
		err := c.session.way.stop(ctx, c.order.Stop.decode())
		return relayResult{Superseded: errors.Is(err, ErrSuperseded), Problem: textOf(err)}
	case c.order.Look != nil:
		report, err := c.session.way.look(ctx, c.order.Look.decode(), c.order.Look.Wait)
		result := relayResult{Superseded: errors.Is(err, ErrSuperseded), Problem: textOf(err)}
		if err == nil {
			result.Report = encodeReport(report)
		}
		return result
	default:
		return relayResult{Outcome: engine.StartUnsent, Problem: "order of an unknown kind"}
	}
}

// textOf returns an error's text, or nothing.
func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (o *startOrder) decode(spec jobs.Spec) engine.Start {
	return engine.Start{
		Destination: engine.Destination{Worker: o.Worker, Address: o.Address}, Task: o.Task.decode(), Run: o.Run, Spec: spec,
		LeaseUntil: o.Until, Fence: o.Fence, Ticket: o.Ticket, Checkpoint: o.Checkpoint,
	}
}

func (o *stopOrder) decode() engine.Stop {
	return engine.Stop{Destination: engine.Destination{Worker: o.Worker, Address: o.Address}, Task: o.Task.decode(), Run: o.Run, Fence: o.Fence}
}

func (o *lookOrder) decode() engine.PollRequest {
	return engine.PollRequest{
		Destination: engine.Destination{Worker: o.Worker, Address: o.Address}, Fence: o.Fence, LeaseUntil: o.Until, AckedUpTo: o.Confirmed,
	}
}

// batch collects what the next frame will carry.
type batch[T any] struct {
	mu   sync.Mutex
	list []T
	kick chan struct{}
}

func newBatch[T any]() *batch[T] { return &batch[T]{kick: make(chan struct{}, 1)} }

func (b *batch[T]) add(item T) {
	b.mu.Lock()
	b.list = append(b.list, item)
	b.mu.Unlock()
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

func (b *batch[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = nil
	return list
}

// batchWriter sends what a batch collects, and empty frames to keep the link alive.
type batchWriter[T, F any] struct {
	batch *batch[T]
	conn  *frameConn
	frame func([]T) F
}

// run sends until ctx ends or the link breaks, which its reader notices.
func (w *batchWriter[T, F]) run(ctx context.Context) {
	alive := time.NewTicker(keepAlive)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alive.C:
		case <-w.batch.kick:
		}
		if err := writeFrame(w.conn, w.frame(w.batch.take())); err != nil {
			w.conn.close()
			return
		}
		store.Sleep(ctx, framePause)
	}
}
