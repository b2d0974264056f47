package front

import (
	"context"
	"maps"
	"sync"
	"time"

	"tanagerstack.org/core/admit"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
)

// pool holds the targets of one service on which this entry VM has slots, and the queue
// of requests waiting for a slot.
type pool struct {
	service  string
	location route.Location
	roster   func() *roster.View
	now      func() time.Time

	mu    sync.Mutex
	table route.Table
	queue admit.Queue[queuedRequest]
	conns map[string]*targetConns
	// view and seatUsable are the roster and seat state of the last update of table.
	view       *roster.View
	seatUsable bool
	// busy is the number of slots in use by each caller, lastSeen the time of each
	// caller's last request.
	busy     map[string]int
	lastSeen map[string]time.Time
}

// queuedRequest is a request waiting for a slot.
type queuedRequest struct {
	query route.Query
	// granted receives the name of the target whose slot was taken for the request.
	// It is closed if the request can no longer end within its window.
	granted chan string
}

func newPool(service string, location route.Location, view func() *roster.View, now func() time.Time) *pool {
	return &pool{service: service, location: location, roster: view, now: now, conns: make(map[string]*targetConns),
		busy: make(map[string]int), lastSeen: make(map[string]time.Time)}
}

// acquire waits for a slot. It refuses the request if the request cannot end within
// its window.
func (p *pool) acquire(ctx context.Context, r *Request, query route.Query) (slot, *Refused) {
	w, refused := p.enqueue(r, query)
	if refused != nil {
		return slot{}, refused
	}
	select {
	case name, ok := <-w.Value.granted:
		if !ok {
			return slot{}, p.windowPassedRefusal(r)
		}
		return p.slotOf(name, r.Caller), nil
	case <-ctx.Done():
		return p.abandon(r, w)
	}
}

// tryAcquire takes a slot if one is free and no waiting request may use it.
func (p *pool) tryAcquire(r *Request, query route.Query) (slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateTargets(now)
	p.lastSeen[r.Caller] = now
	if p.blocked(now, r.Caller) || p.hasEligibleWaiter() {
		return slot{}, false
	}
	name, ok := p.table.Pick(now, query)
	if !ok {
		return slot{}, false
	}
	p.busy[r.Caller]++
	return p.slot(name, r.Caller), true
}

// lostUntil returns the time until which slots of lost requests count as occupied.
func (p *pool) lostUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.LostUntil()
}

// finish frees a slot, records the result of the attempt and assigns free slots to
// waiting requests.
func (p *pool) finish(s slot, result route.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.table.Finish(now, s.target, result)
	p.releaseSlot(s.caller)
	p.assignSlots(now)
}

// setLeaving marks a target as leaving, so that it gets no new requests.
func (p *pool) setLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetLeaving(name)
}

// update applies roster changes, removes requests that can no longer end within their
// window, forgets inactive callers and assigns free slots. It is called periodically.
func (p *pool) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateTargets(now)
	p.table.Advance(now)
	maps.DeleteFunc(p.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) >= activeFor })
	for _, w := range p.queue.RemoveLate(now.Add(p.table.ExpectedDuration())) {
		close(w.Value.granted)
	}
	p.assignSlots(now)
}

// enqueue adds the request to the queue, or refuses it if it cannot end within its
// window.
func (p *pool) enqueue(r *Request, query route.Query) (*admit.Waiter[queuedRequest], *Refused) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateTargets(now)
	w := p.waiter(r, query)
	if refused := p.checkWindow(now, r, w); refused != nil {
		return nil, refused
	}
	p.queue.Push(w)
	p.assignSlots(now)
	return w, nil
}

// waiter returns the queue entry of a request.
func (p *pool) waiter(r *Request, query route.Query) *admit.Waiter[queuedRequest] {
	class := r.version.Document.Classes[r.Class]
	return &admit.Waiter[queuedRequest]{
		Caller:   r.Caller,
		Class:    r.Class,
		Share:    class.Share,
		Urgent:   class.Urgent,
		NotAfter: r.NotAfter,
		Value:    queuedRequest{query: query, granted: make(chan string, 1)},
	}
}

// checkWindow refuses a request if no target can serve it, or if the expected wait and
// run time exceed the rest of its window. The caller holds p.mu.
func (p *pool) checkWindow(now time.Time, r *Request, w *admit.Waiter[queuedRequest]) *Refused {
	if !p.table.CanServe(now, w.Value.query) {
		refused := unavailable("no-target", now.Add(time.Second),
			"no target of service %q is usable from entry VM %s", p.service, p.location.Name)
		return &refused
	}
	slots, _ := p.table.Slots()
	mean, ahead := p.table.MeanDuration(), p.queue.EstimateAhead(w)
	wait := mean * time.Duration(ahead+1) / time.Duration(max(1, slots))
	expected := p.table.ExpectedDuration()
	if left := r.remaining(now); wait+expected > left {
		refused := unavailable("window-too-short", now.Add(wait+expected-left),
			"%d requests are ahead on %d slots and each takes up to %s: an expected wait of %s does not fit into the %s left",
			ahead, slots, expected.Round(time.Microsecond), wait.Round(time.Microsecond), left.Round(time.Microsecond))
		return &refused
	}
	return nil
}

// windowPassedRefusal returns the refusal of a request that got no slot in time.
func (p *pool) windowPassedRefusal(r *Request) *Refused {
	now := p.now()
	refused := unavailable("window-passed", now,
		"no slot of service %q came free within %s", p.service, now.Sub(r.ArrivedAt).Round(time.Microsecond))
	return &refused
}

// abandon removes a request from the queue after its context has ended, and refuses it. If
// a slot was already taken for it, the slot is freed.
func (p *pool) abandon(r *Request, w *admit.Waiter[queuedRequest]) (slot, *Refused) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(w) {
		if name, ok := <-w.Value.granted; ok {
			now := p.now()
			p.table.Finish(now, name, route.Unused{})
			p.releaseSlot(r.Caller)
			p.assignSlots(now)
		}
	}
	return slot{}, p.windowPassedRefusal(r)
}

// assignSlots assigns free slots to waiting requests and closes the channels of those
// that can no longer end within their window. The caller holds p.mu.
func (p *pool) assignSlots(now time.Time) {
	var unassigned []*admit.Waiter[queuedRequest]
	blocked := func(caller string) bool { return p.blocked(now, caller) }
	for p.queue.Len() > 0 && p.table.HasFreeSlot() {
		w, late := p.queue.Pop(now.Add(p.table.ExpectedDuration()), blocked)
		for _, l := range late {
			close(l.Value.granted)
		}
		if w == nil {
			break
		}
		if name, ok := p.table.Pick(now, w.Value.query); ok {
			p.busy[w.Caller]++
			w.Value.granted <- name
		} else {
			unassigned = append(unassigned, w)
		}
	}
	for _, w := range unassigned {
		p.queue.Push(w)
	}
}
