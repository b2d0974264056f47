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

// pool is the targets of one service that this entry VM has slots of, and the
// requests that wait for one.
type pool struct {
	service string
	place   route.Location
	roster  func() *roster.View
	now     func() time.Time

	mu    sync.Mutex
	table route.Table
	queue admit.Queue[waiting]
	lanes map[string]*lanes
	// view and usable are what the table was last set from.
	view   *roster.View
	usable bool
	// busy counts the slots of each caller, and seen has when each last came.
	busy map[string]int
	seen map[string]time.Time
}

// waiting is a request in the queue.
type waiting struct {
	query route.Query
	// turn gets the target whose slot was taken for the request. It is closed
	// when the window can no longer be met.
	turn chan string
}

func newPool(service string, place route.Location, view func() *roster.View, now func() time.Time) *pool {
	return &pool{service: service, place: place, roster: view, now: now, lanes: make(map[string]*lanes),
		busy: make(map[string]int), seen: make(map[string]time.Time)}
}

// acquire waits for a slot for the request, if the window allows it.
func (p *pool) acquire(ctx context.Context, r *Request, query route.Query) (slot, *Refused) {
	w, refused := p.enter(r, query)
	if refused != nil {
		return slot{}, refused
	}
	select {
	case name, ok := <-w.Value.turn:
		if !ok {
			return slot{}, p.late(r)
		}
		return p.slotOf(name, r.Caller), nil
	case <-ctx.Done():
		return p.leave(r, w)
	}
}

// acquireNow takes a slot if one is free and nobody waits for it.
func (p *pool) acquireNow(r *Request, query route.Query) (slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.follow(now)
	p.seen[r.Caller] = now
	if p.blocked(now, r.Caller) || p.othersWait() {
		return slot{}, false
	}
	name, ok := p.table.Pick(now, query)
	if !ok {
		return slot{}, false
	}
	p.busy[r.Caller]++
	return p.slot(name, r.Caller), true
}

// heldUntil returns when the last slot of a lost request is free again.
func (p *pool) heldUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.LostUntil()
}

// finish gives a slot back and lets waiting requests have it.
func (p *pool) finish(s slot, result route.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.table.Finish(now, s.target, result)
	p.release(s.caller)
	p.serve(now)
}

// setLeaving stops new requests to a target.
func (p *pool) setLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetLeaving(name)
}

// advance does what time and membership bring.
func (p *pool) advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.follow(now)
	p.table.Advance(now)
	maps.DeleteFunc(p.seen, func(_ string, at time.Time) bool { return now.Sub(at) >= seenFor })
	for _, w := range p.queue.RemoveLate(now.Add(p.table.ExpectedDuration())) {
		close(w.Value.turn)
	}
	p.serve(now)
}

// enter queues the request, or refuses it.
func (p *pool) enter(r *Request, query route.Query) (*admit.Waiter[waiting], *Refused) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.follow(now)
	w := p.waiter(r, query)
	if refused := p.judge(now, r, w); refused != nil {
		return nil, refused
	}
	p.queue.Push(w)
	p.serve(now)
	return w, nil
}

func (p *pool) waiter(r *Request, query route.Query) *admit.Waiter[waiting] {
	class := r.version.Document.Classes[r.Class]
	return &admit.Waiter[waiting]{
		Caller:   r.Caller,
		Class:    r.Class,
		Share:    class.Share,
		Urgent:   class.Urgent,
		NotAfter: r.NotAfter,
		Value:    waiting{query: query, turn: make(chan string, 1)},
	}
}

// judge refuses a request that could not end inside its window.
func (p *pool) judge(now time.Time, r *Request, w *admit.Waiter[waiting]) *Refused {
	if !p.table.CanServe(now, w.Value.query) {
		refused := unavailable("no-target", now.Add(time.Second),
			"no target of service %q is usable from entry VM %s", p.service, p.place.Name)
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

// late is the refusal of a request that waited in vain.
func (p *pool) late(r *Request) *Refused {
	now := p.now()
	refused := unavailable("window-passed", now,
		"no slot of service %q came free within %s", p.service, now.Sub(r.ArrivedAt).Round(time.Microsecond))
	return &refused
}

// leave takes a request out of the queue when its context has ended. A slot
// that was taken for it meanwhile is given back.
func (p *pool) leave(r *Request, w *admit.Waiter[waiting]) (slot, *Refused) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(w) {
		if name, ok := <-w.Value.turn; ok {
			now := p.now()
			p.table.Finish(now, name, route.Unused{})
			p.release(r.Caller)
			p.serve(now)
		}
	}
	return slot{}, p.late(r)
}

// serve gives free slots to waiting requests. The pool is locked.
func (p *pool) serve(now time.Time) {
	var unsuited []*admit.Waiter[waiting]
	blocked := func(caller string) bool { return p.blocked(now, caller) }
	for p.queue.Len() > 0 && p.table.HasFreeSlot() {
		w, late := p.queue.Pop(now.Add(p.table.ExpectedDuration()), blocked)
		for _, l := range late {
			close(l.Value.turn)
		}
		if w == nil {
			break
		}
		if name, ok := p.table.Pick(now, w.Value.query); ok {
			p.busy[w.Caller]++
			w.Value.turn <- name
		} else {
			unsuited = append(unsuited, w)
		}
	}
	for _, w := range unsuited {
		p.queue.Push(w)
	}
}
