package main

import (
	"strings"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
)

func explainCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST|JOB",
		Short: "Show each decision about a request or job, with the rule and figures behind it",
		Long: `Show each decision about a request or job, with the rule and figures behind it.

An entry VM keeps its decisions for a limited time.`,
		Example: "  tanager explain 01J8QZ3K",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			explanation, err := client.Explain(cmd.Context(), api.ExplainParams{ID: args[0]})
			if err != nil {
				return err
			}
			return printExplanation(cmd, explanation)
		},
	}
}

func printExplanation(cmd *cobra.Command, explanation *api.Explanation) error {
	p := &printer{out: cmd.OutOrStdout()}
	table := p.table("TIME", "VM", "STEP", "VERDICT", "RULE", "EXCEPTION", "DETAIL")
	for i := range explanation.Decisions {
		d := &explanation.Decisions[i]
		table.row(d.At.Format("15:04:05.000"), d.VM, d.Step, d.Verdict, d.Rule.Or("-"), d.Exception.Or("-"), d.Detail.Value)
	}
	table.end()
	if len(explanation.Missing) > 0 {
		p.printf("note: no answer from %s, which may have made more decisions\n", strings.Join(explanation.Missing, ", "))
	}
	return p.err
}
