package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
)

func policyCheckCommand(options *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Say what a document would change, and change nothing",
		Long: `Say what a document would change, and change nothing.

Prints the difference, warnings about exceptions, and for each caller and class
how many of the last hour's requests the document would have refused, beside how
many the version in force would have. Limits on concurrent requests are not part
of the forecast.`,
		Example: "  tanager policy check policy.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			check, err := client.CheckPolicy(cmd.Context(), &api.PolicyApply{Document: text})
			if err != nil {
				return err
			}
			return printCheck(cmd, check)
		},
	}
}

func printCheck(cmd *cobra.Command, check *api.PolicyCheck) error {
	p := &printer{out: cmd.OutOrStdout()}
	if difference, ok := check.Difference.Get(); ok {
		p.printf("difference to version %d:\n%s\n\n", check.CurrentVersion.Value, difference)
	}
	for _, warning := range check.Warnings {
		p.printf("warning: %s\n", warning)
	}
	if len(check.Missing) > 0 {
		p.printf("warning: the load of %s is not counted, they did not answer\n", strings.Join(check.Missing, ", "))
	}
	if len(check.Refusals) == 0 {
		p.printf("no requests in the last hour to try the document on\n")
		return p.err
	}
	p.printf("of the last hour's requests the document would have refused:\n")
	table := p.table("CALLER", "CLASS", "REQUESTS", "REFUSED", "SHARE", "BEFORE", "LIMITS")
	for i := range check.Refusals {
		r := &check.Refusals[i]
		share := 100 * float64(r.Refused) / float64(max(r.Requests, 1))
		table.row(r.Caller, r.Class, r.Requests, r.Refused, fmt.Sprintf("%.1f%%", share), r.RefusedBefore.Value, strings.Join(r.Limits, ", "))
	}
	table.end()
	return p.err
}
