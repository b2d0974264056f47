package burn

import (
	"time"

	"tanagerstack.org/core/policy"
)

// Forecast is what a document would have refused of a series in the last hour.
type Forecast struct {
	Caller string
	Class  string
	// Requests is the number of requests that arrived.
	Requests int64
	// Rate, Body and Window are the requests over the limit of that kind. A
	// request may be over several. Bodies and windows are counted by powers of
	// two, so some requests just over a limit are not counted.
	OverRate      int64
	OverBodyBytes int64
	OverWindow    int64
}

// Refused returns the least number of requests that would have been refused.
func (f Forecast) Refused() int64 {
	return max(f.OverRate, f.OverBodyBytes, f.OverWindow)
}

// Predict applies the limits of a document to the load of a snapshot that was
// taken with load. The rate of a caller is shared by those of its classes that
// have the same limits. The limit on concurrent requests is left out, since it
// depends on how long requests run. Exceptions for a service apply to all
// requests of the class whose service is that service's default.
func Predict(s Snapshot, doc *policy.Document, now time.Time) []Forecast {
	groups := make(map[groupKey]*group)
	forecasts := make([]Forecast, 0, len(s.Series))
	for i := range s.Series {
		series := &s.Series[i]
		if series.Load == nil {
			continue
		}
		limits, _ := doc.Limits(series.Caller, series.Class, serviceOf(doc, series.Class), now)
		key := groupKey{caller: series.Caller, limits: limits}
		if groups[key] == nil {
			groups[key] = new(group)
		}
		groups[key].load.add(series.Load)
		groups[key].members = append(groups[key].members, len(forecasts))
		forecasts = append(forecasts, predict(series, limits))
	}
	for key, g := range groups {
		g.share(forecasts, key.limits)
	}
	return forecasts
}

// predict counts what a series asked for and what is over limits of one request.
func predict(s *Series, limits policy.Limits) Forecast {
	f := Forecast{
		Caller:        s.Caller,
		Class:         s.Class,
		OverBodyBytes: countAbove(&s.Load.Demands.Bodies, limits.BodyBytes),
		OverWindow:    countAbove(&s.Load.Demands.Windows, time.Duration(limits.Window).Milliseconds()),
	}
	for i := range s.Load.Arrivals {
		for _, count := range s.Load.Arrivals[i].Seconds {
			f.Requests += int64(count)
		}
	}
	return f
}

// groupKey names series that share a rate.
type groupKey struct {
	caller string
	limits policy.Limits
}

// group is the load of series that share a rate.
type group struct {
	load    Load
	members []int
}

// share divides the requests over the rate among the members by their requests.
func (g *group) share(forecasts []Forecast, limits policy.Limits) {
	requests, refused := replay(g.load.Arrivals, limits.RequestsPerSecond, float64(limits.Burst))
	for _, i := range g.members {
		forecasts[i].OverRate = refused * forecasts[i].Requests / max(requests, 1)
	}
}

// replay runs arrivals through a token bucket that gains rate tokens a second
// and holds burst.
func replay(all []Arrivals, rate, burst float64) (requests, refused int64) {
	tokens, last := burst, int64(0)
	for i := range all {
		for second, count := range all[i].Seconds {
			at := all[i].Minute*60 + int64(second)
			tokens = min(burst, tokens+rate*float64(at-last-1))
			last = at
			// The tokens of this second can be spent within it.
			passed := min(int64(count), int64(tokens+rate))
			tokens = min(burst, tokens+rate-float64(passed))
			requests += int64(count)
			refused += int64(count) - passed
		}
	}
	return requests, refused
}

// serviceOf returns a service whose default class is class, or "".
func serviceOf(doc *policy.Document, class string) string {
	found := ""
	for name, service := range doc.Services {
		if service.Class == class && (found == "" || name < found) {
			found = name
		}
	}
	return found
}
