package burn

import (
	"math/bits"
	"time"
)

// powers is the number of powers of two that Demands tell apart.
const bucketCount = 40

// Demands counts requests by the size and the window that they declared. Entry
// i counts values v with 2^(i-1) <= v < 2^i.
type DemandHistograms struct {
	// Bodies are counted in bytes.
	Bodies [bucketCount]int64 `cbor:"1,keyasint"`
	// Windows are counted in milliseconds.
	Windows [bucketCount]int64 `cbor:"2,keyasint"`
}

func (d *DemandHistograms) add(other *DemandHistograms) {
	for i := range bucketCount {
		d.Bodies[i] += other.Bodies[i]
		d.Windows[i] += other.Windows[i]
	}
}

// countAbove counts the values that are surely over limit.
func countValuesAbove(counts *[bucketCount]int64, limit int64) int64 {
	var above int64
	for i := bucketIndex(limit) + 1; i < bucketCount; i++ {
		above += counts[i]
	}
	return above
}

func bucketIndex(value int64) int {
	return min(bits.Len64(uint64(max(value, 0))), bucketCount-1)
}

// demands keeps the Demands of this and the last half hour.
type demandTracker struct {
	halfHour int64
	current  DemandHistograms
	previous DemandHistograms
}

func (d *demandTracker) observe(s *Sample) {
	const halfHour = 30 * 60
	half := s.ArrivedAt.Unix() / halfHour
	if half > d.halfHour {
		d.previous = DemandHistograms{}
		if half == d.halfHour+1 {
			d.previous = d.current
		}
		d.halfHour, d.current = half, DemandHistograms{}
	}
	d.current.Bodies[bucketIndex(s.BodyBytes)]++
	d.current.Windows[bucketIndex(int64(s.NotAfter.Sub(s.ArrivedAt)/time.Millisecond))]++
}
