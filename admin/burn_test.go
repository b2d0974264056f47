package main

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	api "tanagerstack.org/core/api/oper"
)

// testBurn returns a report with a burning objective, a caller whose name needs escaping, a VM that
// did not answer and 40 minutes of one series.
func testBurn() *api.Burn {
	asOf := time.Date(2026, 12, 4, 8, 30, 20, 0, time.UTC)
	report := &api.Burn{AsOf: asOf, Vms: []string{"entry-1", "entry-2"}, Missing: []string{"entry-3"}}
	report.Rows = []api.BurnRow{
		{Caller: "network", Class: "master", Objective: "waiting", Target: 0.95, Total: 4000, Bad: 700, BudgetLeft: -2.5, Rates: []api.BurnRate{{Rate: 4}, {Rate: 3.5}, {Rate: 3.5}}},
		{Caller: "<hosts>", Class: "hold", Objective: "truthful", Target: 0.9999, Total: 9000, BudgetLeft: 1, Rates: []api.BurnRate{{}, {}, {}}},
	}
	report.Limits = []api.LimitHits{{Caller: "network", Limit: "requests-per-second", Hits: 812}}
	series := api.BurnSeries{Caller: "network", Class: "master", Waits: []api.WaitQuantile{{Percent: 50, Wait: 3 * time.Millisecond}, {Percent: 99, Wait: 2 * time.Second}}}
	for i := range 40 {
		series.Minutes = append(series.Minutes, api.BurnMinute{
			At: asOf.Truncate(time.Minute).Add(time.Duration(i-39) * time.Minute), Total: int64(60 + i), Refused: int64(i / 2), Unknown: int64(i % 3), Late: int64(i % 7),
			WaitP99: api.NewOptDuration(time.Duration(i) * 20 * time.Millisecond),
		})
	}
	report.Series = []api.BurnSeries{series}
	return report
}

// TestBurnPage checks that the page is well formed, escapes names, loads no other resources and
// draws every minute inside its plot.
func TestBurnPage(t *testing.T) {
	var out strings.Builder
	if err := writeBurnHTML(&out, testBurn()); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"1 of 2 objectives", "&lt;hosts&gt;", "entry-3", "812 times requests-per-second"} {
		if !strings.Contains(text, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	for _, unwanted := range []string{"http://", "https://", "<script", "NaN", "ZgotmplZ"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("page contains %q", unwanted)
		}
	}
	decoder := xml.NewDecoder(strings.NewReader(text))
	decoder.Strict, decoder.AutoClose = false, xml.HTMLAutoClose
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("page is not well formed: %v", err)
		}
	}
	plot := newMinutesPlot(testBurn().AsOf, testBurn().Series[0].Minutes)
	for _, bar := range plot.Bars {
		if bar.Y < -0.01 || bar.Y+bar.Height > plotHeight+0.01 || bar.X < 0 || bar.X+bar.Width > plotWidth {
			t.Errorf("bar %+v is outside the plot", bar)
		}
	}
}

func TestBurnFormats(t *testing.T) {
	for name, want := range map[string]string{"text": "812", "json": `"budget-left": -2.5`} {
		t.Run(name, func(t *testing.T) {
			write, err := burnWriter(name)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			if err := write(&out, testBurn()); err != nil || !strings.Contains(out.String(), want) {
				t.Errorf("got error %v and output %s, want output with %s", err, out.String(), want)
			}
		})
	}
	if _, err := burnWriter("pdf"); err == nil {
		t.Error("format \"pdf\" was accepted, want an error")
	}
}
