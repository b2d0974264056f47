package burn

import (
	"sync"
	"time"
)

// maxHitKeys is the maximum number of pairs of caller and limit that are counted.
// Requests of further pairs are ignored.
const maxHitKeys = 4096

// hitKey identifies the limit of a caller.
type hitKey struct{ caller, limit string }

// hitCounter counts, in slots of half an hour, the requests of a caller that were
// refused by a limit. numbers holds the number of each slot's half hour since the Unix
// epoch.
type hitCounter struct {
	numbers [coarseSlots]int64
	counts  [coarseSlots]int64
}

// hitCounters counts the requests that were refused by limits, per caller and limit.
type hitCounters struct {
	mu     sync.Mutex
	counts map[hitKey]*hitCounter
}

func (h *hitCounters) add(key hitKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count, ok := h.counts[key]
	if !ok {
		if len(h.counts) >= maxHitKeys {
			return
		}
		count = new(hitCounter)
		h.counts[key] = count
	}
	number := unixMinute(now) / coarseSlotMinutes
	at := number % coarseSlots
	if count.numbers[at] != number {
		count.numbers[at], count.counts[at] = number, 0
	}
	count.counts[at]++
}

// snapshot returns the counts in the longest window before now.
func (h *hitCounters) snapshot(now time.Time) []LimitHits {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := unixMinute(now)/coarseSlotMinutes - coarseSlots
	var all []LimitHits
	for key, count := range h.counts {
		var total int64
		for i, number := range count.numbers {
			if number > oldest {
				total += count.counts[i]
			}
		}
		if total > 0 {
			all = append(all, LimitHits{Caller: key.caller, Limit: key.limit, Count: total})
		}
	}
	return all
}
