package roster

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/store"
)

const (
	// markFor is how long a target or worker counts as leaving after it was last
	// seen to.
	leavingMarkTTL = time.Minute
	// maxMarks bounds the marks that a heartbeat carries.
	maxLeavingMarks = 500
	// tickPeriod is the time between views where nothing else changes them.
	tickPeriod = 250 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	Name   string
	Domain string
	Region string
	// Callers and Peer are the addresses that other VMs reach this one at.
	Callers netip.AddrPort
	Peer    netip.AddrPort
	// Members is the platform's list.
	Members Lister
	// Seeds are entry VMs to talk to before the list is known.
	Seeds  []peer.Address
	Peers  *peer.Node
	Tables store.Tables
	// Seats is the number of seats of each failure domain.
	Seats     int
	ClockSkew time.Duration
	// Window returns the longest window that a request may have, or zero while
	// no policy is in force.
	Window func() time.Duration
	// PolicyVersion and LeaseEpoch return what heartbeats say of this VM; nil
	// stands for zero.
	PolicyVersion func() int64
	LeaseEpoch    func() int64
}

// Tracker merges the sources of membership into a View. It is safe for
// concurrent use.
type Tracker struct {
	opts          Options
	incarnation   int64
	seats         *seatManager
	seatRefresher *seatRefresher
	view          atomic.Pointer[View]

	mu         sync.Mutex
	leaving    bool
	list       list
	heartbeats map[string]receivedHeartbeat
	// marks has the targets and workers that are leaving, until an instant.
	leavingUntil map[string]time.Time
	senders      map[string]*heartbeatSender
	// running is the context of Start.
	runContext context.Context
}

// NewTracker returns a tracker that knows only this VM and its seeds.
func NewTracker(opts Options) (*Tracker, error) {
	if opts.Name == "" || opts.Domain == "" || opts.Members == nil || opts.Tables == nil || opts.Peers == nil {
		return nil, errors.New("roster: name, domain, members, tables and peers must be set")
	}
	if opts.Seats < 1 {
		return nil, errors.New("roster: at least one seat is needed")
	}
	opts.setDefaults()
	incarnation := time.Now().UnixNano()
	t := &Tracker{
		opts:         opts,
		incarnation:  incarnation,
		seats:        newSeatManager(opts, strconv.FormatInt(incarnation, 36)),
		heartbeats:   make(map[string]receivedHeartbeat),
		leavingUntil: make(map[string]time.Time),
		senders:      make(map[string]*heartbeatSender),
	}
	t.seatRefresher = &seatRefresher{tracker: t, trigger: make(chan struct{}, 1)}
	t.publish()
	return t, nil
}

func (o *Options) setDefaults() {
	zero := func() int64 { return 0 }
	if o.PolicyVersion == nil {
		o.PolicyVersion = zero
	}
	if o.LeaseEpoch == nil {
		o.LeaseEpoch = zero
	}
	if o.Window == nil {
		o.Window = func() time.Duration { return 0 }
	}
}

// View returns the present picture of the fleet. It takes no lock.
func (t *Tracker) View() *View { return t.view.Load() }

// Start begins to poll, to exchange heartbeats and to keep a seat, until ctx ends.
func (t *Tracker) Start(ctx context.Context) {
	t.mu.Lock()
	t.runContext = ctx
	t.mu.Unlock()
	t.updateSenders()
	go (&poller{tracker: t}).loop(ctx)
	go t.seatRefresher.loop(ctx)
	go t.loop(ctx)
}

func (t *Tracker) loop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.seats.tick(now)
			t.dropExpired(now)
			t.publish()
		}
	}
}

// SetLeaving tells all other entry VMs that this one is leaving.
func (t *Tracker) SetLeaving() {
	t.mu.Lock()
	t.leaving = true
	t.triggerHeartbeats()
	t.mu.Unlock()
	t.publish()
}

// Release gives up the use of the seat, once the VM starts no more requests. No
// request that it has started runs after the instant ended; the VM's next
// instance may use the seat from then on.
func (t *Tracker) Release(ctx context.Context, ended time.Time) error {
	return t.seats.release(ctx, time.Now(), ended)
}

// kickBeaters sends a heartbeat to all other entry VMs now. It needs t.mu.
func (t *Tracker) triggerHeartbeats() {
	for _, b := range t.senders {
		signal(b.trigger)
	}
}

// NoteTargetLeaving keeps new requests away from a target that was seen to be
// leaving, here at once and on all entry VMs with the next heartbeat.
func (t *Tracker) NoteTargetLeaving(name string) {
	now := time.Now()
	t.mu.Lock()
	changed := t.addLeavingMarks([]leavingMember{{Name: name, Until: now.Add(leavingMarkTTL)}}, now)
	if changed {
		t.triggerHeartbeats()
	}
	t.mu.Unlock()
	if changed {
		t.publish()
	}
}

// mark takes in marks and reports whether a name is new among them. It needs t.mu.
func (t *Tracker) addLeavingMarks(leavers []leavingMember, now time.Time) bool {
	changed := false
	latest := now.Add(leavingMarkTTL + t.opts.ClockSkew)
	for _, l := range leavers {
		until, known := t.leavingUntil[l.Name]
		if !now.Before(l.Until) || l.Until.After(latest) || !known && len(t.leavingUntil) >= maxLeavingMarks {
			continue
		}
		if l.Until.After(until) {
			t.leavingUntil[l.Name] = l.Until
		}
		changed = changed || !known
	}
	return changed
}

// leavers returns the marks that still hold. It needs t.mu.
func (t *Tracker) leavingMembers(now time.Time) []leavingMember {
	var leavers []leavingMember
	for name, until := range t.leavingUntil {
		if now.Before(until) {
			leavers = append(leavers, leavingMember{Name: name, Until: until})
		}
	}
	return leavers
}

// expire drops marks that have passed, and VMs that neither the list, the
// stored roster nor a heartbeat knows any more.
func (t *Tracker) dropExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, until := range t.leavingUntil {
		if !now.Before(until) {
			delete(t.leavingUntil, name)
		}
	}
	for name, h := range t.heartbeats {
		if now.Sub(h.receivedAt) > leavingMarkTTL && !t.list.listed[name] {
			delete(t.heartbeats, name)
		}
	}
}

// setList puts a list of the platform in force, unless it is older than the one
// that already is.
func (t *Tracker) setList(l list, now time.Time) {
	t.mu.Lock()
	if l.asOf.Before(t.list.asOf) {
		t.mu.Unlock()
		return
	}
	t.list = l
	if t.addLeavingMarks(t.list.leavingMembers(now), now) {
		t.triggerHeartbeats()
	}
	t.mu.Unlock()
	t.publish()
	t.updateSenders()
	if t.View().Seat < 0 {
		t.triggerSeatRefresh()
	}
}

// leavers returns marks for what the list itself says is leaving, so that other
// VMs learn of it before they read the list.
func (l list) leavingMembers(now time.Time) []leavingMember {
	var leavers []leavingMember
	until := now.Add(leavingMarkTTL)
	for _, target := range l.targets {
		if target.State == Leaving {
			leavers = append(leavers, leavingMember{Name: target.Name, Until: until})
		}
	}
	for _, worker := range l.workers {
		if worker.State == Leaving {
			leavers = append(leavers, leavingMember{Name: worker.Name, Until: until})
		}
	}
	return leavers
}

// follow starts a beater for each other entry VM that is known, and stops those
// of VMs that are gone or have moved.
func (t *Tracker) updateSenders() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runContext == nil {
		return
	}
	wanted := make(map[string]peer.Address)
	for _, seed := range t.opts.Seeds {
		wanted[seed.Name] = seed
	}
	for _, vm := range t.list.vms {
		wanted[vm.Name] = peer.Address{Name: vm.Name, Addr: vm.Peer}
	}
	for name, b := range t.senders {
		if wanted[name] != b.to {
			b.cancel()
			delete(t.senders, name)
		}
	}
	for name, to := range wanted {
		if t.senders[name] == nil && name != t.opts.Name {
			t.senders[name] = t.startSender(to)
		}
	}
}

// startBeater needs t.mu.
func (t *Tracker) startSender(to peer.Address) *heartbeatSender {
	ctx, cancel := context.WithCancel(t.runContext)
	b := &heartbeatSender{tracker: t, to: to, startedAt: time.Now(), trigger: make(chan struct{}, 1), cancel: cancel}
	go b.loop(ctx)
	return b
}

// seatInput is what the next decision about seats rests on.
func (t *Tracker) seatDecisionInput() seatDecisionInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seatDecisionInput{
		now:      time.Now(),
		seats:    t.opts.Seats,
		window:   t.opts.Window(),
		skew:     t.opts.ClockSkew,
		listed:   t.list.listed,
		listedAt: t.list.asOf,
	}
}

func (t *Tracker) triggerSeatRefresh() { signal(t.seatRefresher.trigger) }

// nudge wakes the reader of a channel of length one.
func signal(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}
