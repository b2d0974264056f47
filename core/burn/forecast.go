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
	Rate   int64
	Body   int64
	Window int64
}

// Refused returns the least number of requests that would have been refused.
func (f Forecast) Refused() int64 {
	return max(f.Rate, f.Body, f.Window)
}

// Predict applies the limits of a document to the load of a snapshot that was
// taken with load. The limit on concurrent requests is left out, since it
// depends on how long requests run. Exceptions for a service apply to all
// requests of the class whose service is that service's default.
func Predict(s Snapshot, doc *policy.Document, now time.Time) []Forecast {
	var forecasts []Forecast
	for i := range s.Series {
		if series := &s.Series[i]; series.Load != nil {
			limits, _ := doc.Limits(series.Caller, series.Class, serviceOf(doc, series.Class), now)
			forecasts = append(forecasts, predict(series, limits))
		}
	}
	return forecasts
}

func predict(s *Series, limits policy.Limits) Forecast {
	requests, refused := replay(s.Load.Arrivals, limits.RequestsPerSecond, float64(limits.Burst))
	return Forecast{
		Caller:   s.Caller,
		Class:    s.Class,
		Requests: requests,
		Rate:     refused,
		Body:     countAbove(&s.Load.Demands.Bodies, limits.BodyBytes),
		Window:   countAbove(&s.Load.Demands.Windows, time.Duration(limits.Window).Milliseconds()),
	}
}

// replay runs arrivals through a token bucket that gains rate tokens a second
// and holds burst.
func replay(all []Arrivals, rate, burst float64) (requests, refused int64) {
	tokens, last := burst, int64(0)
	for i := range all {
		for second, count := range all[i].Seconds {
			at := all[i].Minute*60 + int64(second)
			tokens = min(burst, tokens+rate*float64(at-last))
			last = at
			// Tokens that arrive within the second are spent in it too.
			passed := min(int64(count), int64(tokens+rate))
			tokens = max(0, tokens-float64(passed))
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
