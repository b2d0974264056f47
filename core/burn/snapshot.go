package burn

import (
	"cmp"
	"slices"
	"time"
)

// The windows of burn rates, shortest first. A short window shows whether the budget is
// burning now, a long window whether a significant part of it has been used.
const (
	ShortWindow   = 5 * time.Minute
	MiddleWindow  = time.Hour
	LongestWindow = 6 * time.Hour
)

// windowCount is the number of windows.
const windowCount = 3

// Windows returns the windows of burn rates, shortest first.
func Windows() [windowCount]time.Duration {
	return [windowCount]time.Duration{ShortWindow, MiddleWindow, LongestWindow}
}

// Snapshot holds the counts of one or more Recorders in the windows that end at one
// instant.
type Snapshot struct {
	Series    []Series    `cbor:"1,keyasint,omitempty"`
	LimitHits []LimitHits `cbor:"2,keyasint,omitempty"`
}

// Series holds the recent counts of one caller and class.
type Series struct {
	Caller string `cbor:"1,keyasint"`
	Class  string `cbor:"2,keyasint"`
	// Windows holds the counts of each window, in the order of the function Windows.
	Windows [windowCount]Window `cbor:"3,keyasint"`
	// Minutes holds the minutes of the last hour that have samples, oldest first.
	Minutes []Minute `cbor:"4,keyasint,omitempty"`
	// Load is the load of the last hour; nil if the snapshot was taken without load.
	Load *Load `cbor:"5,keyasint,omitempty"`
}

// Window holds the counts of a window.
type Window struct {
	Counts Counts `cbor:"1,keyasint"`
	// Waits is the histogram of the waiting times of requests that were sent to a target.
	Waits WaitHistogram `cbor:"2,keyasint"`
}

// Minute holds the counts of a minute.
type Minute struct {
	// Number is the number of minutes since the Unix epoch.
	Number int64  `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
	// WaitP99 is the 99th percentile of the waiting time; in a merged snapshot, the
	// highest one of any entry VM.
	WaitP99 time.Duration `cbor:"3,keyasint,omitempty"`
}

// Load describes the requests of the last hour, including refused ones. Demands covers
// the current and the previous half hour.
type Load struct {
	Arrivals []Arrivals       `cbor:"1,keyasint,omitempty"`
	Demands  DemandHistograms `cbor:"2,keyasint"`
}

// Arrivals counts the requests that arrived in each second of a minute.
type Arrivals struct {
	// Minute is the number of minutes since the Unix epoch.
	Minute  int64      `cbor:"1,keyasint"`
	Seconds [60]uint32 `cbor:"2,keyasint"`
}

// LimitHits is the number of requests of a caller that were refused by a limit.
type LimitHits struct {
	Caller string `cbor:"1,keyasint"`
	Limit  string `cbor:"2,keyasint"`
	Count  int64  `cbor:"3,keyasint"`
}

// Snapshot returns the counts of the windows that end at now. It includes the load of
// the last hour if withLoad is true.
func (r *Recorder) Snapshot(now time.Time, withLoad bool) Snapshot {
	snapshot := Snapshot{LimitHits: r.limitHits.snapshot(now)}
	for i := range r.shards {
		snapshot.Series = append(snapshot.Series, r.shards[i].snapshot(now, withLoad)...)
	}
	snapshot.sort()
	return snapshot
}

func (s *shard) snapshot(now time.Time, withLoad bool) []Series {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Series, 0, len(s.series))
	for key, series := range s.series {
		series.advance(unixMinute(now))
		entry := series.snapshot(unixMinute(now))
		entry.Caller, entry.Class = key.caller, key.class
		if withLoad {
			entry.Load = series.load(unixMinute(now))
		}
		all = append(all, entry)
	}
	return all
}

// snapshot adds up the slots of each window. advance must have been called for minute
// or a later one.
func (s *series) snapshot(minute int64) Series {
	var out Series
	short, middle, longest := &out.Windows[0], &out.Windows[1], &out.Windows[2]
	for i := range fineSlots {
		slot := &s.fine[(minute+1+int64(i))%fineSlots]
		if slot.counts.Total == 0 || slot.number <= minute-fineSlots {
			continue
		}
		middle.add(slot)
		if slot.number > minute-int64(ShortWindow/time.Minute) {
			short.add(slot)
		}
		out.Minutes = append(out.Minutes, slot.minute())
	}
	for i := range s.coarse {
		if s.coarse[i].number > minute/coarseSlotMinutes-coarseSlots {
			longest.add(&s.coarse[i])
		}
	}
	if s.currentCounts.Total > 0 {
		live := slot{number: s.currentMinute, counts: s.currentCounts, waits: compact(s.currentWaits)}
		short.add(&live)
		middle.add(&live)
		longest.add(&live)
		out.Minutes = append(out.Minutes, live.minute())
	}
	return out
}

// load returns the load in the hour that ends with minute.
func (s *series) load(minute int64) *Load {
	load := &Load{Demands: s.demands.current}
	load.Demands.add(&s.demands.previous)
	for _, entry := range s.arrivals {
		if entry != nil && entry.minute > minute-fineSlots {
			load.Arrivals = append(load.Arrivals, entry.widen())
		}
	}
	slices.SortFunc(load.Arrivals, func(a, b Arrivals) int { return cmp.Compare(a.Minute, b.Minute) })
	return load
}

// widen returns the arrivals with counters that are wide enough for the sum of many VMs.
func (a *arrivals) widen() Arrivals {
	wide := Arrivals{Minute: a.minute}
	for i, count := range a.seconds {
		wide.Seconds[i] = uint32(count)
	}
	return wide
}

func (w *Window) add(s *slot) {
	w.Counts.add(s.counts)
	w.Waits.add(s.waits)
}

// minute returns the counts of a slot of one minute.
func (s *slot) minute() Minute {
	m := Minute{Number: s.number, Counts: s.counts}
	if len(s.waits.Indexes) > 0 {
		m.WaitP99 = quantile(s.waits.histogram(), 99)
	}
	return m
}

// sort sorts the series by caller and class, and the limit hits by count, highest first.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	slices.SortFunc(s.LimitHits, func(a, b LimitHits) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Limit, b.Limit))
	})
}
