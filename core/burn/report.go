package burn

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/policy"
)

// Objective is the name of a service level objective.
type Objective string

// The objectives of a class.
const (
	// Waiting limits the time from the arrival of a request until it is sent to a
	// target.
	Waiting Objective = "waiting"
	// Truthful limits the number of requests of unknown outcome.
	Truthful Objective = "truthful"
	// Completion requires that accepted requests complete inside their window.
	Completion Objective = "completion"
)

// ReportRow is the state of one objective of one series.
type ReportRow struct {
	Caller    string
	Class     string
	Objective Objective
	// Target is the share of requests that must be good, between 0 and 1.
	Target float64
	// Total and Bad are the numbers of all and of bad requests in the longest window.
	Total int64
	Bad   int64
	// BudgetLeft is the remaining share of the error budget of the longest window. It is
	// negative if there were more bad requests than the objective allows.
	BudgetLeft float64
	// Rates holds the burn rates of the windows, in the order of Windows.
	Rates [windowCount]float64
	// P50 and P99 are percentiles of the waiting time in the longest window. They are set
	// only in rows of the objective Waiting.
	P50 time.Duration
	P99 time.Duration
}

// Report compares a snapshot with the objectives of a policy. The rows are sorted by
// BudgetLeft, lowest first. Series of classes that the policy does not define have no
// objectives and therefore no rows.
func Report(s Snapshot, doc *policy.Document) []ReportRow {
	var rows []ReportRow
	for i := range s.Series {
		if class, ok := doc.Classes[s.Series[i].Class]; ok {
			rows = append(rows, seriesRows(&s.Series[i], class.Objectives)...)
		}
	}
	slices.SortStableFunc(rows, func(a, b ReportRow) int { return cmp.Compare(a.BudgetLeft, b.BudgetLeft) })
	return rows
}

// seriesRows returns the rows of a series, one for each objective.
func seriesRows(s *Series, objectives policy.Objectives) []ReportRow {
	waiting := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Waiting, Target: objectives.Waiting}
	truthful := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Truthful, Target: objectives.Truthful}
	completion := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Completion, Target: objectives.Completion}
	for i := range s.Windows {
		counts := s.Windows[i].Counts
		waits := s.Windows[i].Waits.histogram()
		waiting.setWindow(i, waits.TotalCount(), countWaitsAbove(waits, time.Duration(objectives.WaitingUnder)))
		truthful.setWindow(i, counts.Total, counts.Ambiguous)
		completion.setWindow(i, counts.Accepted, counts.Accepted-counts.InWindow)
		waiting.P50, waiting.P99 = quantile(waits, 50), quantile(waits, 99)
	}
	return []ReportRow{waiting, truthful, completion}
}

// setWindow sets the numbers of the i-th window. Since it is called for the longest
// window last, Total, Bad and BudgetLeft are those of the longest window.
func (r *ReportRow) setWindow(i int, total, bad int64) {
	r.Total, r.Bad = total, bad
	r.Rates[i] = burnRate(total, bad, r.Target)
	r.BudgetLeft = 1 - r.Rates[i]
}

// burnRate returns the share of bad requests divided by the share that target allows,
// or 0 without requests.
func burnRate(total, bad int64, target float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - target)
}

// WaitQuantile is a percentile of the waiting time.
type WaitQuantile struct {
	Percent float64
	Wait    time.Duration
}

// WaitQuantiles returns percentiles of the waiting time in the longest window, or nil if
// no request was sent to a target.
func (s *Series) WaitQuantiles() []WaitQuantile {
	waits := s.Windows[windowCount-1].Waits
	if len(waits.Indexes) == 0 {
		return nil
	}
	h := waits.histogram()
	var quantiles []WaitQuantile
	for _, percent := range []float64{10, 25, 50, 75, 90, 95, 99, 99.9} {
		quantiles = append(quantiles, WaitQuantile{Percent: percent, Wait: quantile(h, percent)})
	}
	return quantiles
}
