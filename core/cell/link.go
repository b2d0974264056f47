package cell

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
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
	// linkMargin is how much longer an order through a relay may take than one that is
	// sent from here: the way to another region and back, and a frame's pause each way.
	linkMargin = 300 * time.Millisecond
	// linkRetry is the wait before a broken link is opened again.
	linkRetry = 250 * time.Millisecond
)

// errLink means that an order got no answer through a link.
var errLink = errors.New("no answer through the relay")

// relayLink carries a leader's orders to one relay.
type relayLink struct {
	leader  *leader
	name    string
	address netip.AddrPort
	// capacity is how many workers the relay can carry.
	capacity int
	cancel   context.CancelFunc

	mu     sync.Mutex
	lastID uint64
	// orders collects what the next frame will carry; it is nil while the link is down.
	orders  *batch[relayOrder]
	waiting map[uint64]chan relayResult
}

var _ path = (*relayLink)(nil)

// run keeps the link open until ctx ends.
func (k *relayLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := k.open(ctx)
		if err == nil {
			err = k.serve(ctx, conn)
		}
		if ctx.Err() == nil {
			k.leader.node.opts.Logger.Warn("relay lost", "vm", k.name, "address", k.address, "error", err)
		}
		store.Sleep(ctx, linkRetry)
	}
}

// open asks the VM for a link.
func (k *relayLink) open(ctx context.Context) (*frameConn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.address.String())
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
	if err := c.conn.SetDeadline(time.Now().Add(silentAfter)); err != nil {
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
		return fmt.Errorf("vm %s answered %d", k.name, response.StatusCode)
	}
	return nil
}

// serve exchanges frames until the link breaks.
func (k *relayLink) serve(ctx context.Context, conn *frameConn) error {
	ctx, cancel := context.WithCancel(ctx)
	var writing sync.WaitGroup
	writing.Add(1)
	go (&task{call: k.up(conn).run, done: &writing}).run(ctx)
	closeOnEnd := context.AfterFunc(ctx, conn.close)
	defer closeOnEnd()
	k.leader.node.opts.Logger.Info("relay reached", "vm", k.name, "address", k.address)
	k.leader.dispatch.changed()
	var err error
	for err == nil {
		var frame resultFrame
		if frame, err = readFrame[resultFrame](conn); err == nil {
			k.answer(frame.Results)
		}
	}
	k.down()
	k.leader.dispatch.changed()
	cancel()
	conn.close()
	writing.Wait()
	return err
}

// up makes the link ready for orders and returns what sends them.
func (k *relayLink) up(conn *frameConn) *batchWriter[relayOrder, orderFrame] {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders = newBatch[relayOrder]()
	k.waiting = make(map[uint64]chan relayResult)
	return &batchWriter[relayOrder, orderFrame]{batch: k.orders, conn: conn, frame: frameOf}
}

// down answers all orders that are under way as unanswered.
func (k *relayLink) down() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders = nil
	for _, answer := range k.waiting {
		close(answer)
	}
	k.waiting = nil
}

// isUp reports whether orders can go through the link.
func (k *relayLink) isUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.orders != nil
}

// frameOf adds the specs that the orders need.
func frameOf(orders []relayOrder) orderFrame {
	frame := orderFrame{Orders: orders}
	for _, order := range orders {
		if order.Start == nil {
			continue
		}
		if frame.Specs == nil {
			frame.Specs = make(map[jobs.ID]jobs.Spec)
		}
		frame.Specs[order.Start.Task.Job] = order.spec
	}
	return frame
}

func (k *relayLink) answer(results []relayResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, result := range results {
		if answer, ok := k.waiting[result.ID]; ok {
			delete(k.waiting, result.ID)
			answer <- result
		}
	}
}

// send hands an order to the relay and waits for its answer. It reports whether the
// order may have been carried out.
func (k *relayLink) send(ctx context.Context, order relayOrder, timeout time.Duration) (result relayResult, sent bool, err error) {
	answer, id := k.queue(order)
	if answer == nil {
		return relayResult{}, false, fmt.Errorf("%w: the link to %s is down", errLink, k.name)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result, ok := <-answer:
		if !ok {
			return relayResult{}, true, fmt.Errorf("%w: the link to %s broke", errLink, k.name)
		}
		return result, true, nil
	case <-timer.C:
		err = fmt.Errorf("%w: %s has not answered in %s", errLink, k.name, timeout)
	case <-ctx.Done():
		err = ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
	return relayResult{}, true, err
}

// queue puts an order into the next frame. It returns nil while the link is down.
func (k *relayLink) queue(order relayOrder) (chan relayResult, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.orders == nil {
		return nil, 0
	}
	k.lastID++
	order.ID = k.lastID
	answer := make(chan relayResult, 1)
	k.waiting[order.ID] = answer
	k.orders.add(order)
	return answer, order.ID
}

// start implements path. An order without an answer may still be sent by the relay.
func (k *relayLink) start(ctx context.Context, s engine.Start) (engine.StartOutcome, bool, error) {
	order := relayOrder{spec: s.Spec, Start: &startOrder{
		Worker: s.Worker, Address: s.Address, Task: encodeTask(s.Task), Run: s.Run,
		Until: s.LeaseUntil, Fence: s.Fence, Ticket: s.Ticket, Checkpoint: s.Checkpoint,
	}}
	result, sent, err := k.send(ctx, order, startTimeout+linkMargin)
	switch {
	case err != nil && !sent:
		return engine.StartUnsent, false, err
	case err != nil:
		return engine.StartUnknown, true, err
	default:
		return result.Outcome, result.Repeated, result.err()
	}
}

// stop implements path.
func (k *relayLink) stop(ctx context.Context, s engine.Stop) error {
	order := relayOrder{Stop: &stopOrder{Worker: s.Worker, Address: s.Address, Task: encodeTask(s.Task), Run: s.Run, Fence: s.Fence}}
	result, _, err := k.send(ctx, order, stopTimeout+linkMargin)
	return errors.Join(err, result.err())
}

// look implements path.
func (k *relayLink) look(ctx context.Context, l engine.PollRequest, wait time.Duration) (engine.Report, error) {
	order := relayOrder{Look: &lookOrder{
		Worker: l.Worker, Address: l.Address, Fence: l.Fence, Until: l.LeaseUntil, Confirmed: l.AckedUpTo, Wait: wait,
	}}
	result, _, err := k.send(ctx, order, wait+lookMargin+linkMargin)
	if err := errors.Join(err, result.err()); err != nil {
		return engine.Report{}, err
	}
	if result.Report == nil {
		return engine.Report{}, fmt.Errorf("%w: no report", errLink)
	}
	return result.Report.decode(), nil
}

// err returns the failure that a relay tells of.
func (r relayResult) err() error {
	switch {
	case r.Superseded:
		return fmt.Errorf("%w: %s", ErrSuperseded, r.Problem)
	case r.Problem != "":
		return errors.New(r.Problem)
	default:
		return nil
	}
}
