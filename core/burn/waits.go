package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The geometry of histograms. It is the same on all entry VMs, since they merge.
const (
	// tick is the unit of recorded durations.
	tick = 100 * time.Microsecond
	// maxTicks is an hour, the longest window of a policy.
	maxTicks = int64(time.Hour / tick)
	// significantFigures bounds the error of a recorded value to 1/16. With two
	// figures a series holds twice the memory.
	significantFigures = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTicks, significantFigures)
}

func recordWait(h *hdrhistogram.Histogram, wait time.Duration) {
	ticks := min(max(int64(wait/tick), 1), maxTicks)
	// The value is inside the range of the histogram, so it is always taken.
	_ = h.RecordValue(ticks)
}

// Waits is a histogram of durations that stores only the counters that are not
// zero, in order of their index. The zero value is empty.
type WaitHistogram struct {
	Indexes []uint16 `cbor:"1,keyasint,omitempty"`
	Counts  []uint32 `cbor:"2,keyasint,omitempty"`
}

// compact returns the counters of h that are not zero.
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

// clip gives back the memory of counters that may be added later.
func (w *WaitHistogram) clip() {
	w.Indexes = append([]uint16(nil), w.Indexes...)
	w.Counts = append([]uint32(nil), w.Counts...)
}

// histogram returns w as a full histogram. Counters outside the geometry, which
// only a faulty peer sends, are left out.
func (w WaitHistogram) histogram() *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	for i, index := range w.Indexes {
		if int(index) < len(snapshot.Counts) && i < len(w.Counts) {
			snapshot.Counts[index] = int64(w.Counts[i])
		}
	}
	return hdrhistogram.Import(snapshot)
}

// above counts the durations over limit, within the histogram's error.
func above(h *hdrhistogram.Histogram, limit time.Duration) int64 {
	var count int64
	for _, bar := range h.Distribution() {
		if time.Duration(bar.From)*tick > limit {
			count += bar.Count
		}
	}
	return count
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * tick
}
