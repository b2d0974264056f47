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
	// leavingMarkTTL is how long a target or worker counts as leaving after it was last seen
	// leaving.
	leavingMarkTTL = time.Minute
	// maxLeavingMarks bounds the number of marks and with it the size of a heartbeat.
	maxLeavingMarks = 500
	// tickPeriod is the time between two views when nothing else causes a new one.
	tickPeriod = 250 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	Name   string
	Domain string
	Region string
	// CallersAddress and PeerAddress are the addresses at which this VM is reached.
	CallersAddress netip.AddrPort
	PeerAddress    netip.AddrPort
	// Members reads the platform's membership list.
	Members Lister
	// Seeds are entry VMs to contact before the list is known.
	Seeds  []peer.Address
	Peers  *peer.Node
	Tables store.Tables
	// SeatsPerDomain is the number of seats of each failure domain.
	SeatsPerDomain int
	ClockSkew      time.Duration
	// MaxWindow returns the longest time that a request may run, or zero while no policy is in
	// force. Nil means always zero.
	MaxWindow func() time.Duration
	// PolicyVersion and LeaseEpoch return the values that this VM reports in its heartbeats.
	// Nil means always zero.
	PolicyVersion func() int64
	LeaseEpoch    func() int64
}

// Tracker maintains the View of this VM from the platform's list, the heartbeats and the stored
// roster. It is safe for concurrent use.
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
	// leavingUntil maps targets and workers that are marked as leaving to when the mark expires.
	leavingUntil map[string]time.Time
	senders      map[string]*heartbeatSender
	// runContext is the context of Start; nil before.
	runContext context.Context
}

// NewTracker returns a tracker whose view has only this VM and its seeds until Start is
// called.
func NewTracker(opts Options) (*Tracker, error) {
	if opts.Name == "" || opts.Domain == "" || opts.Members == nil || opts.Tables == nil || opts.Peers == nil {
		return nil, errors.New("roster: name, domain, members, tables and peers must be set")
	}
	if opts.SeatsPerDomain < 1 {
		return nil, errors.New("roster: seats must be at least 1")
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
	if o.MaxWindow == nil {
		o.MaxWindow = func() time.Duration { return 0 }
	}
}

// View returns the current view of the fleet. It takes no lock.
func (t *Tracker) View() *View { return t.view.Load() }

// Start starts polling the list, exchanging heartbeats and maintaining a seat, until ctx ends.
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

// SetLeaving marks this VM as leaving and notifies all other entry VMs.
func (t *Tracker) SetLeaving() {
	t.mu.Lock()
	t.leaving = true
	t.triggerHeartbeats()
	t.mu.Unlock()
	t.publish()
}

// ReleaseSeat ends the use of the seat by this process, which must start no more requests.
// All requests that it has started have ended at requestsEnd; the next process of the VM may
// use the seat from then on.
func (t *Tracker) ReleaseSeat(ctx context.Context, requestsEnd time.Time) error {
	return t.seats.release(ctx, time.Now(), requestsEnd)
}

// triggerHeartbeats makes all senders exchange heartbeats at once. The caller must hold t.mu.
func (t *Tracker) triggerHeartbeats() {
	for _, s := range t.senders {
		signal(s.trigger)
	}
}

// MarkTargetLeaving marks a target as leaving, so that it gets no new requests: from this VM
// at once, and from the others when they receive the mark in a heartbeat.
func (t *Tracker) MarkTargetLeaving(name string) {
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

// addLeavingMarks adds or extends marks and reports whether one is for a name that had none.
// Marks that have expired, last longer than leavingMarkTTL plus clock skew, or exceed
// maxLeavingMarks are ignored. The caller must hold t.mu.
func (t *Tracker) addLeavingMarks(members []leavingMember, now time.Time) bool {
	changed := false
	latest := now.Add(leavingMarkTTL + t.opts.ClockSkew)
	for _, l := range members {
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

// leavingMembers returns the marks that have not expired. The caller must hold t.mu.
func (t *Tracker) leavingMembers(now time.Time) []leavingMember {
	var members []leavingMember
	for name, until := range t.leavingUntil {
		if now.Before(until) {
			members = append(members, leavingMember{Name: name, Until: until})
		}
	}
	return members
}

// dropExpired drops expired marks, and heartbeats older than leavingMarkTTL of VMs that are
// not on the platform's list.
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

// mergeListed keeps the names of the present list in a newer one with entries that cannot be
// decoded: each may be that of any VM, so none counts as removed. The caller holds t.mu.
func (t *Tracker) mergeListed(l *list) {
	if l.unreadable == 0 {
		return
	}
	for name := range t.list.listed {
		l.listed[name] = true
	}
}

// setList replaces the platform's list, unless l is older than the present one.
func (t *Tracker) setList(l list, now time.Time) {
	t.mu.Lock()
	if l.asOf.Before(t.list.asOf) {
		t.mu.Unlock()
		return
	}
	t.mergeListed(&l)
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

// leavingMembers returns marks for the targets and workers that are leaving according to the
// list, so that other VMs are notified before they read the list.
func (l list) leavingMembers(now time.Time) []leavingMember {
	var members []leavingMember
	until := now.Add(leavingMarkTTL)
	for _, target := range l.targets {
		if target.State == Leaving {
			members = append(members, leavingMember{Name: target.Name, Until: until})
		}
	}
	for _, worker := range l.workers {
		if worker.State == Leaving {
			members = append(members, leavingMember{Name: worker.Name, Until: until})
		}
	}
	return members
}

// updateSenders starts a heartbeatSender for each other entry VM of the seeds and the list that
// has none, and stops those of VMs that are gone or whose address has changed. It does nothing
// before Start.
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
		wanted[vm.Name] = peer.Address{Name: vm.Name, Addr: vm.PeerAddress}
	}
	for name, s := range t.senders {
		if wanted[name] != s.to {
			s.cancel()
			delete(t.senders, name)
		}
	}
	for name, to := range wanted {
		if t.senders[name] == nil && name != t.opts.Name {
			t.senders[name] = t.startSender(to)
		}
	}
}

// startSender starts the heartbeatSender of one VM. The caller must hold t.mu.
func (t *Tracker) startSender(to peer.Address) *heartbeatSender {
	ctx, cancel := context.WithCancel(t.runContext)
	s := &heartbeatSender{tracker: t, to: to, startedAt: time.Now(), trigger: make(chan struct{}, 1), cancel: cancel}
	go s.loop(ctx)
	return s
}

// seatDecisionInput returns the input of the next seat refresh; vm and instance are left for
// seatManager to set.
func (t *Tracker) seatDecisionInput() seatDecisionInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seatDecisionInput{
		now:      time.Now(),
		seats:    t.opts.SeatsPerDomain,
		window:   t.opts.MaxWindow(),
		skew:     t.opts.ClockSkew,
		listed:   t.list.listed,
		listedAt: t.list.asOf,
	}
}

func (t *Tracker) triggerSeatRefresh() { signal(t.seatRefresher.trigger) }

// signal sends on a channel of capacity 1, unless a signal is pending there already.
func signal(trigger chan struct{}) {
	select {
	case trigger <- struct{}{}:
	default:
	}
}
