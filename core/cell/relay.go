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

// A leader of a thousand workers would exchange a few thousand HTTP messages a second, which
// exceeds the processor, the bandwidth and the file descriptors of one VM. Instead, other VMs,
// the relays, exchange these messages with the workers near them, and the leader exchanges
// frames of many commands with each relay. A relay makes no decisions: each command comes from
// the engine with its own fencing token, lease and worker incarnation. So a command that a
// relay sends late has the same effect as one that the network delivers late.

const (
	// relayProtocol is the protocol that a link uses instead of HTTP. Its number changes with
	// the format of the frames.
	relayProtocol = "tanager-relay-3"
	// epochHeader carries the epoch of the leader that opens a link.
	epochHeader = "Tanager-Epoch"
	// maxCommandAge is how long a VM may hold a command before it sends or repeats it. After
	// that time the leader has given the command up.
	maxCommandAge = time.Second
	// maxRelayCommands bounds the commands that a relay executes at once for a link: a poll of
	// each of its workers, and the starts of two fully used workers.
	maxRelayCommands = 4096
	// maxSessions bounds the links that are open to a relay. A leader opens one, and its predecessor's
	// may not have ended yet.
	maxSessions = 16
)

// errCommandTooOld means that a relay has held a command for longer than maxCommandAge.
var errCommandTooOld = errors.New("command too old to be sent")

// relaySession executes the commands of one leader until its link breaks.
type relaySession struct {
	node    *Node
	epoch   int64
	conn    *frameConn
	path    workerPath
	results *batch[relayResult]
	// running waits for the commands that are being executed and for the writer of the results.
	running sync.WaitGroup
	slots   chan struct{}
}

// openRelay upgrades a leader's request to a link.
func (s *peerServer) openRelay(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseInt(r.Header.Get(epochHeader), 10, 64)
	if err != nil || r.Header.Get("Upgrade") != relayProtocol {
		http.Error(w, "not a valid relay handshake", http.StatusBadRequest)
		return
	}
	if known := s.node.elector.current().Epoch; epoch < known {
		http.Error(w, fmt.Sprintf("superseded by epoch %d", known), http.StatusConflict)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "connection cannot be hijacked", http.StatusInternalServerError)
		return
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		s.node.opts.Logger.Warn("relay link not opened", "error", err)
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", relayProtocol); err != nil {
		_ = conn.Close()
		return
	}
	session := &relaySession{
		node: s.node, epoch: epoch, conn: newFrameConn(conn, bufio.NewReader(buffered.Reader), s.node.opts.Meter),
		path: directPath{s.node.opts.Workers}, results: newBatch[relayResult](), slots: make(chan struct{}, maxRelayCommands),
	}
	s.serve(session)
}

// serve runs a session until its link breaks or a later leader opens a link.
func (s *peerServer) serve(session *relaySession) {
	if !s.register(session) {
		session.conn.close()
		return
	}
	session.run(context.Background())
	s.unregister(session)
}

// register adds a session and closes those of earlier epochs. It returns false if the session's
// epoch is superseded, there are maxSessions already, or the server is closed.
func (s *peerServer) register(session *relaySession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.sessions) >= maxSessions {
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

func (s *peerServer) unregister(session *relaySession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// run executes commands until the link breaks.
func (s *relaySession) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s.node.opts.Logger.Info("relaying", "epoch", s.epoch, "leader", s.conn.conn.RemoteAddr().String())
	writer := &batchWriter[relayResult, resultFrame]{batch: s.results, conn: s.conn, frame: func(list []relayResult) resultFrame {
		return resultFrame{Results: list}
	}}
	s.running.Add(1)
	go (&task{call: writer.run, done: &s.running}).run(ctx)
	var err error
	for err == nil {
		var frame commandFrame
		if frame, err = readFrame[commandFrame](s.conn); err == nil {
			s.accept(ctx, frame)
		}
	}
	s.conn.close()
	cancel()
	s.running.Wait()
	s.node.opts.Logger.Info("relaying ended", "epoch", s.epoch, "error", err)
}

// accept starts the commands of a frame. Commands beyond maxRelayCommands are answered as not
// sent.
func (s *relaySession) accept(ctx context.Context, frame commandFrame) {
	now := time.Now()
	for _, command := range frame.Commands {
		select {
		case s.slots <- struct{}{}:
			s.running.Add(1)
			go (&relayCall{session: s, command: command, spec: frame.specOf(command), receivedAt: now}).run(ctx)
		default:
			s.results.add(relayResult{ID: command.ID, Outcome: engine.StartUnsent, Error: "relay has too many commands"})
		}
	}
}

func (f *commandFrame) specOf(command relayCommand) jobs.Spec {
	if command.Start == nil {
		return jobs.Spec{}
	}
	return f.Specs[command.Start.Task.Job]
}

// relayCall executes one command.
type relayCall struct {
	session    *relaySession
	command    relayCommand
	spec       jobs.Spec
	receivedAt time.Time
}

func (c *relayCall) run(ctx context.Context) {
	defer c.session.running.Done()
	result := c.execute(ctx)
	result.ID = c.command.ID
	<-c.session.slots
	if ctx.Err() == nil {
		c.session.results.add(result)
	}
}

// execute sends the command, unless it is too old.
func (c *relayCall) execute(ctx context.Context) relayResult {
	if isStale(c.receivedAt) {
		return relayResult{Outcome: engine.StartUnsent, Error: errCommandTooOld.Error()}
	}
	switch {
	case c.command.Start != nil:
		outcome, repeated, err := c.session.path.start(ctx, c.command.Start.decode(c.spec))
		return relayResult{Outcome: outcome, Repeated: repeated, Error: errorText(err)}
	case c.command.Stop != nil:
		err := c.session.path.stop(ctx, c.command.Stop.decode())
		return relayResult{Superseded: errors.Is(err, ErrSuperseded), Error: errorText(err)}
	case c.command.Poll != nil:
		report, err := c.session.path.poll(ctx, c.command.Poll.decode(), c.command.Poll.Wait)
		result := relayResult{Superseded: errors.Is(err, ErrSuperseded), Error: errorText(err)}
		if err == nil {
			result.Report = encodeReport(report)
		}
		return result
	default:
		return relayResult{Outcome: engine.StartUnsent, Error: "command of unknown kind"}
	}
}

// errorText returns the text of an error, or the empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *startCommand) decode(spec jobs.Spec) engine.Start {
	return engine.Start{
		Destination: engine.Destination{Worker: c.Worker, Address: c.Address}, Task: c.Task.decode(), Run: c.Run, Spec: spec,
		LeaseUntil: c.LeaseUntil, Fence: c.Fence, Ticket: c.Ticket, Checkpoint: c.Checkpoint,
	}
}

func (c *stopCommand) decode() engine.Stop {
	return engine.Stop{Destination: engine.Destination{Worker: c.Worker, Address: c.Address}, Task: c.Task.decode(), Run: c.Run, Fence: c.Fence}
}

func (c *pollCommand) decode() engine.PollRequest {
	return engine.PollRequest{
		Destination: engine.Destination{Worker: c.Worker, Address: c.Address}, Fence: c.Fence, LeaseUntil: c.LeaseUntil, AckedUpTo: c.AckedUpTo,
	}
}

// batch collects what the next frame will carry.
type batch[T any] struct {
	mu   sync.Mutex
	list []T
	wake chan struct{}
}

func newBatch[T any]() *batch[T] { return &batch[T]{wake: make(chan struct{}, 1)} }

func (b *batch[T]) add(item T) {
	b.mu.Lock()
	b.list = append(b.list, item)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batch[T]) drain() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = nil
	return list
}

// batchWriter writes the items of a batch in frames, and empty frames to keep the link alive.
type batchWriter[T, F any] struct {
	batch *batch[T]
	conn  *frameConn
	frame func([]T) F
}

// run writes frames until ctx ends or a write fails. Then it closes the connection, which ends
// the reader of the link too.
func (w *batchWriter[T, F]) run(ctx context.Context) {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alive.C:
		case <-w.batch.wake:
		}
		if err := writeFrame(w.conn, w.frame(w.batch.drain())); err != nil {
			w.conn.close()
			return
		}
		store.Sleep(ctx, frameInterval)
	}
}
