package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

func policyCommand(options *clientOptions) *cobra.Command {
	command := &cobra.Command{
		Use:   "policy",
		Short: "Show and change the policy of the fleet",
	}
	command.AddCommand(
		policyShowCommand(options),
		policyDiffCommand(options),
		policyCheckCommand(options),
		policyApplyCommand(options),
		policyHistoryCommand(options),
		policyRollbackCommand(options),
		policySampleCommand(),
	)
	return command
}

func policyShowCommand(options *clientOptions) *cobra.Command {
	var number int64
	command := &cobra.Command{
		Use:     "show",
		Short:   "Print the current policy document, or an earlier one",
		Example: "  tanager policy show > policy.yaml\n  tanager policy show --version 7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := readVersion(cmd.Context(), options, number)
			if err != nil {
				return err
			}
			// The version goes to standard error, so that redirected output holds only the document.
			cmd.PrintErrf("version %d by %s at %s: %s\n", v.Version, v.Author, v.AppliedAt.Format(time.RFC3339), v.Reason)
			_, err = io.WriteString(cmd.OutOrStdout(), v.Document)
			return err
		},
	}
	command.Flags().Int64Var(&number, "version", 0, "number of the version to print; 0 is the current one")
	return command
}

func policyDiffCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Print the difference between the current policy document and a file",
		Example: "  tanager policy diff policy.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			v, err := readVersion(cmd.Context(), options, 0)
			if err != nil {
				return err
			}
			p := &printer{out: cmd.OutOrStdout()}
			if difference := policy.Diff(v.Document, text); difference != "" {
				p.printf("%s\n", difference)
			}
			return p.err
		},
	}
}

func policyApplyCommand(options *clientOptions) *cobra.Command {
	var reason string
	var expected int64
	command := &cobra.Command{
		Use:   "apply FILE --reason TEXT",
		Short: "Apply a policy document to the whole fleet",
		Long: `Apply a policy document to the whole fleet.

The change is refused, and the difference printed, if the current version is not
--expected-version. By default that is the version that was current when this
command started.`,
		Example: `  tanager policy apply policy.yaml --reason "Hosts book more on Fridays."
  tanager policy apply policy.yaml --expected-version 7 --reason "Hosts book more on Fridays."`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkReason(reason); err != nil {
				return err
			}
			text, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("expected-version") {
				if expected, err = currentVersion(cmd.Context(), options); err != nil {
					return err
				}
			}
			return applyDocument(cmd, options, expected, text, reason)
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "reason in one sentence, stored in the history")
	command.Flags().Int64Var(&expected, "expected-version", 0, "number of the version that the document is based on; 0 if there was none")
	return command
}

func policyHistoryCommand(options *clientOptions) *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:     "history",
		Short:   "List accepted versions with their time, author and reason",
		Example: "  tanager policy history --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			history, err := client.GetPolicyHistory(cmd.Context(), api.GetPolicyHistoryParams{Limit: api.NewOptInt(limit)})
			if err != nil {
				return err
			}
			p := &printer{out: cmd.OutOrStdout()}
			table := p.table("VERSION", "APPLIED", "AUTHOR", "REASON")
			for i := range history.Versions {
				v := &history.Versions[i]
				table.row(v.Version, v.AppliedAt.Format(time.RFC3339), v.Author, v.Reason)
			}
			table.end()
			return p.err
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "maximum number of versions, 1 to 1000")
	return command
}

func policyRollbackCommand(options *clientOptions) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:     "rollback VERSION --reason TEXT",
		Short:   "Apply the document of an earlier version as a new version",
		Example: `  tanager policy rollback 6 --reason "Version 7 refused too many hosts."`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var number int64
			if _, err := fmt.Sscan(args[0], &number); err != nil || number < 1 {
				return fmt.Errorf("VERSION %q is not a positive number", args[0])
			}
			if err := checkReason(reason); err != nil {
				return err
			}
			expected, err := currentVersion(cmd.Context(), options)
			if err != nil {
				return err
			}
			old, err := readVersion(cmd.Context(), options, number)
			if err != nil {
				return err
			}
			return applyDocument(cmd, options, expected, old.Document, reason)
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "reason in one sentence, stored in the history")
	return command
}

func policySampleCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "sample",
		Short:   "Print a complete sample document to start from",
		Example: "  tanager policy sample > policy.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := io.WriteString(cmd.OutOrStdout(), policy.SampleText())
			return err
		},
	}
}

// readVersion returns a policy version, or the current one if number is 0.
func readVersion(ctx context.Context, options *clientOptions, number int64) (*api.PolicyVersion, error) {
	client, err := options.client()
	if err != nil {
		return nil, err
	}
	if number == 0 {
		return client.GetPolicy(ctx)
	}
	history, err := client.GetPolicyHistory(ctx, api.GetPolicyHistoryParams{Version: api.NewOptInt64(number)})
	if err != nil {
		return nil, err
	}
	if len(history.Versions) != 1 {
		return nil, fmt.Errorf("version %d does not exist", number)
	}
	return &history.Versions[0], nil
}

// currentVersion returns the number of the current policy version, or 0 if there is none.
func currentVersion(ctx context.Context, options *clientOptions) (int64, error) {
	v, err := readVersion(ctx, options, 0)
	var problem *api.ProblemStatusCode
	if errors.As(err, &problem) && problem.Response.Reason.Value == "no-policy" {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return v.Version, nil
}

// readDocument reads a policy document from a file, or from standard input for "-". It validates the
// document locally, so that faults are found without an entry VM.
func readDocument(cmd *cobra.Command, path string) (string, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(cmd.InOrStdin())
	} else {
		data, err = os.ReadFile(path) //nolint:gosec // The path is the operator's own.
	}
	if err != nil {
		return "", err
	}
	if _, err := policy.Decode(string(data)); err != nil {
		return "", err
	}
	return string(data), nil
}

// checkReason validates the reason of a change before anything is sent to an entry VM.
func checkReason(reason string) error {
	if err := policy.CheckReason(reason); err != nil {
		return fmt.Errorf("--reason: %w\n  accepted: %s", err, policy.AcceptedReason)
	}
	return nil
}

// applyDocument applies a document and prints the number of the new version. It returns a
// *conflictError if the current version is not the expected one.
func applyDocument(cmd *cobra.Command, options *clientOptions, expected int64, text, reason string) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	response, err := client.ApplyPolicy(cmd.Context(), &api.PolicyApply{
		ExpectedVersion: expected,
		Author:          options.author,
		Reason:          reason,
		Document:        text,
	})
	if err != nil {
		return err
	}
	switch r := response.(type) {
	case *api.PolicyConflict:
		return &conflictError{r}
	case *api.PolicyVersion:
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "version %d accepted\n", r.Version)
		return err
	default:
		return fmt.Errorf("unexpected response %T", response)
	}
}
