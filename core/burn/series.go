package burn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// fineSlots is the number of slots of one minute.
	fineSlots = 60
	// coarseSlotMinutes is the width of a coarse slot in minutes.
	coarseSlotMinutes = 30
	// coarseSlots is the number of coarse slots, which cover the longest window.
	coarseSlots = int64(LongestWindow / (coarseSlotMinutes * time.Minute))
)

// slot counts the samples of a period of one minute or of coarseSlotMinutes.
type slot struct {
	// number is the start of the period since the Unix epoch, in units of its width.
	number int64
	counts Counts
	waits  WaitHistogram
}

// arrivals counts the requests that arrived in each second of a minute. The counters
// saturate at their maximum value.
type arrivals struct {
	minute  int64
	seconds [60]uint16
}

// series holds the recent counts of one caller and class. The lock of its shard must be
// held.
type series struct {
	// currentMinute is the minute of currentCounts and currentWaits, since the Unix
	// epoch.
	currentMinute int64
	currentCounts Counts
	// currentWaits is nil until the minute has a request that was sent to a target.
	currentWaits *hdrhistogram.Histogram
	// fine holds the minutes of the last hour that are over, coarse those of the longest
	// window, both as ring buffers.
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

// advance makes minute the current minute and stores the counts of the previous one. It
// does nothing if minute is not later than the current minute.
func (s *series) advance(minute int64) {
	if minute <= s.currentMinute {
		return
	}
	if s.currentCounts.Total > 0 {
		s.close()
	}
	s.currentMinute = minute
}

// close stores the counts of the current minute in fine and coarse and resets them.
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

// countArrival counts a request that arrived at an instant, unless the counters of that
// minute already belong to a later one.
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
