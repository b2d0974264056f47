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
	Name           string         `cbor:"1,keyasint"`
	Domain         string         `cbor:"2,keyasint"`
	Region         string         `cbor:"3,keyasint"`
	CallersAddress netip.AddrPort `cbor:"4,keyasint"`
	PeerAddress    netip.AddrPort `cbor:"5,keyasint"`
	Leaving        bool           `cbor:"6,keyasint,omitempty"`
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
func (t *Tracker) receiveHeartbeat(name string, hb heartbeat, now time.Time) error {
	if hb.Name != name || name == t.opts.Name {
		return fmt.Errorf("heartbeat of VM %q received from VM %q", hb.Name, name)
	}
	if !hb.PeerAddress.IsValid() {
		return errors.New("heartbeat has no peer address")
	}
	t.mu.Lock()
	previous, known := t.heartbeats[name]
	if known && previous.heartbeat.Incarnation > hb.Incarnation {
		t.mu.Unlock()
		return errors.New("heartbeat is from an earlier process of the VM")
	}
	changed := !known || previous.heartbeat.state() != hb.state() || !previous.isLive(now)
	t.heartbeats[name] = receivedHeartbeat{heartbeat: hb, receivedAt: now}
	changed = t.addLeavingMarks(hb.LeavingMembers, now) || changed
	t.mu.Unlock()
	if changed {
		t.publish()
	}
	if hb.Generation > t.View().Generation {
		t.triggerSeatRefresh()
	}
	return nil
}

func (hb heartbeat) state() State {
	if hb.Leaving {
		return Leaving
	}
	return Live
}

// ownHeartbeat returns this VM's heartbeat.
func (t *Tracker) ownHeartbeat(now time.Time) heartbeat {
	hb := heartbeat{
		Name:           t.opts.Name,
		Domain:         t.opts.Domain,
		Region:         t.opts.Region,
		CallersAddress: t.opts.CallersAddress,
		PeerAddress:    t.opts.PeerAddress,
		Incarnation:    t.incarnation,
		PolicyVersion:  t.opts.PolicyVersion(),
		LeaseEpoch:     t.opts.LeaseEpoch(),
		Generation:     t.View().Generation,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	hb.Leaving = t.leaving
	hb.LeavingMembers = t.leavingMembers(now)
	return hb
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

func (s *heartbeatSender) loop(ctx context.Context) {
	triggered := false
	for {
		if triggered || s.due(time.Now()) {
			s.exchange(ctx)
		}
		timer := time.NewTimer(jitter(s.period()))
		triggered = false
		select {
		case <-timer.C:
		case <-s.trigger:
			triggered = true
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (s *heartbeatSender) period() time.Duration {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	h, known := s.tracker.heartbeats[s.to.Name]
	if known && h.heartbeat.Domain != s.tracker.opts.Domain {
		return CrossDomainHeartbeatPeriod
	}
	return HeartbeatPeriod
}

// due reports whether this VM starts the next exchange. Of two VMs, the one whose name sorts
// first starts the exchanges. The other one only does so if no heartbeat has arrived for
// one and a half periods.
func (s *heartbeatSender) due(now time.Time) bool {
	if s.tracker.opts.Name < s.to.Name {
		return true
	}
	s.tracker.mu.Lock()
	last := latest(s.startedAt, s.tracker.heartbeats[s.to.Name].receivedAt)
	s.tracker.mu.Unlock()
	return now.Sub(last) > 3*s.period()/2
}

func (s *heartbeatSender) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := peer.Call[heartbeat](ctx, s.tracker.opts.Peers, s.to, s.tracker.ownHeartbeat(time.Now()))
	if err != nil {
		return
	}
	// An answer from an earlier process or from another VM is dropped.
	_ = s.tracker.receiveHeartbeat(s.to.Name, answer, time.Now())
}
