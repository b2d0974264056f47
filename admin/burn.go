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

func burnCommand(options *connection) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Report error budgets, burn rates and who hits limits",
		Long: `Report error budgets, burn rates and who hits limits.

A burn rate of 1 spends the error budget of an objective in exactly its period. A
high rate over 5 minutes and 1 hour means: act now. Rows with the least budget
left come first. Numbers are of the last 6 hours, merged over all entry VMs.`,
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
	command.Flags().StringVar(&format, "format", "text", "text, json or html")
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
		return nil, fmt.Errorf("--format %q is unknown; accepted: text, json, html", format)
	}
}

func writeBurnJSON(out io.Writer, report *api.Burn) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func writeBurnText(out io.Writer, report *api.Burn) error {
	p := &printer{out: out}
	p.printf("burn of %d entry VMs at %s\n", len(report.Vms), report.AsOf.Format(time.RFC3339))
	if len(report.Missing) > 0 {
		p.printf("warning: %s did not answer; what they served is not counted\n", strings.Join(report.Missing, ", "))
	}
	if len(report.Rows) == 0 {
		p.printf("no requests in the last 6 hours\n")
		return p.err
	}
	p.printf("\nobjectives, the least budget left first:\n")
	table := p.table("CALLER", "CLASS", "OBJECTIVE", "TARGET", "REQUESTS", "BAD", "BUDGET LEFT", "BURN 5M/1H/6H", "WAIT P50", "WAIT P99")
	for i := range report.Rows {
		r := &report.Rows[i]
		table.row(r.Caller, r.Class, r.Objective, percent(r.Target), r.Total, r.Bad, percent(r.BudgetLeft), rates(r), waitText(r.P50), waitText(r.P99))
	}
	table.end()
	p.printf("\nwho burns the budget:\n")
	printSpent(p, report.Rows)
	if len(report.Limits) > 0 {
		p.printf("\nwho floods us:\n")
		printLimits(p, report.Limits)
	}
	return p.err
}

// printSpent lists callers by the most budget that they spent of any objective.
func printSpent(p *printer, rows []api.BurnRow) {
	table := p.table("CALLER", "SPENT")
	for _, s := range spentShares(rows) {
		table.row(s.Name, s.Text)
	}
	table.end()
}

func printLimits(p *printer, limits []api.LimitHits) {
	table := p.table("CALLER", "LIMIT", "HITS")
	for _, hit := range limits {
		table.row(hit.Caller, hit.Limit, hit.Hits)
	}
	table.end()
}

func rates(r *api.BurnRow) string {
	texts := make([]string, len(r.Rates))
	for i, rate := range r.Rates {
		texts[i] = fmt.Sprintf("%.2f", rate.Rate)
	}
	return strings.Join(texts, " / ")
}

// waitText is empty for objectives that are not about waiting.
func waitText(wait api.OptDuration) string {
	if d, ok := wait.Get(); ok {
		return shortDuration(d)
	}
	return ""
}

func percent(share float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", 100*share), "0"), ".") + "%"
}
