package cell

import (
	"sync/atomic"
	"time"
)

// Metrics are the latencies of a node.
type Metrics struct {
	Submit, Start, Record Histogram
}

// histogramBounds are the upper bounds of a Histogram's buckets.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second,
}

// Histogram counts durations in buckets. Its zero value is empty and usable.
type Histogram struct {
	buckets [len(histogramBounds) + 1]atomic.Int64
	sum     atomic.Int64
}

func (h *Histogram) observe(d time.Duration) {
	h.sum.Add(int64(d))
	for i, bound := range histogramBounds {
		if d <= bound {
			h.buckets[i].Add(1)
			return
		}
	}
	h.buckets[len(histogramBounds)].Add(1)
}
