package learn

// minLineWeight is the number of observations from which the slope of a line is used.
const minLineWeight = 15

// line is the part of the logarithm of the duration (y) that follows from the logarithm of the
// estimate (x), by linear regression. It passes through the mean of the estimates and has no offset:
// that is in the residuals. A slope below 1 draws poor estimates toward their mean.
type line struct {
	weight       float64
	meanX, meanY float64
	varX, covXY  float64
}

func (l *line) observe(x, y float64) {
	l.weight = min(l.weight+1, maxWeight)
	share := 1 / l.weight
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += share * dx
	l.meanY += share * dy
	l.varX += share * (dx*(x-l.meanX) - l.varX)
	l.covXY += share * (dx*(y-l.meanY) - l.covXY)
}

// slope returns the slope, which is 1 until enough is known: the estimate as it is.
func (l *line) slope() float64 {
	if l.weight < minLineWeight || l.varX <= 0 {
		return 1
	}
	return min(max(l.covXY/l.varX, 0), 1)
}

// at returns the value of the line. Without an estimate that is its mean.
func (l *line) at(x float64, known bool) float64 {
	if !known {
		return l.meanX
	}
	return l.meanX + l.slope()*(x-l.meanX)
}
