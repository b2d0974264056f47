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
	// BeatPeriod is the time between heartbeats of two entry VMs of one failure domain.
	HeartbeatPeriod = 500 * time.Millisecond
	// FarBeatPeriod is that of two entry VMs of different failure domains.
	CrossDomainHeartbeatPeriod = time.Second
	// LiveFor is how long a VM counts as live after a heartbeat.
	LiveTimeout = 2 * time.Second

	heartbeatTimeout = time.Second
)

// beat is a heartbeat. The answer to it is the receiver's own, so that one
// exchange serves both.
type heartbeat struct {
	Name    string         `cbor:"1,keyasint"`
	Domain  string         `cbor:"2,keyasint"`
	Region  string         `cbor:"3,keyasint"`
	Callers netip.AddrPort `cbor:"4,keyasint"`
	Peer    netip.AddrPort `cbor:"5,keyasint"`
	Leaving bool           `cbor:"6,keyasint,omitempty"`
	// Incarnation grows with each start of the VM.
	Incarnation   int64 `cbor:"7,keyasint"`
	PolicyVersion int64 `cbor:"8,keyasint,omitempty"`
	LeaseEpoch    int64 `cbor:"9,keyasint,omitempty"`
	// Generation is that of the sender's stored roster.
	Generation int64 `cbor:"10,keyasint,omitempty"`
	// Leavers are targets and workers that are leaving.
	LeavingMembers []leavingMember `cbor:"11,keyasint,omitempty"`
}

// Kind names the message.
func (heartbeat) Kind() string { return "heartbeat" }

// leaver is a target or worker that gets no new work until an instant. Until
// then the platform's list has caught up, or else the mark is made again.
type leavingMember struct {
	Name  string    `cbor:"1,keyasint"`
	Until time.Time `cbor:"2,keyasint"`
}

// heard is what is known of another entry VM from its heartbeats.
type receivedHeartbeat struct {
	heartbeat  heartbeat
	receivedAt time.Time
}

func (h receivedHeartbeat) isLive(now time.Time) bool { return now.Sub(h.receivedAt) < LiveTimeout }

// Register adds the handler of heartbeats.
func (t *Tracker) Register(mux *peer.Mux) { peer.Handle(mux, t.answerHeartbeat) }

func (t *Tracker) answerHeartbeat(_ context.Context, from peer.Identity, message heartbeat) (heartbeat, error) {
	if err := t.receiveHeartbeat(from.Name, message, time.Now()); err != nil {
		return heartbeat{}, err
	}
	return t.ownHeartbeat(time.Now()), nil
}

// hear takes in a heartbeat of the VM called name.
func (t *Tracker) receiveHeartbeat(name string, b heartbeat, now time.Time) error {
	if b.Name != name || name == t.opts.Name {
		return fmt.Errorf("heartbeat of %q came from %q", b.Name, name)
	}
	if !b.Peer.IsValid() {
		return errors.New("heartbeat has no peer address")
	}
	t.mu.Lock()
	before, known := t.heartbeats[name]
	if known && before.heartbeat.Incarnation > b.Incarnation {
		t.mu.Unlock()
		return errors.New("heartbeat of an earlier instance")
	}
	changed := !known || before.heartbeat.state() != b.state() || !before.isLive(now)
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

// ownBeat is this VM's heartbeat.
func (t *Tracker) ownHeartbeat(now time.Time) heartbeat {
	b := heartbeat{
		Name:          t.opts.Name,
		Domain:        t.opts.Domain,
		Region:        t.opts.Region,
		Callers:       t.opts.Callers,
		Peer:          t.opts.Peer,
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

// beater exchanges heartbeats with one other entry VM.
type heartbeatSender struct {
	tracker *Tracker
	to      peer.Address
	// startedAt is when the beater began to wait for the other VM's part.
	startedAt time.Time
	trigger   chan struct{}
	cancel    context.CancelFunc
}

func (b *heartbeatSender) loop(ctx context.Context) {
	kicked := false
	for {
		if kicked || b.due(time.Now()) {
			b.exchange(ctx)
		}
		timer := time.NewTimer(jitter(b.period()))
		kicked = false
		select {
		case <-timer.C:
		case <-b.trigger:
			kicked = true
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

// due leaves the exchange to the VM whose name comes first, as long as it does
// its part.
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
	// An answer of an earlier instance or another VM is dropped.
	_ = b.tracker.receiveHeartbeat(b.to.Name, answer, time.Now())
}
