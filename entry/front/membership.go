package front

import (
	"time"

	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
)

// follow sets the table from the roster if that has changed. The pool is locked.
func (p *pool) follow(now time.Time) {
	view := p.roster()
	if view == nil {
		return
	}
	seat, usable := view.OwnSeat(now)
	if view == p.view && usable == p.usable {
		return
	}
	p.view, p.usable = view, usable
	var shares []route.TargetSlots
	listed := make(map[string]bool)
	for i := range view.Targets {
		t := &view.Targets[i]
		if t.Service != p.service || t.Domain != p.place.Domain {
			continue
		}
		listed[t.Name] = true
		p.connect(t)
		if usable && t.State == roster.Live {
			shares = append(shares, route.TargetSlots{Name: t.Name, Slots: route.FloorSlots(t.Name, t.Slots, seat, view.SeatsPerDomain)})
		}
	}
	p.table.Set(shares)
	p.disconnect(listed)
}

// connect makes the lanes of a target, anew if its address has changed.
func (p *pool) connect(t *roster.Target) {
	present := p.lanes[t.Name]
	if present != nil && present.address == t.Address {
		return
	}
	if present != nil {
		present.close()
	}
	p.lanes[t.Name] = &lanes{address: t.Address}
}

// disconnect closes the lanes of targets that are not listed.
func (p *pool) disconnect(listed map[string]bool) {
	for name, l := range p.lanes {
		if !listed[name] {
			l.close()
			delete(p.lanes, name)
		}
	}
}

func (p *pool) slotOf(name, caller string) slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slot(name, caller)
}

// slot returns the slot of a target. A target that has just left the list gets
// lanes without an address, so that dialing it fails.
func (p *pool) slot(name, caller string) slot {
	l := p.lanes[name]
	if l == nil {
		l = &lanes{}
	}
	return slot{target: name, caller: caller, lanes: l, expected: p.table.ExpectedDuration()}
}
