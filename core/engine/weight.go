package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Weights are rates for the usual load. When most organizations are beyond them, they do not tell any more
// who takes from whom: nearly all work would be partly excess, and owed work that is late would go before
// excess that is not. Weights are therefore raised with the load that is typical of the organizations, and
// only what an organization sends clearly beyond that is excess.

const (
	// submissionWindow is the period over which the rate of an organization's jobs is averaged, with weights
	// that fall exponentially. The bursts to withstand last 3 s and more.
	submissionWindow = 3 * time.Second
	// weightRoom is how much an organization may send, relative to its weight and to the typical one, before
	// it is excess. In the model 2 earned more in an overload, but at the usual load with a flood of one
	// organization more jobs waited in vain than with fixed weights (docs/design/caps.md).
	weightRoom = 1.25
	// weightFactorTTL is how long a computed factor is used: after a takeover thousands of jobs are marked
	// in one pass.
	weightFactorTTL = 100 * time.Millisecond
)

// submissionRate is the mean number of jobs per second, as of the latest arrival. The zero value has seen none.
type submissionRate struct {
	perSecond float64
	at        time.Time
}

// observe adds a job that arrived at a time.
func (r *submissionRate) observe(at time.Time) {
	r.perSecond = r.by(at) + 1/submissionWindow.Seconds()
	if at.After(r.at) {
		r.at = at
	}
}

// by returns the rate as of a time.
func (r *submissionRate) by(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/submissionWindow.Seconds())
}

// takeSubmission counts a job of an organization of the configuration and reports whether it is excess.
func (e *Engine) takeSubmission(j *job, arrived time.Time) (excess bool) {
	o := j.organization
	o.submissions.observe(arrived)
	return o.bucket.take(arrived, o.entry.Weight*e.weightFactor(arrived))
}

// weightFactor returns the factor by which the weights are raised at the arrival of a job.
func (e *Engine) weightFactor(arrived time.Time) float64 {
	if age := arrived.Sub(e.weightFactorAt); e.lastWeightFactor > 0 && age >= 0 && age < weightFactorTTL {
		return e.lastWeightFactor
	}
	e.lastWeightFactor, e.weightFactorAt = e.computeWeightFactor(arrived), arrived
	return e.lastWeightFactor
}

// computeWeightFactor returns weightRoom times the typical rate of an organization relative to its weight, at
// least 1. The typical one is the median by weight. So neither one organization that sends a multiple of its
// load nor many small ones raise the factor.
func (e *Engine) computeWeightFactor(now time.Time) float64 {
	if e.opts.Policy.FixedWeights {
		return 1
	}
	type load struct{ relative, weight float64 }
	entries := e.config.Organizations.All()
	list := make([]load, 0, len(entries))
	sum := 0.0
	for i := range entries {
		weight := entries[i].Weight
		if !(weight > 0) {
			continue
		}
		l := load{weight: weight}
		if o := e.organizations[entries[i].Name]; o != nil {
			l.relative = o.submissions.by(now) / weight
		}
		list = append(list, l)
		sum += weight
	}
	slices.SortFunc(list, func(a, b load) int { return cmp.Compare(a.relative, b.relative) })
	below := 0.0
	for _, l := range list {
		if below += l.weight; below >= sum/2 {
			return max(1, weightRoom*l.relative)
		}
	}
	return 1
}
