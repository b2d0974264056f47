package intake

import (
	"time"

	"tanagerstack.org/core/jobs"
)

// Reason tells why a job was refused. The zero value means that it was not.
type Reason string

// The reasons of refusals, as they appear in logs, metrics and answers.
const (
	// TooLate means that the job would earn nothing even by an optimistic prediction.
	TooLate Reason = "too-late"
	// Excess means that the organization submits more than its weight while its queue is full.
	Excess Reason = "excess"
	// GangExceedsCap means that a gang of the job is wider than its organization's cap.
	GangExceedsCap Reason = "gang-exceeds-cap"
)

// Decision is the outcome for a request. Its zero value accepts the job.
type Decision struct {
	Reason Reason
	// RetryAfter is the time after which a place is expected to be free. Zero means that coming back
	// does not help.
	RetryAfter time.Duration
	// Start is the predicted time until the job starts, as far as it is known.
	Start time.Duration
}

// Accepted reports whether the job is accepted.
func (d Decision) Accepted() bool { return d.Reason == "" }

// Rules select what is refused besides gangs that exceed a cap. The zero value refuses nothing else.
type Rules struct{ TooLate, Excess bool }

const (
	// minRetryAfter is the least time to come back that a caller is told: callers retry at most four
	// times, and the load changes within seconds.
	minRetryAfter = time.Second
	// retrySpread is the part of the time to come back over which callers are spread, so that those
	// refused together do not return together.
	retrySpread = 0.5
)

// Decide accepts a job, or refuses it with the reason and the time to come back. It handles bursts that
// ask for more than the workers have, and an organization that sends a multiple of its usual load. It
// accepts what a snapshot does not tell, or a snapshot older than MaxAge.
func (s *Snapshot) Decide(now time.Time, r Request, rules Rules) Decision {
	if r.ExceedsCap {
		return Decision{Reason: GangExceedsCap}
	}
	if !s.Fresh(now) || r.Recurring || r.Service {
		return Decision{}
	}
	q := s.queue(r.Queue)
	if q == nil {
		return Decision{}
	}
	// A capacity that is not free by the last horizon depends on more than is predicted.
	after, known := q.freeAfter(r.Millicores)
	if !known {
		return Decision{}
	}
	start := max(0, after-now.Sub(s.At))
	end := start + r.CriticalPath
	d := Decision{Start: start}
	if rules.TooLate && end > jobs.WorthlessFactor*r.Objective {
		d.Reason, d.RetryAfter = TooLate, s.retryAfter(r, start)
		return d
	}
	endangered := end+time.Duration(jobs.RiskMargin*float64(r.CriticalPath)) > r.Objective
	if wait, excess := s.excess(now, r.Organization); rules.Excess && excess && endangered {
		d.Reason, d.RetryAfter = Excess, s.retryAfter(r, max(start, wait))
	}
	return d
}

// retryAfter returns the time after which a job that could start after a wait would start at once, spread
// by the request.
func (s *Snapshot) retryAfter(r Request, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(retrySpread*r.Spread*float64(wait))
}

// excess reports whether a job that an organization submits now is excess, and when the next one would not be.
func (s *Snapshot) excess(now time.Time, name string) (wait time.Duration, excess bool) {
	for i := range s.Organizations {
		o := &s.Organizations[i]
		if o.Name != name {
			continue
		}
		available := min(o.Jobs+o.PerSecond*now.Sub(s.At).Seconds(), Depth(o.PerSecond))
		if available >= 1 {
			return 0, false
		}
		if o.PerSecond <= 0 {
			return Horizons[len(Horizons)-1], true
		}
		return seconds((1 - available) / o.PerSecond), true
	}
	return 0, false
}
