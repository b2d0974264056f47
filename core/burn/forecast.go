package burn

import (
	"time"

	"tanagerstack.org/core/policy"
)

// Forecast is the number of requests of a series in the last hour that a policy would
// have refused.
type Forecast struct {
	Caller string
	Class  string
	// Requests is the number of requests that arrived.
	Requests int64
	// OverRate, OverBodyBytes and OverWindow are the numbers of requests over each
	// limit. A request may be over several limits. Body sizes and windows come from
	// histograms with powers of two as bounds, so that some requests just over a limit
	// are not counted.
	OverRate      int64
	OverBodyBytes int64
	OverWindow    int64
}

// Refused returns a lower bound of the number of requests that would have been refused.
func (f Forecast) Refused() int64 {
	return max(f.OverRate, f.OverBodyBytes, f.OverWindow)
}

// Predict applies the limits of a document at now to the load of a snapshot. It returns
// one Forecast for each series that has a load. The rate of a caller is shared by those
// of its classes that have the same limits. The limit on concurrent requests is not
// applied, since it depends on the durations of requests. The service of requests is
// not recorded: all requests of a series are treated as requests for the first service,
// by name, whose default class is the class of the series.
func Predict(s Snapshot, doc *policy.Document, now time.Time) []Forecast {
	groups := make(map[groupKey]*group)
	forecasts := make([]Forecast, 0, len(s.Series))
	for i := range s.Series {
		series := &s.Series[i]
		if series.Load == nil {
			continue
		}
		limits, _ := doc.Limits(series.Caller, series.Class, defaultServiceOf(doc, series.Class), now)
		key := groupKey{caller: series.Caller, limits: limits}
		if groups[key] == nil {
			groups[key] = new(group)
		}
		groups[key].load.add(series.Load)
		groups[key].members = append(groups[key].members, len(forecasts))
		forecasts = append(forecasts, predict(series, limits))
	}
	for key, g := range groups {
		g.divideRefusals(forecasts, key.limits)
	}
	return forecasts
}

// predict counts the requests of a series and those that are over the limits on the
// body size and the window.
func predict(s *Series, limits policy.Limits) Forecast {
	f := Forecast{
		Caller:        s.Caller,
		Class:         s.Class,
		OverBodyBytes: countValuesAbove(&s.Load.Demands.Bodies, limits.BodyBytes),
		OverWindow:    countValuesAbove(&s.Load.Demands.Windows, time.Duration(limits.Window).Milliseconds()),
	}
	for i := range s.Load.Arrivals {
		for _, count := range s.Load.Arrivals[i].Seconds {
			f.Requests += int64(count)
		}
	}
	return f
}

// groupKey identifies the series that share a rate limit.
type groupKey struct {
	caller string
	limits policy.Limits
}

// group is the combined load of the series that share a rate limit. members holds
// their indexes in the list of forecasts.
type group struct {
	load    Load
	members []int
}

// divideRefusals sets OverRate of the members: the requests over the common rate limit
// are divided in proportion to the requests of each member.
func (g *group) divideRefusals(forecasts []Forecast, limits policy.Limits) {
	requests, refused := replay(g.load.Arrivals, limits.RequestsPerSecond, float64(limits.Burst))
	for _, i := range g.members {
		forecasts[i].OverRate = refused * forecasts[i].Requests / max(requests, 1)
	}
}

// replay simulates a token bucket that gains rate tokens per second and holds at most
// burst. It returns the numbers of all and of refused requests. all must be sorted by
// minute.
func replay(all []Arrivals, rate, burst float64) (requests, refused int64) {
	tokens, last := burst, int64(0)
	for i := range all {
		for second, count := range all[i].Seconds {
			at := all[i].Minute*60 + int64(second)
			tokens = min(burst, tokens+rate*float64(at-last-1))
			last = at
			// The tokens gained in this second can be used within it.
			passed := min(int64(count), int64(tokens+rate))
			tokens = min(burst, tokens+rate-float64(passed))
			requests += int64(count)
			refused += int64(count) - passed
		}
	}
	return requests, refused
}

// defaultServiceOf returns the first service by name whose default class is class, or ""
// if there is none.
func defaultServiceOf(doc *policy.Document, class string) string {
	found := ""
	for name, service := range doc.Services {
		if service.Class == class && (found == "" || name < found) {
			found = name
		}
	}
	return found
}
