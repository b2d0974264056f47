package burn

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/policy"
)

// Objective names a service level.
type Objective string

// The service levels of a class.
const (
	// Waiting is about the time from arrival until a request is sent to a target.
	Waiting Objective = "waiting"
	// Truthful is about requests of unknown outcome.
	Truthful Objective = "truthful"
	// Completion is about accepted requests that complete inside their window.
	Completion Objective = "completion"
)

// Row is one objective of one caller and class.
type ReportRow struct {
	Caller    string
	Class     string
	Objective Objective
	// Target is the share of requests that must be good.
	Target float64
	// Total and Bad are numbers of requests in the longest window.
	Total int64
	Bad   int64
	// BudgetLeft is the share of the error budget of the longest window that is
	// left; it is negative if more was spent than there was.
	BudgetLeft float64
	// Rates has the burn rate of each of Windows, in their order.
	Rates [windowCount]float64
	// P50 and P99 are quantiles of the waiting time in the longest window.
	P50 time.Duration
	P99 time.Duration
}

// Report compares a snapshot with the objectives of a policy. Rows with the
// least budget left come first. Classes that the policy does not define have no
// objectives and so no rows.
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

func seriesRows(s *Series, objectives policy.Objectives) []ReportRow {
	waiting := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Waiting, Target: objectives.Waiting}
	truthful := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Truthful, Target: objectives.Truthful}
	completion := ReportRow{Caller: s.Caller, Class: s.Class, Objective: Completion, Target: objectives.Completion}
	for i := range s.Windows {
		counts := s.Windows[i].Counts
		waits := s.Windows[i].Waits.histogram()
		waiting.window(i, waits.TotalCount(), above(waits, time.Duration(objectives.WaitingUnder)))
		truthful.window(i, counts.Total, counts.Ambiguous)
		completion.window(i, counts.Accepted, counts.Accepted-counts.InWindow)
		waiting.P50, waiting.P99 = quantile(waits, 50), quantile(waits, 99)
	}
	return []ReportRow{waiting, truthful, completion}
}

// window takes in the numbers of the i-th window. The longest comes last and
// its numbers stay.
func (r *ReportRow) window(i int, total, bad int64) {
	r.Total, r.Bad = total, bad
	r.Rates[i] = burnRate(total, bad, r.Target)
	r.BudgetLeft = 1 - r.Rates[i]
}

// burnRate is the share of bad requests divided by the share that target allows.
func burnRate(total, bad int64, target float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - target)
}

// WaitQuantile is a quantile of the waiting time.
type WaitQuantile struct {
	Percent float64
	Wait    time.Duration
}

// WaitQuantiles returns quantiles of the waiting time in the longest window,
// or none if no request was sent to a target.
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
