package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The parameters of the histograms. They are the same on all entry VMs, since histograms
// of different VMs are merged.
const (
	// tick is the unit of recorded durations and the shortest one.
	tick = 100 * time.Microsecond
	// maxTicks is the longest recorded duration: an hour, the longest window that a policy
	// can set.
	maxTicks = int64(time.Hour / tick)
	// significantFigures limits the relative error of a recorded value to 1/16. With two
	// figures a series needs twice the memory.
	significantFigures = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTicks, significantFigures)
}

// recordWait adds a waiting time to h. Times outside the range count as its minimum or
// maximum.
func recordWait(h *hdrhistogram.Histogram, wait time.Duration) {
	ticks := min(max(int64(wait/tick), 1), maxTicks)
	// The value is inside the range of the histogram, so RecordValue cannot fail.
	_ = h.RecordValue(ticks)
}

// WaitHistogram is a histogram of durations that stores only the counters that are not
// zero, in order of their index. The zero value is empty.
type WaitHistogram struct {
	Indexes []uint16 `cbor:"1,keyasint,omitempty"`
	Counts  []uint32 `cbor:"2,keyasint,omitempty"`
}

// compact returns the counters of h that are not zero. A nil h is empty.
func compact(h *hdrhistogram.Histogram) WaitHistogram {
	var w WaitHistogram
	if h == nil {
		return w
	}
	for i, count := range h.Export().Counts {
		if count != 0 {
			w.Indexes = append(w.Indexes, uint16(i))
			w.Counts = append(w.Counts, uint32(count))
		}
	}
	w.clip()
	return w
}

// add adds the counters of other to w.
func (w *WaitHistogram) add(other WaitHistogram) {
	for i, index := range other.Indexes {
		at, found := slices.BinarySearch(w.Indexes, index)
		if !found {
			w.Indexes = slices.Insert(w.Indexes, at, index)
			w.Counts = slices.Insert(w.Counts, at, 0)
		}
		w.Counts[at] += other.Counts[i]
	}
}

// clip releases the unused capacity of the slices.
func (w *WaitHistogram) clip() {
	w.Indexes = append([]uint16(nil), w.Indexes...)
	w.Counts = append([]uint32(nil), w.Counts...)
}

// histogram returns w as a full histogram. It ignores counters with an index out of
// range, which only a faulty peer sends.
func (w WaitHistogram) histogram() *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	for i, index := range w.Indexes {
		if int(index) < len(snapshot.Counts) && i < len(w.Counts) {
			snapshot.Counts[index] = int64(w.Counts[i])
		}
	}
	return hdrhistogram.Import(snapshot)
}

// countWaitsAbove returns the number of durations above limit, within the error of the
// histogram.
func countWaitsAbove(h *hdrhistogram.Histogram, limit time.Duration) int64 {
	var count int64
	for _, bar := range h.Distribution() {
		if time.Duration(bar.From)*tick > limit {
			count += bar.Count
		}
	}
	return count
}

// quantile returns the duration at a percentile from 0 to 100.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * tick
}
