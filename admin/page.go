package main

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"

	api "tanagerstack.org/core/api/oper"
)

// burnPage is the data of pageTemplate.
type burnPage struct {
	AsOf    string
	Vms     []string
	Missing []string
	Verdict string
	Burning bool
	Spent   []listBar
	Hits    []listBar
	Rows    []objectiveRow
	Panels  []panel
	Width   float64
	Height  float64
}

// listBar is a bar with a name and a text. Width is in percent of the widest bar. Kind is the CSS
// class of its color.
type listBar struct {
	Name  string
	Text  string
	Width float64
	Kind  string
}

// objectiveRow is the table row of one objective of one caller and class. LeftWidth is the remaining
// budget in percent, limited to the range 0 to 100.
type objectiveRow struct {
	Caller, Class, Objective, Target string
	Total, Bad                       int64
	Left                             string
	LeftWidth                        float64
	Kind                             string
	Rates                            []rateCell
	P50, P99                         string
}

// rateCell is a burn rate with the CSS class of its color.
type rateCell struct {
	Text string
	Kind string
}

// panel holds the plots of one caller and class.
type panel struct {
	Title   string
	Minutes minutesPlot
	Waits   waitsPlot
}

// writeBurnHTML writes the report as a self-contained HTML page.
func writeBurnHTML(out io.Writer, report *api.Burn) error {
	t, err := template.New("burn").Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("parse template of the burn page: %w", err)
	}
	return t.Execute(out, newBurnPage(report))
}

func newBurnPage(report *api.Burn) burnPage {
	p := burnPage{
		AsOf:    report.AsOf.UTC().Format("2006-01-02 15:04:05 MST"),
		Vms:     report.Vms,
		Missing: report.Missing,
		Spent:   budgetBars(report.Rows),
		Hits:    limitBars(report.Limits),
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
	p.Verdict = summary(burning, len(report.Rows))
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

func summary(burning, all int) string {
	switch {
	case all == 0:
		return "No requests in the last 6 hours."
	case burning == 0:
		return fmt.Sprintf("None of %d objectives burns its budget faster than allowed.", all)
	default:
		return fmt.Sprintf("%d of %d objectives burn their budget faster than allowed, over both the last 5 minutes and the last hour.", burning, all)
	}
}

// isBurning reports whether the burn rates over the shortest two windows, 5 minutes and 1 hour,
// both exceed 1.
func isBurning(r *api.BurnRow) bool {
	return len(r.Rates) >= 2 && r.Rates[0].Rate > 1 && r.Rates[1].Rate > 1
}

func newObjectiveRow(r *api.BurnRow) objectiveRow {
	row := objectiveRow{
		Caller:    r.Caller,
		Class:     r.Class,
		Objective: string(r.Objective),
		Target:    percentText(r.Target),
		Total:     r.Total,
		Bad:       r.Bad,
		Left:      percentText(r.BudgetLeft),
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

// budgetKind returns the CSS class for a remaining budget, as a share of the whole.
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

// rateKind returns the CSS class for a burn rate.
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

// budgetBars returns, for each caller, the objective of which it spent the largest part of the
// budget, the largest part first.
func budgetBars(rows []api.BurnRow) []listBar {
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
	shares := make([]listBar, 0, len(worst))
	for caller, r := range worst {
		spent := 1 - r.BudgetLeft
		shares = append(shares, listBar{
			Name:  caller,
			Text:  fmt.Sprintf("%s of %s %s", percentText(spent), r.Class, r.Objective),
			Width: 100 * spent / most,
			Kind:  budgetKind(r.BudgetLeft),
		})
	}
	sortBars(shares)
	return shares
}

// limitBars returns how often each caller hit each limit, the most hits first.
func limitBars(limits []api.LimitHits) []listBar {
	var most int64 = 1
	for _, hit := range limits {
		most = max(most, hit.Hits)
	}
	shares := make([]listBar, 0, len(limits))
	for _, hit := range limits {
		shares = append(shares, listBar{
			Name:  hit.Caller,
			Text:  fmt.Sprintf("%d times %s", hit.Hits, hit.Limit),
			Width: 100 * float64(hit.Hits) / float64(most),
			Kind:  "refused",
		})
	}
	sortBars(shares)
	return shares
}

func sortBars(shares []listBar) {
	slices.SortStableFunc(shares, func(a, b listBar) int {
		return cmp.Or(cmp.Compare(b.Width, a.Width), cmp.Compare(a.Name, b.Name))
	})
}
