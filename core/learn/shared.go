package learn

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minVoters is the number of organizations from which what they have in common is used: with
	// fewer, it cannot be told which one is the outlier.
	minVoters = 3
	// minVoteWeight is the weight that an organization needs to count, and maxVoteWeight the one
	// beyond which it counts no more, however many tasks it has.
	minVoteWeight = 1
	maxVoteWeight = 60
	// sharedMaxAge is the number of observations in a queue for which the shared level is kept.
	sharedMaxAge = 16
	// An organization is an outlier if its median residual, or a quantile near the end of its
	// distribution, is further from the median of the others' than outlierDeviations standard
	// deviations, as estimated from the median deviation, and than a least distance: a factor of
	// 2 for medians and 4.5 near the ends.
	outlierDeviations = 3
	deviationFactor   = 1.48
	medianDistance    = 0.7
	endDistance       = 1.5
)

// shared is what the organizations of a queue have in common. It counts organizations, not tasks, and
// leaves out outliers.
type shared struct {
	voters       int
	meanX, slope float64
	residuals    curve
	kinds        [maxKinds]float64
	steps        [maxSteps]float64
}

// sharedLevel returns what the organizations have in common.
func (q *queue) sharedLevel(elapsed time.Duration) *shared {
	if q.sharedAt > 0 && q.revision-q.sharedAt < sharedMaxAge {
		return &q.shared
	}
	q.sharedAt = max(q.revision, 1)
	q.shared = shared{}
	voters := make([]*organization, 0, len(q.organizations))
	// Sums of floating-point numbers depend on their order.
	for _, name := range slices.Sorted(maps.Keys(q.organizations)) {
		if o := q.organizations[name]; o.weight(elapsed) >= minVoteWeight {
			voters = append(voters, o)
		}
	}
	if len(voters) >= minVoters {
		q.shared = pool(withoutOutliers(voters), elapsed)
	}
	return &q.shared
}

// pool combines organizations with limited weights.
func pool(voters []*organization, elapsed time.Duration) shared {
	var common Line
	for _, o := range voters {
		w := min(o.line.weight, maxVoteWeight)
		common.weight += w
		common.meanX += w * o.line.meanX
		common.meanY += w * o.line.meanY
	}
	if common.weight > 0 {
		common.meanX /= common.weight
		common.meanY /= common.weight
		for _, o := range voters {
			share := min(o.line.weight, maxVoteWeight) / common.weight
			common.varX += share * (o.line.varX + (o.line.meanX-common.meanX)*(o.line.meanX-common.meanX))
			common.covXY += share * (o.line.covXY + (o.line.meanX-common.meanX)*(o.line.meanY-common.meanY))
		}
	}
	var h histogram
	for _, o := range voters {
		w := o.weight(elapsed)
		h.merge(&o.histogram, o.line.meanX-common.at(o.line.meanX, true), min(w, maxVoteWeight)/o.histogram.weight())
	}
	if h.weight() < minLineWeight {
		return shared{}
	}
	s := shared{voters: len(voters), meanX: common.meanX, slope: common.slope(), residuals: h.quantiles()}
	for i := range s.kinds {
		s.kinds[i] = medianEffect(voters, func(o *organization) effect { return o.kinds[i] })
	}
	for i := range s.steps {
		s.steps[i] = medianEffect(voters, func(o *organization) effect { return o.steps[i] })
	}
	return s
}

// withoutOutliers returns the organizations whose distributions are near those of most.
func withoutOutliers(list []*organization) []*organization {
	checks := []struct {
		probability      int
		weight, distance float64
	}{{middle, 0, medianDistance}, {1, minLineWeight, endDistance}, {5, minLineWeight, endDistance}}
	for _, check := range checks {
		values := make([]float64, 0, len(list))
		for _, o := range list {
			values = append(values, o.quantiles()[check.probability])
		}
		center := medianOf(values)
		for i := range values {
			values[i] = math.Abs(values[i] - center)
		}
		limit := max(outlierDeviations*deviationFactor*medianOf(values), check.distance)
		list = slices.DeleteFunc(list, func(o *organization) bool {
			return o.histogram.weight() >= check.weight && math.Abs(o.quantiles()[check.probability]-center) > limit
		})
	}
	return list
}

// medianEffect returns the median of an effect over the organizations that know it, or 0 if fewer than
// minVoters do.
func medianEffect(list []*organization, effectOf func(*organization) effect) float64 {
	values := make([]float64, 0, len(list))
	for _, o := range list {
		if e := effectOf(o); e.weight >= effectPriorWeight {
			values = append(values, float64(e.mean))
		}
	}
	if len(values) < minVoters {
		return 0
	}
	return medianOf(values)
}

// medianOf returns the median of a list that is not empty.
func medianOf(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
