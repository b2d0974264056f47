package cell

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

const (
	// linkMargin is how much longer a command through a relay may take than one that is sent
	// from this VM: a round trip to another region and a frame interval each way.
	linkMargin = 300 * time.Millisecond
	// linkRetryInterval is the wait before a broken link is opened again.
	linkRetryInterval = 250 * time.Millisecond
)

// errNoRelayAnswer means that a command got no answer through a link.
var errNoRelayAnswer = errors.New("no answer from relay")

// relayLink is a leader's link to one relay.
type relayLink struct {
	leader  *leader
	name    string
	address netip.AddrPort
	// capacity is the number of workers that the relay can serve.
	capacity int
	cancel   context.CancelFunc

	mu     sync.Mutex
	lastID uint64
	// commands collects what the next frame will carry; it is nil while the link is down.
	// pending holds the channels of the commands that wait for their answers, by command ID.
	commands *batch[relayCommand]
	pending  map[uint64]chan relayResult
}

var _ workerPath = (*relayLink)(nil)

// run keeps the link open until ctx ends.
func (k *relayLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := k.dial(ctx)
		if err == nil {
			err = k.serve(ctx, conn)
		}
		if ctx.Err() == nil {
			k.leader.node.opts.Logger.Warn("relay link failed", "vm", k.name, "address", k.address, "error", err)
		}
		store.Sleep(ctx, linkRetryInterval)
	}
}

// dial connects to the relay and opens a link.
func (k *relayLink) dial(ctx context.Context) (*frameConn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := k.leader.node.opts.Dial(ctx, "tcp", k.address.String())
	if err != nil {
		return nil, err
	}
	c := newFrameConn(conn, bufio.NewReader(conn), k.leader.node.opts.Meter)
	if err := k.handshake(c); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (k *relayLink) handshake(c *frameConn) error {
	if err := c.conn.SetDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+k.address.String()+pathRelay, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", relayProtocol)
	request.Header.Set(epochHeader, strconv.FormatInt(k.leader.epoch, 10))
	if err := request.Write(c.conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.in, request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("vm %s answered with status %d", k.name, response.StatusCode)
	}
	return nil
}

// serve exchanges frames until the link breaks or ctx ends.
func (k *relayLink) serve(ctx context.Context, conn *frameConn) error {
	ctx, cancel := context.WithCancel(ctx)
	var writing sync.WaitGroup
	writing.Add(1)
	go (&task{call: k.attach(conn).run, done: &writing}).run(ctx)
	closeOnEnd := context.AfterFunc(ctx, conn.close)
	defer closeOnEnd()
	k.leader.node.opts.Logger.Info("relay connected", "vm", k.name, "address", k.address)
	k.leader.dispatch.noteLinkChange()
	var err error
	for err == nil {
		var frame resultFrame
		if frame, err = readFrame[resultFrame](conn); err == nil {
			k.deliver(frame.Results)
		}
	}
	k.detach()
	k.leader.dispatch.noteLinkChange()
	cancel()
	conn.close()
	writing.Wait()
	return err
}

// attach marks the link as up and returns the writer of its commands.
func (k *relayLink) attach(conn *frameConn) *batchWriter[relayCommand, commandFrame] {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commands = newBatch[relayCommand]()
	k.pending = make(map[uint64]chan relayResult)
	return &batchWriter[relayCommand, commandFrame]{batch: k.commands, conn: conn, frame: newCommandFrame}
}

// detach marks the link as down and fails all pending commands.
func (k *relayLink) detach() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commands = nil
	for _, answer := range k.pending {
		close(answer)
	}
	k.pending = nil
}

// isUp reports whether commands can be sent through the link.
func (k *relayLink) isUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.commands != nil
}

// newCommandFrame returns a frame of commands with the specs that they need.
func newCommandFrame(commands []relayCommand) commandFrame {
	frame := commandFrame{Commands: commands}
	for _, command := range commands {
		if command.Start == nil {
			continue
		}
		if frame.Specs == nil {
			frame.Specs = make(map[jobs.ID]jobs.Spec)
		}
		frame.Specs[command.Start.Task.Job] = command.spec
	}
	return frame
}

func (k *relayLink) deliver(results []relayResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, result := range results {
		if answer, ok := k.pending[result.ID]; ok {
			delete(k.pending, result.ID)
			answer <- result
		}
	}
}

// send sends a command to the relay and waits for its answer. sent is false if the command
// cannot have been executed.
func (k *relayLink) send(ctx context.Context, command relayCommand, timeout time.Duration) (result relayResult, sent bool, err error) {
	answer, id := k.enqueue(command)
	if answer == nil {
		return relayResult{}, false, fmt.Errorf("%w: link to %s is down", errNoRelayAnswer, k.name)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result, ok := <-answer:
		if !ok {
			return relayResult{}, true, fmt.Errorf("%w: link to %s broke", errNoRelayAnswer, k.name)
		}
		return result, true, nil
	case <-timer.C:
		err = fmt.Errorf("%w: %s did not answer within %s", errNoRelayAnswer, k.name, timeout)
	case <-ctx.Done():
		err = ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
	return relayResult{}, true, err
}

// enqueue adds a command to the next frame and returns the channel of its answer and its ID.
// The channel is nil while the link is down.
func (k *relayLink) enqueue(command relayCommand) (chan relayResult, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.commands == nil {
		return nil, 0
	}
	k.lastID++
	command.ID = k.lastID
	answer := make(chan relayResult, 1)
	k.pending[command.ID] = answer
	k.commands.add(command)
	return answer, command.ID
}

// start implements workerPath. The relay may still send a command that got no answer.
func (k *relayLink) start(ctx context.Context, s engine.Start) (engine.StartOutcome, bool, error) {
	command := relayCommand{spec: s.Spec, Start: &startCommand{
		Worker: s.Worker, Address: s.Address, Task: encodeTask(s.Task), Run: s.Run,
		LeaseUntil: s.LeaseUntil, Fence: s.Fence, Ticket: s.Ticket, Checkpoint: s.Checkpoint,
	}}
	result, sent, err := k.send(ctx, command, startTimeout+linkMargin)
	switch {
	case err != nil && !sent:
		return engine.StartUnsent, false, err
	case err != nil:
		return engine.StartUnknown, true, err
	default:
		return result.Outcome, result.Repeated, result.err()
	}
}

// stop implements workerPath.
func (k *relayLink) stop(ctx context.Context, s engine.Stop) error {
	command := relayCommand{Stop: &stopCommand{Worker: s.Worker, Address: s.Address, Task: encodeTask(s.Task), Run: s.Run, Fence: s.Fence}}
	result, _, err := k.send(ctx, command, stopTimeout+linkMargin)
	return errors.Join(err, result.err())
}

// poll implements workerPath.
func (k *relayLink) poll(ctx context.Context, r engine.PollRequest, wait time.Duration) (engine.Report, error) {
	command := relayCommand{Poll: &pollCommand{
		Worker: r.Worker, Address: r.Address, Fence: r.Fence, LeaseUntil: r.LeaseUntil, AckedUpTo: r.AckedUpTo, Wait: wait,
	}}
	result, _, err := k.send(ctx, command, wait+pollMargin+linkMargin)
	if err := errors.Join(err, result.err()); err != nil {
		return engine.Report{}, err
	}
	if result.Report == nil {
		return engine.Report{}, fmt.Errorf("%w: answer without a report", errNoRelayAnswer)
	}
	return result.Report.decode(), nil
}

// err returns the error that a relay reports, or nil.
func (r relayResult) err() error {
	switch {
	case r.Superseded:
		return fmt.Errorf("%w: %s", ErrSuperseded, r.Error)
	case r.Error != "":
		return errors.New(r.Error)
	default:
		return nil
	}
}
