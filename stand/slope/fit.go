package slope

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Line is a fitted straight line: value = Intercept + Slope x size.
type Line struct {
	Intercept float64
	Slope     float64
	// Spread is the largest absolute difference between a point and the line.
	Spread float64
	// Sizes are the distinct sizes of the points, in increasing order.
	Sizes []float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through the points of a role for one measure. It fails with fewer
// than two distinct sizes.
func Fit(points []Point, role, measure string) (Line, error) {
	var sizes, values []float64
	for i := range points {
		if value, ok := points[i].Usage[measure]; ok && points[i].Role == role {
			sizes = append(sizes, points[i].Size)
			values = append(values, value)
		}
	}
	distinct := slices.Clone(sizes)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	if len(distinct) < 2 {
		return Line{}, fmt.Errorf("role %s has points at %d sizes; a fit needs at least 2", role, len(distinct))
	}
	line := leastSquares(sizes, values)
	line.Sizes = distinct
	for i := range sizes {
		line.Spread = math.Max(line.Spread, math.Abs(values[i]-line.At(sizes[i])))
	}
	return line, nil
}

func leastSquares(sizes, values []float64) Line {
	meanSize, meanValue := mean(sizes), mean(values)
	var covariance, variance float64
	for i := range sizes {
		covariance += (sizes[i] - meanSize) * (values[i] - meanValue)
		variance += (sizes[i] - meanSize) * (sizes[i] - meanSize)
	}
	slope := covariance / variance
	return Line{Intercept: meanValue - slope*meanSize, Slope: slope}
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Projection is a role and the size to extrapolate its usage to.
type Projection struct {
	Role string
	Size float64
}

// WriteTable writes a Markdown table with the fitted line of each measure and role, and the usage
// extrapolated to the size of each projection.
func WriteTable(out io.Writer, points []Point, projections []Projection) error {
	rows := []string{
		"| role | measure | sizes measured | at size 0 | per unit | spread | at target size |",
		"| --- | --- | --- | ---: | ---: | ---: | ---: |",
	}
	for _, projection := range projections {
		for _, measure := range Measures() {
			line, err := Fit(points, projection.Role, measure)
			if err != nil {
				return err
			}
			rows = append(rows, fmt.Sprintf("| %s | %s | %s | %.3g | %.3g | ±%.2g | %.3g at %g |",
				projection.Role, measure, joinNumbers(line.Sizes), line.Intercept, line.Slope, line.Spread, line.At(projection.Size), projection.Size))
		}
	}
	_, err := io.WriteString(out, strings.Join(rows, "\n")+"\n")
	return err
}

func joinNumbers(values []float64) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = fmt.Sprintf("%g", value)
	}
	return strings.Join(texts, ", ")
}
