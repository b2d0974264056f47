package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
)

func burnCommand(options *clientOptions) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Report error budgets, burn rates and limit hits by caller",
		Long: `Report error budgets, burn rates and limit hits by caller.

A burn rate of 1 spends the error budget of an objective in exactly its period. A
rate above 1 over both 5 minutes and 1 hour calls for immediate action. Rows are
sorted by remaining budget, lowest first. The figures cover the last 6 hours and
are merged over all entry VMs.`,
		Example: "  tanager burn\n  tanager burn --format html > burn.html",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			write, err := burnWriter(format)
			if err != nil {
				return err
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			report, err := client.GetBurn(cmd.Context())
			if err != nil {
				return err
			}
			return write(cmd.OutOrStdout(), report)
		},
	}
	command.Flags().StringVar(&format, "format", "text", "output format: text, json or html")
	return command
}

func burnWriter(format string) (func(io.Writer, *api.Burn) error, error) {
	switch format {
	case "text":
		return writeBurnText, nil
	case "html":
		return writeBurnHTML, nil
	case "json":
		return writeBurnJSON, nil
	default:
		return nil, fmt.Errorf("--format: unknown format %q; accepted: text, json, html", format)
	}
}

func writeBurnJSON(out io.Writer, report *api.Burn) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func writeBurnText(out io.Writer, report *api.Burn) error {
	p := &printer{out: out}
	p.printf("burn report of %d entry VMs at %s\n", len(report.Vms), report.AsOf.Format(time.RFC3339))
	if len(report.Missing) > 0 {
		p.printf("warning: no answer from %s; the requests they served are not counted\n", strings.Join(report.Missing, ", "))
	}
	if len(report.Rows) == 0 {
		p.printf("no requests in the last 6 hours\n")
		return p.err
	}
	p.printf("\nobjectives, lowest remaining budget first:\n")
	table := p.table("CALLER", "CLASS", "OBJECTIVE", "TARGET", "REQUESTS", "BAD", "BUDGET LEFT", "BURN 5M/1H/6H", "WAIT P50", "WAIT P99")
	for i := range report.Rows {
		r := &report.Rows[i]
		table.row(r.Caller, r.Class, r.Objective, percentText(r.Target), r.Total, r.Bad, percentText(r.BudgetLeft), ratesText(r), waitText(r.P50), waitText(r.P99))
	}
	table.end()
	p.printf("\nbudget spent by caller:\n")
	printBudgetSpent(p, report.Rows)
	if len(report.Limits) > 0 {
		p.printf("\nlimit hits by caller:\n")
		printLimitHits(p, report.Limits)
	}
	return p.err
}

// printBudgetSpent prints, for each caller, the objective of which it spent the largest part of the
// budget.
func printBudgetSpent(p *printer, rows []api.BurnRow) {
	table := p.table("CALLER", "SPENT")
	for _, s := range budgetBars(rows) {
		table.row(s.Name, s.Text)
	}
	table.end()
}

func printLimitHits(p *printer, limits []api.LimitHits) {
	table := p.table("CALLER", "LIMIT", "HITS")
	for _, hit := range limits {
		table.row(hit.Caller, hit.Limit, hit.Hits)
	}
	table.end()
}

// ratesText formats the burn rates of all windows, the shortest window first.
func ratesText(r *api.BurnRow) string {
	texts := make([]string, len(r.Rates))
	for i, rate := range r.Rates {
		texts[i] = fmt.Sprintf("%.2f", rate.Rate)
	}
	return strings.Join(texts, " / ")
}

// waitText formats a waiting time. It returns an empty string if there is none, as for objectives
// that are not about waiting.
func waitText(wait api.OptDuration) string {
	if d, ok := wait.Get(); ok {
		return roundedDuration(d)
	}
	return ""
}

// percentText formats a share as a percentage with up to 3 decimals.
func percentText(share float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", 100*share), "0"), ".") + "%"
}
