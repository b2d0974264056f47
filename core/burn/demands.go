package burn

import (
	"math/bits"
	"time"
)

// bucketCount is the number of buckets of a histogram in DemandHistograms.
const bucketCount = 40

// DemandHistograms counts requests by the body size and the window that they declared.
// Bucket i counts the values v with 2^(i-1) <= v < 2^i; bucket 0 counts values of zero
// or less, and the last bucket all larger values too.
type DemandHistograms struct {
	// Bodies is the histogram of body sizes in bytes.
	Bodies [bucketCount]int64 `cbor:"1,keyasint"`
	// Windows is the histogram of windows in milliseconds.
	Windows [bucketCount]int64 `cbor:"2,keyasint"`
}

func (d *DemandHistograms) add(other *DemandHistograms) {
	for i := range bucketCount {
		d.Bodies[i] += other.Bodies[i]
		d.Windows[i] += other.Windows[i]
	}
}

// countValuesAbove returns the number of values that are certainly above limit: those in
// the buckets above the bucket of limit.
func countValuesAbove(counts *[bucketCount]int64, limit int64) int64 {
	var above int64
	for i := bucketIndex(limit) + 1; i < bucketCount; i++ {
		above += counts[i]
	}
	return above
}

// bucketIndex returns the index of the bucket that counts value.
func bucketIndex(value int64) int {
	return min(bits.Len64(uint64(max(value, 0))), bucketCount-1)
}

// demandTracker keeps the histograms of the current and the previous half hour.
type demandTracker struct {
	// halfHour is the number of the current half hour since the Unix epoch.
	halfHour int64
	current  DemandHistograms
	previous DemandHistograms
}

func (d *demandTracker) observe(s *Sample) {
	const halfHour = 30 * 60
	number := s.ArrivedAt.Unix() / halfHour
	if number > d.halfHour {
		d.previous = DemandHistograms{}
		if number == d.halfHour+1 {
			d.previous = d.current
		}
		d.halfHour, d.current = number, DemandHistograms{}
	}
	d.current.Bodies[bucketIndex(s.BodyBytes)]++
	d.current.Windows[bucketIndex(int64(s.NotAfter.Sub(s.ArrivedAt)/time.Millisecond))]++
}
