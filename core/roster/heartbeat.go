package roster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"tanagerstack.org/core/peer"
)

const (
	// HeartbeatPeriod is the time between heartbeats of two entry VMs of the same failure domain.
	HeartbeatPeriod = 500 * time.Millisecond
	// CrossDomainHeartbeatPeriod is the time between heartbeats of two entry VMs of different
	// failure domains.
	CrossDomainHeartbeatPeriod = time.Second
	// LiveTimeout is how long a VM counts as live after its last heartbeat.
	LiveTimeout = 2 * time.Second

	heartbeatTimeout = time.Second
)

// heartbeat is the state that an entry VM reports to the others. The receiver replies
// with its own heartbeat, so that one exchange updates both VMs.
type heartbeat struct {
	Name    string         `cbor:"1,keyasint"`
	Domain  string         `cbor:"2,keyasint"`
	Region  string         `cbor:"3,keyasint"`
	Callers netip.AddrPort `cbor:"4,keyasint"`
	Peer    netip.AddrPort `cbor:"5,keyasint"`
	Leaving bool           `cbor:"6,keyasint,omitempty"`
	// Incarnation identifies the process of the VM and increases with each start.
	Incarnation   int64 `cbor:"7,keyasint"`
	PolicyVersion int64 `cbor:"8,keyasint,omitempty"`
	LeaseEpoch    int64 `cbor:"9,keyasint,omitempty"`
	// Generation is the generation of the stored roster that the sender knows.
	Generation int64 `cbor:"10,keyasint,omitempty"`
	// LeavingMembers are the targets and workers that the sender knows to be leaving.
	LeavingMembers []leavingMember `cbor:"11,keyasint,omitempty"`
}

// Kind returns the message kind.
func (heartbeat) Kind() string { return "heartbeat" }

// leavingMember is a target or worker that gets no new work before Until. By then the
// platform's list shows the member as leaving, or the mark is set again.
type leavingMember struct {
	Name  string    `cbor:"1,keyasint"`
	Until time.Time `cbor:"2,keyasint"`
}

// receivedHeartbeat is the last heartbeat of another entry VM.
type receivedHeartbeat struct {
	heartbeat  heartbeat
	receivedAt time.Time
}

func (h receivedHeartbeat) isLive(now time.Time) bool { return now.Sub(h.receivedAt) < LiveTimeout }

// Register adds the heartbeat handler to mux.
func (t *Tracker) Register(mux *peer.Mux) { peer.Handle(mux, t.answerHeartbeat) }

func (t *Tracker) answerHeartbeat(_ context.Context, from peer.Identity, message heartbeat) (heartbeat, error) {
	if err := t.receiveHeartbeat(from.Name, message, time.Now()); err != nil {
		return heartbeat{}, err
	}
	return t.ownHeartbeat(time.Now()), nil
}

// receiveHeartbeat records a heartbeat that arrived from the VM called name. It returns an
// error for a heartbeat of another VM or of an earlier process of the VM, and for one
// without a peer address.
func (t *Tracker) receiveHeartbeat(name string, b heartbeat, now time.Time) error {
	if b.Name != name || name == t.opts.Name {
		return fmt.Errorf("heartbeat of VM %q received from VM %q", b.Name, name)
	}
	if !b.Peer.IsValid() {
		return errors.New("heartbeat has no peer address")
	}
	t.mu.Lock()
	previous, known := t.heartbeats[name]
	if known && previous.heartbeat.Incarnation > b.Incarnation {
		t.mu.Unlock()
		return errors.New("heartbeat is from an earlier process of the VM")
	}
	changed := !known || previous.heartbeat.state() != b.state() || !previous.isLive(now)
	t.heartbeats[name] = receivedHeartbeat{heartbeat: b, receivedAt: now}
	changed = t.addLeavingMarks(b.LeavingMembers, now) || changed
	t.mu.Unlock()
	if changed {
		t.publish()
	}
	if b.Generation > t.View().Generation {
		t.triggerSeatRefresh()
	}
	return nil
}

func (b heartbeat) state() State {
	if b.Leaving {
		return Leaving
	}
	return Live
}

// ownHeartbeat returns this VM's heartbeat.
func (t *Tracker) ownHeartbeat(now time.Time) heartbeat {
	b := heartbeat{
		Name:          t.opts.Name,
		Domain:        t.opts.Domain,
		Region:        t.opts.Region,
		Callers:       t.opts.CallersAddress,
		Peer:          t.opts.PeerAddress,
		Incarnation:   t.incarnation,
		PolicyVersion: t.opts.PolicyVersion(),
		LeaseEpoch:    t.opts.LeaseEpoch(),
		Generation:    t.View().Generation,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b.Leaving = t.leaving
	b.LeavingMembers = t.leavingMembers(now)
	return b
}

// heartbeatSender exchanges heartbeats with one other entry VM. A send on trigger starts an
// exchange at once.
type heartbeatSender struct {
	tracker *Tracker
	to      peer.Address
	// startedAt counts as the time of the first heartbeat, so that due leaves the other VM
	// time to send it.
	startedAt time.Time
	trigger   chan struct{}
	cancel    context.CancelFunc
}

func (b *heartbeatSender) loop(ctx context.Context) {
	triggered := false
	for {
		if triggered || b.due(time.Now()) {
			b.exchange(ctx)
		}
		timer := time.NewTimer(jitter(b.period()))
		triggered = false
		select {
		case <-timer.C:
		case <-b.trigger:
			triggered = true
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (b *heartbeatSender) period() time.Duration {
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	h, known := b.tracker.heartbeats[b.to.Name]
	if known && h.heartbeat.Domain != b.tracker.opts.Domain {
		return CrossDomainHeartbeatPeriod
	}
	return HeartbeatPeriod
}

// due reports whether this VM starts the next exchange. Of two VMs, the one whose name sorts
// first starts the exchanges. The other one only does so if no heartbeat has arrived for
// one and a half periods.
func (b *heartbeatSender) due(now time.Time) bool {
	if b.tracker.opts.Name < b.to.Name {
		return true
	}
	b.tracker.mu.Lock()
	last := latest(b.startedAt, b.tracker.heartbeats[b.to.Name].receivedAt)
	b.tracker.mu.Unlock()
	return now.Sub(last) > 3*b.period()/2
}

func (b *heartbeatSender) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := peer.Call[heartbeat](ctx, b.tracker.opts.Peers, b.to, b.tracker.ownHeartbeat(time.Now()))
	if err != nil {
		return
	}
	// An answer from an earlier process or from another VM is dropped.
	_ = b.tracker.receiveHeartbeat(b.to.Name, answer, time.Now())
}
