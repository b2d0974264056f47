package burn

import (
	"cmp"
	"slices"
)

// Merge returns the sum of the snapshots of several entry VMs. The snapshots should be
// taken at about the same instant.
func Merge(snapshots ...Snapshot) Snapshot {
	bySeries := make(map[seriesKey]*Series)
	byLimit := make(map[hitKey]int64)
	for i := range snapshots {
		for j := range snapshots[i].Series {
			mergeSeries(bySeries, &snapshots[i].Series[j])
		}
		for _, hit := range snapshots[i].LimitHits {
			byLimit[hitKey{caller: hit.Caller, limit: hit.Limit}] += hit.Count
		}
	}
	var merged Snapshot
	for _, series := range bySeries {
		merged.Series = append(merged.Series, *series)
	}
	for key, count := range byLimit {
		merged.LimitHits = append(merged.LimitHits, LimitHits{Caller: key.caller, Limit: key.limit, Count: count})
	}
	merged.sort()
	return merged
}

// mergeSeries adds a series to the series with the same key in all.
func mergeSeries(all map[seriesKey]*Series, from *Series) {
	key := seriesKey{caller: from.Caller, class: from.Class}
	into, ok := all[key]
	if !ok {
		into = &Series{Caller: from.Caller, Class: from.Class}
		all[key] = into
	}
	for i := range into.Windows {
		into.Windows[i].Counts.add(from.Windows[i].Counts)
		into.Windows[i].Waits.add(from.Windows[i].Waits)
	}
	for _, minute := range from.Minutes {
		into.addMinute(minute)
	}
	if from.Load != nil {
		if into.Load == nil {
			into.Load = new(Load)
		}
		into.Load.add(from.Load)
	}
}

// addMinute adds the counts of a minute to Minutes, which stays sorted.
func (s *Series) addMinute(minute Minute) {
	at, found := slices.BinarySearchFunc(s.Minutes, minute.Number, func(m Minute, number int64) int {
		return cmp.Compare(m.Number, number)
	})
	if !found {
		s.Minutes = slices.Insert(s.Minutes, at, minute)
		return
	}
	s.Minutes[at].Counts.add(minute.Counts)
	s.Minutes[at].WaitP99 = max(s.Minutes[at].WaitP99, minute.WaitP99)
}

func (l *Load) add(other *Load) {
	l.Demands.add(&other.Demands)
	for _, from := range other.Arrivals {
		at, found := slices.BinarySearchFunc(l.Arrivals, from.Minute, func(a Arrivals, minute int64) int {
			return cmp.Compare(a.Minute, minute)
		})
		if !found {
			l.Arrivals = slices.Insert(l.Arrivals, at, from)
			continue
		}
		for i := range from.Seconds {
			l.Arrivals[at].Seconds[i] += from.Seconds[i]
		}
	}
}
