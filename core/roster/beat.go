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
	BeatPeriod = 500 * time.Millisecond
	// FarBeatPeriod is that of two entry VMs of different failure domains.
	FarBeatPeriod = time.Second
	// LiveFor is how long a VM counts as live after a heartbeat.
	LiveFor = 2 * time.Second

	beatTimeout = time.Second
)

// beat is a heartbeat. The answer to it is the receiver's own, so that one
// exchange serves both.
type beat struct {
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
	Leavers []leaver `cbor:"11,keyasint,omitempty"`
}

// Kind names the message.
func (beat) Kind() string { return "heartbeat" }

// leaver is a target or worker that gets no new work until an instant. Until
// then the platform's list has caught up, or else the mark is made again.
type leaver struct {
	Name  string    `cbor:"1,keyasint"`
	Until time.Time `cbor:"2,keyasint"`
}

// heard is what is known of another entry VM from its heartbeats.
type heard struct {
	beat beat
	at   time.Time
}

func (h heard) live(now time.Time) bool { return now.Sub(h.at) < LiveFor }

// Register adds the handler of heartbeats.
func (t *Tracker) Register(mux *peer.Mux) { peer.Handle(mux, t.answerBeat) }

func (t *Tracker) answerBeat(_ context.Context, from peer.Identity, message beat) (beat, error) {
	if err := t.hear(from.Name, message, time.Now()); err != nil {
		return beat{}, err
	}
	return t.ownBeat(time.Now()), nil
}

// hear takes in a heartbeat of the VM called name.
func (t *Tracker) hear(name string, b beat, now time.Time) error {
	if b.Name != name || name == t.opts.Name {
		return fmt.Errorf("heartbeat of %q came from %q", b.Name, name)
	}
	if !b.Peer.IsValid() {
		return errors.New("heartbeat has no peer address")
	}
	t.mu.Lock()
	before, known := t.heard[name]
	if known && before.beat.Incarnation > b.Incarnation {
		t.mu.Unlock()
		return errors.New("heartbeat of an earlier instance")
	}
	changed := !known || before.beat.state() != b.state() || !before.live(now)
	t.heard[name] = heard{beat: b, at: now}
	changed = t.mark(b.Leavers, now) || changed
	t.mu.Unlock()
	if changed {
		t.publish()
	}
	if b.Generation > t.View().Generation {
		t.kickKeeper()
	}
	return nil
}

func (b beat) state() State {
	if b.Leaving {
		return Leaving
	}
	return Live
}

// ownBeat is this VM's heartbeat.
func (t *Tracker) ownBeat(now time.Time) beat {
	b := beat{
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
	b.Leavers = t.leavers(now)
	return b
}

// beater exchanges heartbeats with one other entry VM.
type beater struct {
	tracker *Tracker
	to      peer.Address
	// startedAt is when the beater began to wait for the other VM's part.
	startedAt time.Time
	kick      chan struct{}
	cancel    context.CancelFunc
}

func (b *beater) loop(ctx context.Context) {
	kicked := false
	for {
		if kicked || b.due(time.Now()) {
			b.exchange(ctx)
		}
		timer := time.NewTimer(jitter(b.period()))
		kicked = false
		select {
		case <-timer.C:
		case <-b.kick:
			kicked = true
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (b *beater) period() time.Duration {
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	h, known := b.tracker.heard[b.to.Name]
	if known && h.beat.Domain != b.tracker.opts.Domain {
		return FarBeatPeriod
	}
	return BeatPeriod
}

// due leaves the exchange to the VM whose name comes first, as long as it does
// its part.
func (b *beater) due(now time.Time) bool {
	if b.tracker.opts.Name < b.to.Name {
		return true
	}
	b.tracker.mu.Lock()
	last := latest(b.startedAt, b.tracker.heard[b.to.Name].at)
	b.tracker.mu.Unlock()
	return now.Sub(last) > 3*b.period()/2
}

func (b *beater) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := peer.Call[beat](ctx, b.tracker.opts.Peers, b.to, b.tracker.ownBeat(time.Now()))
	if err != nil {
		return
	}
	// An answer of an earlier instance or another VM is dropped.
	_ = b.tracker.hear(b.to.Name, answer, time.Now())
}
