package burn

import (
	"math/bits"
	"time"
)

// powers is the number of powers of two that Demands tell apart.
const powers = 40

// Demands counts requests by the size and the window that they declared. Entry
// i counts values v with 2^(i-1) <= v < 2^i.
type DemandHistograms struct {
	// Bodies are counted in bytes.
	Bodies [powers]int64 `cbor:"1,keyasint"`
	// Windows are counted in milliseconds.
	Windows [powers]int64 `cbor:"2,keyasint"`
}

func (d *DemandHistograms) add(other *DemandHistograms) {
	for i := range powers {
		d.Bodies[i] += other.Bodies[i]
		d.Windows[i] += other.Windows[i]
	}
}

// countAbove counts the values that are surely over limit.
func countAbove(counts *[powers]int64, limit int64) int64 {
	var above int64
	for i := power(limit) + 1; i < powers; i++ {
		above += counts[i]
	}
	return above
}

func power(value int64) int {
	return min(bits.Len64(uint64(max(value, 0))), powers-1)
}

// demands keeps the Demands of this and the last half hour.
type demands struct {
	half     int64
	current  DemandHistograms
	previous DemandHistograms
}

func (d *demands) observe(s *Sample) {
	const halfHour = 30 * 60
	half := s.ArrivedAt.Unix() / halfHour
	if half > d.half {
		d.previous = DemandHistograms{}
		if half == d.half+1 {
			d.previous = d.current
		}
		d.half, d.current = half, DemandHistograms{}
	}
	d.current.Bodies[power(s.BodyBytes)]++
	d.current.Windows[power(int64(s.NotAfter.Sub(s.ArrivedAt)/time.Millisecond))]++
}
