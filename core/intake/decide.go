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
	// NoChance means that the job is excess, and the work that organizations are owed leaves no capacity
	// before it is worthless.
	NoChance Reason = "no-chance"
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
type Rules struct{ TooLate, Excess, NoChance bool }

const (
	// minRetryAfter is the least time to come back that a caller is told: callers retry at most four
	// times, and the load changes within seconds.
	minRetryAfter = time.Second
	// retrySpread is the part of the time to come back over which callers are spread, so that those
	// refused together do not return together.
	retrySpread = 0.5
)

// Decide accepts a job, or refuses it with the reason and the time to come back. It handles bursts that
// ask for more than the workers have, and organizations that send a multiple of their usual load. It
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
	wait, excess, lasting := s.excess(now, r.Organization)
	if rules.NoChance && lasting {
		if d := s.decideExcess(now, q, r, wait); !d.Accepted() {
			return d
		}
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
	if rules.Excess && excess && endangered {
		d.Reason, d.RetryAfter = Excess, s.retryAfter(r, max(start, wait))
	}
	return d
}

// decideExcess refuses excess for which no capacity is left before it is worthless. Wait is the time until
// a job of the organization is not excess. A job that could still start after the last of the horizons is
// accepted.
func (s *Snapshot) decideExcess(now time.Time, q *Queue, r Request, wait time.Duration) Decision {
	if q.ExcessFree == nil {
		return Decision{}
	}
	age := now.Sub(s.At)
	latest := age + jobs.WorthlessFactor*r.Objective - r.CriticalPath
	after, known := q.freeAfterIn(q.ExcessFree, r.TaskMillicores)
	if known && after <= latest || !known && latest >= Horizons[len(Horizons)-1] {
		return Decision{}
	}
	// The job has a place as excess, or as a job that is not excess once the organization may submit one.
	d := Decision{Reason: NoChance, Start: Horizons[len(Horizons)-1] - age}
	if owed, free := q.freeAfter(r.Millicores); free {
		d.Start = max(wait, owed-age)
	}
	if known {
		d.Start = min(d.Start, after-age)
	}
	d.RetryAfter = s.retryAfter(r, d.Start)
	return d
}

// retryAfter returns the time after which a job that could start after a wait would start at once, spread
// by the request.
func (s *Snapshot) retryAfter(r Request, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(retrySpread*r.Spread*float64(wait))
}

// excess reports whether a job that an organization submits now is excess, and when the next one would not be.
// Lasting also allows for what the organization submits at other VMs, which take from the same bucket.
func (s *Snapshot) excess(now time.Time, name string) (wait time.Duration, excess, lasting bool) {
	for i := range s.Organizations {
		o := &s.Organizations[i]
		if o.Name != name {
			continue
		}
		age := now.Sub(s.At).Seconds()
		lasting = min(o.Jobs+o.Growth*age, Depth(o.PerSecond)) < 1
		available := min(o.Jobs+o.PerSecond*age, Depth(o.PerSecond))
		switch {
		case available >= 1:
			return 0, false, lasting
		case o.PerSecond <= 0:
			return Horizons[len(Horizons)-1], true, lasting
		default:
			return seconds((1 - available) / o.PerSecond), true, lasting
		}
	}
	return 0, false, false
}
