package front

import (
	"time"

	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
)

// updateTargets updates the routing table and the connections if the roster or the
// usability of this VM's seat has changed. The caller holds p.mu.
func (p *pool) updateTargets(now time.Time) {
	view := p.roster()
	if view == nil {
		return
	}
	seat, usable := view.OwnSeat(now)
	if view == p.view && usable == p.seatUsable {
		return
	}
	p.view, p.seatUsable = view, usable
	var slots []route.TargetSlots
	listed := make(map[string]bool)
	for i := range view.Targets {
		t := &view.Targets[i]
		if t.Service != p.service || t.Domain != p.location.Domain {
			continue
		}
		listed[t.Name] = true
		p.connect(t)
		if usable && t.State == roster.Live {
			slots = append(slots, route.TargetSlots{Name: t.Name, Slots: route.FloorSlots(t.Name, t.Slots, seat, view.SeatsPerDomain)})
		}
	}
	p.table.Set(slots)
	p.disconnect(listed)
}

// connect creates the connection set of a target, or replaces it if the address has
// changed.
func (p *pool) connect(t *roster.Target) {
	existing := p.conns[t.Name]
	if existing != nil && existing.address == t.Address {
		return
	}
	if existing != nil {
		existing.close()
	}
	p.conns[t.Name] = &targetConns{address: t.Address}
}

// disconnect removes the connection sets of targets that are not listed.
func (p *pool) disconnect(listed map[string]bool) {
	for name, conns := range p.conns {
		if !listed[name] {
			conns.close()
			delete(p.conns, name)
		}
	}
}

// slotOf is slot for callers that do not hold p.mu.
func (p *pool) slotOf(name, caller string) slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slot(name, caller)
}

// slot returns a taken slot of a target. For a target that is no longer listed the
// connection set has no address, so that dialing fails. The caller holds p.mu.
func (p *pool) slot(name, caller string) slot {
	conns := p.conns[name]
	if conns == nil {
		conns = &targetConns{}
	}
	return slot{target: name, caller: caller, conns: conns, expected: p.table.ExpectedDuration()}
}
