package main

import (
	"fmt"
	"math"
	"time"

	api "tanagerstack.org/core/api/oper"
)

// The size of a plot in SVG units.
const (
	plotWidth  = 460.0
	plotHeight = 120.0
	// plotMinutes is the number of minutes that a minutesPlot covers.
	plotMinutes = 60
)

// rect is a bar of a plot. Kind is the CSS class of its color, Title its tooltip.
type rect struct {
	X, Y, Width, Height float64
	Kind                string
	Title               string
}

// label is a text at a position in a plot.
type label struct {
	X, Y float64
	Text string
}

// minutesPlot shows the requests of each minute of the last hour as bars, stacked by outcome, and
// the 99th percentile of their waiting time as a line.
type minutesPlot struct {
	Bars   []rect
	Line   string
	Labels []label
	// MostRequests and MostWait are the maxima of the vertical scales.
	MostRequests int64
	MostWait     time.Duration
}

func newMinutesPlot(asOf time.Time, minutes []api.BurnMinute) minutesPlot {
	plot := minutesPlot{MostRequests: 1, MostWait: time.Millisecond}
	for i := range minutes {
		plot.MostRequests = max(plot.MostRequests, minutes[i].Total)
		plot.MostWait = max(plot.MostWait, minutes[i].WaitP99.Value)
	}
	first := asOf.Truncate(time.Minute).Add(-(plotMinutes - 1) * time.Minute)
	for i := range minutes {
		column := minutes[i].At.Sub(first).Minutes()
		if column >= 0 && column < plotMinutes {
			plot.addMinute(column*plotWidth/plotMinutes, &minutes[i])
		}
	}
	plot.Labels = []label{
		{X: 0, Y: plotHeight + 14, Text: first.UTC().Format("15:04")},
		{X: plotWidth / 2, Y: plotHeight + 14, Text: first.Add(plotMinutes / 2 * time.Minute).UTC().Format("15:04")},
		{X: plotWidth - 30, Y: plotHeight + 14, Text: asOf.UTC().Format("15:04")},
	}
	return plot
}

// addMinute adds the stacked bar of a minute, with good requests at the bottom, and its point of the
// line. Late includes the requests with an unknown outcome.
func (p *minutesPlot) addMinute(x float64, m *api.BurnMinute) {
	parts := []struct {
		kind  string
		count int64
	}{
		{"good", m.Total - m.Refused - m.Late},
		{"refused", m.Refused},
		{"late", m.Late - m.Unknown},
		{"unknown", m.Unknown},
	}
	top := plotHeight
	for _, part := range parts {
		if part.count <= 0 {
			continue
		}
		height := plotHeight * float64(part.count) / float64(p.MostRequests)
		top -= height
		p.Bars = append(p.Bars, rect{
			X: x + 0.5, Y: top, Width: plotWidth/plotMinutes - 1, Height: height, Kind: part.kind,
			Title: fmt.Sprintf("%s: %d %s of %d", m.At.UTC().Format("15:04"), part.count, part.kind, m.Total),
		})
	}
	if wait, ok := m.WaitP99.Get(); ok && wait > 0 {
		y := plotHeight * (1 - float64(wait)/float64(p.MostWait))
		p.Line += fmt.Sprintf("%.1f,%.1f ", x+plotWidth/plotMinutes/2, y)
	}
}

// waitsPlot shows quantiles of the waiting time as bars on a logarithmic scale from 100 µs.
type waitsPlot struct {
	Bars   []rect
	Labels []label
}

func newWaitsPlot(waits []api.WaitQuantile) waitsPlot {
	const (
		row    = 15.0
		left   = 48.0
		lowest = float64(100 * time.Microsecond)
	)
	var plot waitsPlot
	most := 10 * lowest
	for _, q := range waits {
		most = math.Max(most, float64(q.Wait))
	}
	for i, q := range waits {
		y := float64(i) * row
		share := math.Log(math.Max(float64(q.Wait)/lowest, 1.1)) / math.Log(most/lowest)
		width := share * (plotWidth/2 - left - 60)
		plot.Bars = append(plot.Bars, rect{X: left, Y: y + 2, Width: width, Height: row - 4, Kind: "wait", Title: q.Wait.String()})
		plot.Labels = append(plot.Labels,
			label{X: 0, Y: y + 12, Text: fmt.Sprintf("p%g", q.Percent)},
			label{X: left + width + 4, Y: y + 12, Text: roundedDuration(q.Wait)})
	}
	return plot
}

// roundedDuration formats a duration rounded to about three digits.
func roundedDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(100 * time.Microsecond).String()
	}
}
