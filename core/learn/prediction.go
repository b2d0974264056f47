package learn

import (
	"math"
	"time"
)

// probabilities are those for which quantiles are kept.
var probabilities = [...]float64{0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99}

// normalQuantiles are the quantiles of the normal distribution at the probabilities.
var normalQuantiles = curve{-1.645, -1.282, -0.674, 0, 0.674, 1.282, 1.645, 2.054, 2.326}

const middle = 3

// curve has a value for each of the probabilities, in ascending order.
type curve [len(probabilities)]float64

// Level is what a prediction rests on.
type Level int

// The levels, from the coarsest to the finest. Predictions of a finer level include the coarser ones
// with a weight that falls as more is known.
const (
	// LevelEstimate means that only the estimate is known.
	LevelEstimate Level = iota
	// LevelQueue means that the queue's other organizations are known, and this one hardly.
	LevelQueue
	// LevelOrganization means that the organization's own tasks count for more than half.
	LevelOrganization
)

// String returns the level as written in logs.
func (l Level) String() string {
	return [...]string{"estimate", "queue", "organization"}[l]
}

// Prediction is a predicted distribution of a task's duration. The zero value predicts nothing: all
// of its durations are zero.
type Prediction struct {
	// Level is the finest level that counts for more than half, and Weight the number of recent
	// observations of the organization that the prediction rests on.
	Level  Level
	Weight float64

	known bool
	// logs are the quantiles of the logarithm of the duration in seconds.
	logs curve
}

// Known reports whether there is a prediction: there was an estimate, or something is known.
func (p *Prediction) Known() bool { return p.known }

// Median returns the duration that half of such tasks exceed.
func (p *Prediction) Median() time.Duration {
	if !p.known {
		return 0
	}
	return fromLog(p.logs[middle])
}

// Quantile returns the duration that a task stays within with the given probability, which is
// limited to 0.05 to 0.99.
func (p *Prediction) Quantile(probability float64) time.Duration {
	if !p.known {
		return 0
	}
	return fromLog(p.logs.at(probability))
}

// Spread returns the ratio of a quantile to the median, or 1 if nothing is predicted.
func (p *Prediction) Spread(probability float64) float64 {
	if !p.known {
		return 1
	}
	return math.Exp(p.logs.at(probability) - p.logs[middle])
}

// Exceeds returns the probability that the task takes longer than d, limited to 0.01 to 0.95.
func (p *Prediction) Exceeds(d time.Duration) float64 {
	if !p.known || d <= 0 {
		return 1 - probabilities[0]
	}
	return 1 - p.logs.probabilityOf(math.Log(d.Seconds()))
}

const (
	// overdueShare is the remaining time of a task that runs longer than nearly all others, as a
	// fraction of its age.
	overdueShare = 0.25
	// leastRemainingShare is the least remaining time as a fraction of the median.
	leastRemainingShare = 0.05
)

// Remaining returns the median of the time that a task still runs that has run for the given age.
func (p *Prediction) Remaining(age time.Duration) time.Duration {
	median := p.Median()
	if age <= 0 || !p.known {
		return median
	}
	reached := 1 - p.Exceeds(age)
	remaining := time.Duration(overdueShare * float64(age))
	if reached < probabilities[len(probabilities)-1] {
		remaining = p.Quantile((1+reached)/2) - age
		if reached <= probabilities[0] {
			remaining = median - age
		}
	}
	return max(remaining, time.Duration(leastRemainingShare*float64(median)))
}

// at interpolates the curve at a probability.
func (c *curve) at(probability float64) float64 {
	for i, p := range probabilities {
		if probability > p {
			continue
		}
		if i == 0 {
			return c[0]
		}
		before := probabilities[i-1]
		return c[i-1] + (c[i]-c[i-1])*(probability-before)/(p-before)
	}
	return c[len(c)-1]
}

// probabilityOf returns the probability at which the curve has a value, within the probabilities
// that it covers.
func (c *curve) probabilityOf(value float64) float64 {
	for i, v := range c {
		if value > v {
			continue
		}
		if i == 0 || v <= c[i-1] {
			return probabilities[i]
		}
		return probabilities[i-1] + (probabilities[i]-probabilities[i-1])*(value-c[i-1])/(v-c[i-1])
	}
	return probabilities[len(probabilities)-1]
}

func fromLog(log float64) time.Duration {
	seconds := math.Exp(log)
	if !(seconds < maxDuration.Seconds()) {
		return maxDuration
	}
	return max(time.Duration(seconds*float64(time.Second)), 1)
}
