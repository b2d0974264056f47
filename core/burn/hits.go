package burn

import (
	"sync"
	"time"
)

// maxHitKeys bounds the pairs of caller and limit that are told apart.
const maxHitKeys = 4096

type hitKey struct{ caller, limit string }

// hitCount counts the hits of a limit in slots of half an hour.
type hitCount struct {
	numbers [coarseKept]int64
	counts  [coarseKept]int64
}

// hits counts how often callers met their limits.
type hits struct {
	mu     sync.Mutex
	counts map[hitKey]*hitCount
}

func (h *hits) add(key hitKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count, ok := h.counts[key]
	if !ok {
		if len(h.counts) >= maxHitKeys {
			return
		}
		count = new(hitCount)
		h.counts[key] = count
	}
	number := unixMinute(now) / coarseMinutes
	at := number % coarseKept
	if count.numbers[at] != number {
		count.numbers[at], count.counts[at] = number, 0
	}
	count.counts[at]++
}

// snapshot returns the hits in the longest window before now.
func (h *hits) snapshot(now time.Time) []LimitHits {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := unixMinute(now)/coarseMinutes - coarseKept
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
