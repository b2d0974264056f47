package main

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"

	api "tanagerstack.org/core/api/oper"
)

// page is the burn report as its template needs it.
type page struct {
	AsOf    string
	Vms     []string
	Missing []string
	Verdict string
	Burning bool
	Spent   []share
	Hits    []share
	Rows    []objectiveRow
	Panels  []panel
	Width   float64
	Height  float64
}

// share is a bar of a list, in percent of the list's width.
type share struct {
	Name  string
	Text  string
	Width float64
	Kind  string
}

// objectiveRow is one objective of one caller and class.
type objectiveRow struct {
	Caller, Class, Objective, Target string
	Total, Bad                       int64
	Left                             string
	LeftWidth                        float64
	Kind                             string
	Rates                            []rateCell
	P50, P99                         string
}

// rateCell is a burn rate with the class of its color.
type rateCell struct {
	Text string
	Kind string
}

// panel shows one caller and class.
type panel struct {
	Title   string
	Minutes minutesPlot
	Waits   waitsPlot
}

// writeBurnHTML writes the report as a page that needs nothing else.
func writeBurnHTML(out io.Writer, report *api.Burn) error {
	t, err := template.New("burn").Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("burn page: %w", err)
	}
	return t.Execute(out, newPage(report))
}

func newPage(report *api.Burn) page {
	p := page{
		AsOf:    report.AsOf.UTC().Format("2006-01-02 15:04:05 MST"),
		Vms:     report.Vms,
		Missing: report.Missing,
		Spent:   spentShares(report.Rows),
		Hits:    hitShares(report.Limits),
		Width:   plotWidth,
		Height:  plotHeight,
	}
	burning := 0
	for i := range report.Rows {
		if isBurning(&report.Rows[i]) {
			burning++
		}
		p.Rows = append(p.Rows, newObjectiveRow(&report.Rows[i]))
	}
	p.Burning = burning > 0
	p.Verdict = verdict(burning, len(report.Rows))
	for i := range report.Series {
		s := &report.Series[i]
		p.Panels = append(p.Panels, panel{
			Title:   s.Caller + " / " + s.Class,
			Minutes: newMinutesPlot(report.AsOf, s.Minutes),
			Waits:   newWaitsPlot(s.Waits),
		})
	}
	return p
}

func verdict(burning, all int) string {
	switch {
	case all == 0:
		return "No requests were seen in the last 6 hours."
	case burning == 0:
		return fmt.Sprintf("None of %d objectives burns its budget faster than allowed.", all)
	default:
		return fmt.Sprintf("%d of %d objectives burn their budget faster than allowed, now and over the last hour.", burning, all)
	}
}

// isBurning reports whether the short and the middle window both burn faster
// than the budget allows.
func isBurning(r *api.BurnRow) bool {
	return len(r.Rates) >= 2 && r.Rates[0].Rate > 1 && r.Rates[1].Rate > 1
}

func newObjectiveRow(r *api.BurnRow) objectiveRow {
	row := objectiveRow{
		Caller:    r.Caller,
		Class:     r.Class,
		Objective: string(r.Objective),
		Target:    percent(r.Target),
		Total:     r.Total,
		Bad:       r.Bad,
		Left:      percent(r.BudgetLeft),
		LeftWidth: 100 * max(0, min(1, r.BudgetLeft)),
		Kind:      budgetKind(r.BudgetLeft),
		P50:       waitText(r.P50),
		P99:       waitText(r.P99),
	}
	for _, rate := range r.Rates {
		row.Rates = append(row.Rates, rateCell{Text: fmt.Sprintf("%.2f", rate.Rate), Kind: rateKind(rate.Rate)})
	}
	return row
}

func budgetKind(left float64) string {
	switch {
	case left < 0:
		return "bad"
	case left < 0.5:
		return "warn"
	default:
		return "fine"
	}
}

func rateKind(rate float64) string {
	switch {
	case rate > 1:
		return "bad"
	case rate > 0.5:
		return "warn"
	default:
		return "fine"
	}
}

// spentShares ranks callers by the most budget that they spent of any objective.
func spentShares(rows []api.BurnRow) []share {
	worst := make(map[string]*api.BurnRow)
	for i := range rows {
		r := &rows[i]
		if w, ok := worst[r.Caller]; !ok || r.BudgetLeft < w.BudgetLeft {
			worst[r.Caller] = r
		}
	}
	var most float64 = 1
	for _, r := range worst {
		most = max(most, 1-r.BudgetLeft)
	}
	shares := make([]share, 0, len(worst))
	for caller, r := range worst {
		spent := 1 - r.BudgetLeft
		shares = append(shares, share{
			Name:  caller,
			Text:  fmt.Sprintf("%s of %s %s", percent(spent), r.Class, r.Objective),
			Width: 100 * spent / most,
			Kind:  budgetKind(r.BudgetLeft),
		})
	}
	sortShares(shares)
	return shares
}

// hitShares ranks the limits that callers met.
func hitShares(limits []api.LimitHits) []share {
	var most int64 = 1
	for _, hit := range limits {
		most = max(most, hit.Hits)
	}
	shares := make([]share, 0, len(limits))
	for _, hit := range limits {
		shares = append(shares, share{
			Name:  hit.Caller,
			Text:  fmt.Sprintf("%d times %s", hit.Hits, hit.Limit),
			Width: 100 * float64(hit.Hits) / float64(most),
			Kind:  "refused",
		})
	}
	sortShares(shares)
	return shares
}

func sortShares(shares []share) {
	slices.SortStableFunc(shares, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.Width, a.Width), cmp.Compare(a.Name, b.Name))
	})
}
