package front

import "time"

const (
	// reserveDivisor sets the slots that one caller must leave free for others: one in
	// reserveDivisor, but at least one.
	reserveDivisor = 16
	// minSlotsForReserve is the number of slots below which none is reserved.
	minSlotsForReserve = 8
	// activeFor is how long a caller counts as active after its last request.
	activeFor = 2 * time.Second
)

// hasEligibleWaiter reports whether the queue has a request of a caller that is not
// blocked. Such a request goes before a new one.
func (p *pool) hasEligibleWaiter() bool {
	return p.queue.Len() > 0 && p.queue.HasUnblocked(func(caller string) bool { return p.blocked(p.now(), caller) })
}

// blocked reports whether a caller may take no further slot, because the remaining ones
// are reserved for other callers. It is false while no other caller is active.
func (p *pool) blocked(now time.Time, caller string) bool {
	slots, _ := p.table.Slots()
	if slots < minSlotsForReserve || p.busy[caller] < slots-max(1, slots/reserveDivisor) {
		return false
	}
	for other, at := range p.lastSeen {
		if other != caller && now.Sub(at) < activeFor {
			return true
		}
	}
	return false
}

// releaseSlot decrements the number of slots in use by a caller.
func (p *pool) releaseSlot(caller string) {
	p.busy[caller]--
	if p.busy[caller] <= 0 {
		delete(p.busy, caller)
	}
}
