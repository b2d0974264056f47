package learn

// minLineWeight is the number of observations from which a line is used.
const minLineWeight = 15

// Line is a linear regression of the logarithm of the duration (y) on the logarithm of the estimate (x),
// in which older observations have less weight. A slope below 1 draws poor estimates toward their mean.
// The zero value has seen nothing.
type Line struct {
	weight       float64
	meanX, meanY float64
	varX, covXY  float64
}

// Observe adds an observation. The line is averaged over the given number of them.
func (l *Line) Observe(x, y, samples float64) {
	l.weight = min(l.weight+1, samples)
	share := 1 / l.weight
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += share * dx
	l.meanY += share * dy
	l.varX += share * (dx*(x-l.meanX) - l.varX)
	l.covXY += share * (dx*(y-l.meanY) - l.covXY)
}

// slope returns the slope, which is 1 until enough is known: the estimate as it is.
func (l *Line) slope() float64 {
	if l.weight < minLineWeight || l.varX <= 0 {
		return 1
	}
	return min(max(l.covXY/l.varX, 0), 1)
}

// Predict returns the y of an x, and whether enough is known to tell.
func (l *Line) Predict(x float64) (y float64, known bool) {
	return l.meanY + l.slope()*(x-l.meanX), l.weight >= minLineWeight
}

// at returns the value of a line with the same slope through the mean of the estimates. It has no offset:
// that is in the residuals. Without an estimate it is the mean.
func (l *Line) at(x float64, known bool) float64 {
	if !known {
		return l.meanX
	}
	return l.meanX + l.slope()*(x-l.meanX)
}
