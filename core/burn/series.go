package burn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minutesKept = 60
	// coarseMinutes is the width of a slot for what is older than an hour.
	coarseMinutes = 30
	coarseKept    = int64(LongestWindow / (coarseMinutes * time.Minute))
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
	minute int64
	counts Counts
	live   *hdrhistogram.Histogram
	// fine holds the closed minutes of the last hour, coarse those of the longest window.
	fine     [minutesKept]slot
	coarse   [coarseKept]slot
	arrivals [minutesKept]*arrivals
	demands  demands
}

func (s *series) observe(sample *Sample) {
	s.advance(unixMinute(sample.EndedAt))
	s.counts.observe(sample)
	if !sample.StartedAt.IsZero() {
		if s.live == nil {
			s.live = newHistogram()
		}
		recordWait(s.live, sample.StartedAt.Sub(sample.ArrivedAt))
	}
	s.arrive(sample.ArrivedAt)
	s.demands.observe(sample)
}

// advance closes the live minute if now is in a later one.
func (s *series) advance(minute int64) {
	if minute <= s.minute {
		return
	}
	if s.counts.Total > 0 {
		s.close()
	}
	s.minute = minute
}

func (s *series) close() {
	waits := compact(s.live)
	s.fine[s.minute%minutesKept] = slot{number: s.minute, counts: s.counts, waits: waits}
	number := s.minute / coarseMinutes
	coarse := &s.coarse[number%coarseKept]
	if coarse.number != number {
		*coarse = slot{number: number}
	}
	coarse.counts.add(s.counts)
	coarse.waits.add(waits)
	coarse.waits.clip()
	s.counts, s.live = Counts{}, nil
}

func (s *series) arrive(at time.Time) {
	minute := unixMinute(at)
	entry := s.arrivals[minute%minutesKept]
	if entry == nil {
		entry = new(arrivals)
		s.arrivals[minute%minutesKept] = entry
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
