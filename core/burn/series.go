package burn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	fineSlots = 60
	// coarseMinutes is the width of a slot for what is older than an hour.
	coarseSlotMinutes = 30
	coarseSlots       = int64(LongestWindow / (coarseSlotMinutes * time.Minute))
)

// slot counts the samples of a stretch of time.
type slot struct {
	// number is the time since the Unix epoch, in widths of the slot.
	number int64
	counts Counts
	waits  WaitHistogram
}

// arrivals counts the requests that arrived in each second of a minute, up to
// the most that a counter holds.
type arrivals struct {
	minute  int64
	seconds [60]uint16
}

// series is the recent past of one caller and class. Its owner holds a lock.
type series struct {
	// minute is the minute of live; live is nil until the minute has a sample.
	currentMinute int64
	currentCounts Counts
	currentWaits  *hdrhistogram.Histogram
	// fine holds the closed minutes of the last hour, coarse those of the longest window.
	fine     [fineSlots]slot
	coarse   [coarseSlots]slot
	arrivals [fineSlots]*arrivals
	demands  demandTracker
}

func (s *series) observe(sample *Sample) {
	s.advance(unixMinute(sample.EndedAt))
	s.currentCounts.observe(sample)
	if !sample.StartedAt.IsZero() {
		if s.currentWaits == nil {
			s.currentWaits = newHistogram()
		}
		recordWait(s.currentWaits, sample.StartedAt.Sub(sample.ArrivedAt))
	}
	s.countArrival(sample.ArrivedAt)
	s.demands.observe(sample)
}

// advance closes the live minute if now is in a later one.
func (s *series) advance(minute int64) {
	if minute <= s.currentMinute {
		return
	}
	if s.currentCounts.Total > 0 {
		s.close()
	}
	s.currentMinute = minute
}

func (s *series) close() {
	waits := compact(s.currentWaits)
	s.fine[s.currentMinute%fineSlots] = slot{number: s.currentMinute, counts: s.currentCounts, waits: waits}
	number := s.currentMinute / coarseSlotMinutes
	coarse := &s.coarse[number%coarseSlots]
	if coarse.number != number {
		*coarse = slot{number: number}
	}
	coarse.counts.add(s.currentCounts)
	coarse.waits.add(waits)
	coarse.waits.clip()
	s.currentCounts, s.currentWaits = Counts{}, nil
}

func (s *series) countArrival(at time.Time) {
	minute := unixMinute(at)
	entry := s.arrivals[minute%fineSlots]
	if entry == nil {
		entry = new(arrivals)
		s.arrivals[minute%fineSlots] = entry
	}
	if entry.minute > minute {
		return
	}
	if entry.minute < minute {
		*entry = arrivals{minute: minute}
	}
	if count := &entry.seconds[at.Unix()%60]; *count < math.MaxUint16 {
		*count++
	}
}

func unixMinute(at time.Time) int64 { return at.Unix() / 60 }
