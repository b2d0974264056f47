package learn

import "math"

const (
	// binWidth is the width of a bin in the logarithm of the duration; a bin spans a factor of
	// 1.22. Quantiles are interpolated within a bin.
	binWidth = 0.2
	// bins covers residuals from -6.4 to 6.4, which is a factor of 600 either way. The outermost
	// bins hold everything beyond.
	bins      = 64
	lowestBin = -binWidth * bins / 2
	// unseenBins is the number of bins beyond a lower bound at which a task is counted that runs
	// longer than any before: about half as long again.
	unseenBins = 2
	// maxIncrement is the weight of a new observation at which all weights are scaled down, far
	// below the range of float32.
	maxIncrement = 1e6
)

// histogram holds weighted residuals. Old ones fade because the weight of new ones, increment, grows;
// only the ratio of the two matters.
type histogram struct {
	weights   [bins]float32
	total     float64
	increment float64
}

// weight returns the number of recent observations that the histogram is worth.
func (h *histogram) weight() float64 {
	if h.increment == 0 {
		return 0
	}
	return h.total / h.increment
}

// fade reduces what is known by a factor from 0 to 1 relative to later observations.
func (h *histogram) fade(factor float64) {
	if h.increment == 0 {
		h.increment = 1
	}
	h.increment /= max(factor, 1/maxIncrement)
	if h.increment < maxIncrement {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] = float32(float64(h.weights[i]) / h.increment)
		h.total += float64(h.weights[i])
	}
	h.increment = 1
}

func binOf(residual float64) int {
	return min(max(int(math.Floor((residual-lowestBin)/binWidth)), 0), bins-1)
}

// add counts a residual.
func (h *histogram) add(residual float64) { h.spread(residual, h.increment) }

// spread divides a weight between the two bins whose centers are nearest, so that medians are not
// rounded to bins.
func (h *histogram) spread(residual, weight float64) {
	position := min(max((residual-lowestBin)/binWidth-0.5, 0), bins-1)
	bin := min(int(position), bins-2)
	upper := (position - float64(bin)) * weight
	h.addAt(bin, weight-upper)
	h.addAt(bin+1, upper)
}

func (h *histogram) addAt(bin int, weight float64) {
	h.weights[bin] += float32(weight)
	h.total += weight
}

// addAbove counts a residual that is known to exceed a bound. Its weight is distributed over the
// residuals above the bound in proportion to their weights (Efron's redistribution to the right,
// which gives the Kaplan-Meier estimate).
func (h *histogram) addAbove(bound float64) {
	first := binOf(bound) + 1
	above := h.above(first)
	if above < h.increment {
		h.addAt(min(first-1+unseenBins, bins-1), h.increment)
		return
	}
	for i := first; i < bins; i++ {
		h.weights[i] *= float32(1 + h.increment/above)
	}
	h.total += h.increment
}

// removeAbove takes back the weight that addAbove distributed over residuals above the bound.
func (h *histogram) removeAbove(bound float64) {
	first := binOf(bound) + 1
	above := h.above(first)
	if above == 0 {
		return
	}
	left := max(0, 1-h.increment/above)
	for i := first; i < bins; i++ {
		h.weights[i] *= float32(left)
	}
	h.total = max(0, h.total-above*(1-left))
}

func (h *histogram) above(first int) float64 {
	sum := 0.0
	for i := first; i < bins; i++ {
		sum += float64(h.weights[i])
	}
	return sum
}

// quantiles returns the residuals at all probabilities. The histogram must not be empty.
func (h *histogram) quantiles() (list curve) {
	sum := h.above(0)
	bin, before := 0, 0.0
	for i, p := range probabilities {
		target := p * sum
		for bin < bins-1 && before+float64(h.weights[bin]) < target {
			before += float64(h.weights[bin])
			bin++
		}
		share := 0.5
		if w := float64(h.weights[bin]); w > 0 {
			share = min(max((target-before)/w, 0), 1)
		}
		list[i] = lowestBin + binWidth*(float64(bin)+share)
	}
	return list
}

// merge adds the residuals of another histogram, each moved by an offset and with a factor on its
// weight.
func (h *histogram) merge(other *histogram, offset, factor float64) {
	if h.increment == 0 {
		h.increment = 1
	}
	for i, w := range other.weights {
		if w > 0 {
			h.spread(lowestBin+binWidth*(float64(i)+0.5)+offset, factor*float64(w)*h.increment/other.increment)
		}
	}
}
