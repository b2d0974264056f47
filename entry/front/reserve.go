package front

import "time"

const (
	// reserveShare is the part of the slots, as one in so many, that one caller
	// leaves free for others, at least one slot.
	reserveShare = 16
	// fewSlots is the number of slots below which none is left free.
	fewSlots = 8
	// seenFor is how long a caller counts as sending after its last request.
	seenFor = 2 * time.Second
)

// othersWait reports whether a waiting request may start before a new one.
func (p *pool) othersWait() bool {
	return p.queue.Len() > 0 && p.queue.HasUnblocked(func(caller string) bool { return p.blocked(p.now(), caller) })
}

// blocked reports whether a caller must leave the last free slots to others. A
// caller has to only while others send requests too.
func (p *pool) blocked(now time.Time, caller string) bool {
	slots, _ := p.table.Slots()
	if slots < fewSlots || p.busy[caller] < slots-max(1, slots/reserveShare) {
		return false
	}
	for other, at := range p.seen {
		if other != caller && now.Sub(at) < seenFor {
			return true
		}
	}
	return false
}

// release counts a slot of a caller back.
func (p *pool) release(caller string) {
	p.busy[caller]--
	if p.busy[caller] <= 0 {
		delete(p.busy, caller)
	}
}
