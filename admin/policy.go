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

func policyCommand(options *connection) *cobra.Command {
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

func policyShowCommand(options *connection) *cobra.Command {
	var number int64
	command := &cobra.Command{
		Use:     "show",
		Short:   "Print the document in force, or an earlier one",
		Example: "  tanager policy show > policy.yaml\n  tanager policy show --version 7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := readVersion(cmd.Context(), options, number)
			if err != nil {
				return err
			}
			// What is not the document goes to the error stream, so that a redirect takes only the document.
			cmd.PrintErrf("version %d by %s at %s: %s\n", v.Version, v.Author, v.AppliedAt.Format(time.RFC3339), v.Reason)
			_, err = io.WriteString(cmd.OutOrStdout(), v.Document)
			return err
		},
	}
	command.Flags().Int64Var(&number, "version", 0, "number of an earlier version; 0 is the one in force")
	return command
}

func policyDiffCommand(options *connection) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Print the lines that differ between the document in force and a file",
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

func policyApplyCommand(options *connection) *cobra.Command {
	var reason string
	var expected int64
	command := &cobra.Command{
		Use:   "apply FILE --reason TEXT",
		Short: "Put a document in force on the whole fleet",
		Long: `Put a document in force on the whole fleet.

The change is refused with the difference if somebody else has applied a version
since. Without --expected-version that means: since this command started.`,
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
				if expected, err = currentNumber(cmd.Context(), options); err != nil {
					return err
				}
			}
			return applyDocument(cmd, options, expected, text, reason)
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "why, in a sentence; it is kept in the history")
	command.Flags().Int64Var(&expected, "expected-version", 0, "number of the version that the document was made from; 0 if there was none")
	return command
}

func policyHistoryCommand(options *connection) *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:     "history",
		Short:   "List accepted versions: who, when and why",
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
	command.Flags().IntVar(&limit, "limit", 20, "at most this many, 1 to 1000")
	return command
}

func policyRollbackCommand(options *connection) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:     "rollback VERSION --reason TEXT",
		Short:   "Apply the document of an earlier version as a new version",
		Example: `  tanager policy rollback 6 --reason "Version 7 refused too many hosts."`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var number int64
			if _, err := fmt.Sscan(args[0], &number); err != nil || number < 1 {
				return fmt.Errorf("VERSION %q is not a number from 1 up", args[0])
			}
			if err := checkReason(reason); err != nil {
				return err
			}
			expected, err := currentNumber(cmd.Context(), options)
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
	command.Flags().StringVar(&reason, "reason", "", "why, in a sentence; it is kept in the history")
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

// readVersion returns a version, or the one in force if number is 0.
func readVersion(ctx context.Context, options *connection, number int64) (*api.PolicyVersion, error) {
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

// currentNumber returns the number of the version in force, or 0 if there is none.
func currentNumber(ctx context.Context, options *connection) (int64, error) {
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

// readDocument reads a file, or standard input for "-", and checks it here, so
// that its faults are found without an entry VM.
func readDocument(cmd *cobra.Command, path string) (string, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(cmd.InOrStdin())
	} else {
		data, err = os.ReadFile(path) //nolint:gosec // The operator names the file to read.
	}
	if err != nil {
		return "", err
	}
	if _, err := policy.Decode(string(data)); err != nil {
		return "", err
	}
	return string(data), nil
}

// checkReason finds a bad reason before an entry VM is asked.
func checkReason(reason string) error {
	if err := policy.CheckReason(reason); err != nil {
		return fmt.Errorf("--reason: %w\n  accepted: %s", err, policy.AcceptedReason)
	}
	return nil
}

// applyDocument applies a document and prints the new version's number.
func applyDocument(cmd *cobra.Command, options *connection, expected int64, text, reason string) error {
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
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "version %d is accepted\n", r.Version)
		return err
	default:
		return fmt.Errorf("unexpected response %T", response)
	}
}
