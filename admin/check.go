package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
)

func policyCheckCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Report what a document would change, without applying it",
		Long: `Report what a document would change, without applying it.

Prints the difference to the current version and warnings about exceptions. For
each caller and class it prints how many of the last hour's requests the document
and the current version would have refused. The forecast leaves out limits on
concurrent requests.`,
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
		p.printf("warning: no answer from %s; their load is not counted\n", strings.Join(check.Missing, ", "))
	}
	if len(check.Refusals) == 0 {
		p.printf("no requests in the last hour, so there is no forecast\n")
		return p.err
	}
	p.printf("requests of the last hour that the document would have refused:\n")
	table := p.table("CALLER", "CLASS", "REQUESTS", "REFUSED", "SHARE", "REFUSED BY CURRENT", "LIMITS")
	for i := range check.Refusals {
		r := &check.Refusals[i]
		share := 100 * float64(r.Refused) / float64(max(r.Requests, 1))
		table.row(r.Caller, r.Class, r.Requests, r.Refused, fmt.Sprintf("%.1f%%", share), r.RefusedBefore.Value, strings.Join(r.Limits, ", "))
	}
	table.end()
	return p.err
}
