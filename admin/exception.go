package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/core/policy"
)

func exceptionCommand(options *clientOptions) *cobra.Command {
	command := &cobra.Command{
		Use:   "exception",
		Short: "List, add and remove exceptions to the default limits",
		Long: `List, add and remove exceptions to the default limits.

An exception matches requests by caller, class and service. For each request, the
first exception in the list that matches and has not ended applies, and replaces
the limits that it sets. Each exception needs a written reason.`,
	}
	command.AddCommand(exceptionListCommand(options), exceptionAddCommand(options), exceptionRemoveCommand(options))
	return command
}

func exceptionListCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the exceptions of the current policy, in matching order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := currentDocument(cmd, options)
			if err != nil {
				return err
			}
			p := &printer{out: cmd.OutOrStdout()}
			table := p.table("NAME", "CALLER", "CLASS", "SERVICE", "UNTIL", "AUTHOR", "REASON")
			for i := range doc.Exceptions {
				e := &doc.Exceptions[i]
				table.row(e.Name, orAny(e.Caller), orAny(e.Class), orAny(e.Service), untilText(e), e.Author, e.Reason)
			}
			table.end()
			for _, warning := range doc.Lint(time.Now()) {
				p.printf("warning: %s\n", warning)
			}
			return p.err
		},
	}
}

func exceptionAddCommand(options *clientOptions) *cobra.Command {
	var e policy.Exception
	var window time.Duration
	var end string
	command := &cobra.Command{
		Use:   "add NAME --reason TEXT",
		Short: "Add an exception at the end of the list",
		Example: `  tanager exception add archive --caller partners --class master --burst 20 \
    --until 2026-12-24T18:00:00Z --reason "The partners move their archive until Christmas."`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e.Name, e.Author, e.Limits.Window = args[0], options.author, policy.Duration(window)
			if e.Author == "" {
				return errors.New("--author: an exception needs a responsible person (TANAGER_AUTHOR)")
			}
			if err := errors.Join(checkReason(e.Reason), setUntil(&e, end)); err != nil {
				return err
			}
			number, text, err := currentText(cmd, options)
			if err != nil {
				return err
			}
			edited, err := policy.AddException(text, e)
			if err != nil {
				return err
			}
			return applyDocument(cmd, options, number, edited, e.Reason)
		},
	}
	flags := command.Flags()
	flags.StringVar(&e.Caller, "caller", "", "match only requests of this caller")
	flags.StringVar(&e.Class, "class", "", "match only requests of this class")
	flags.StringVar(&e.Service, "service", "", "match only requests to this service")
	flags.StringVar(&e.Reason, "reason", "", "reason in one sentence, stored with the exception")
	flags.StringVar(&end, "until", "", "time at which the exception ends, such as 2026-12-24T18:00:00Z; empty means no end")
	flags.Float64Var(&e.Limits.RequestsPerSecond, "requests-per-second", 0, "sustained request rate of one caller")
	flags.IntVar(&e.Limits.Burst, "burst", 0, "burst of requests allowed above the sustained rate")
	flags.IntVar(&e.Limits.Concurrent, "concurrent", 0, "maximum requests of one caller in flight on one entry VM")
	flags.Int64Var(&e.Limits.BodyBytes, "body-bytes", 0, "maximum size of a request body, in bytes")
	flags.DurationVar(&window, "window", 0, "longest window that a request may declare")
	flags.IntVar(&e.Limits.JobTasks, "job-tasks", 0, "maximum tasks of one job")
	flags.IntVar(&e.Limits.PendingJobs, "pending-jobs", 0, "maximum jobs of one caller that have not ended")
	return command
}

// setUntil parses the end of an exception, which must be in the future. An empty text leaves the
// exception without an end.
func setUntil(e *policy.Exception, text string) error {
	if text == "" {
		return nil
	}
	end, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return fmt.Errorf("--until %q is not a time such as 2026-12-24T18:00:00Z", text)
	}
	if !end.After(time.Now()) {
		return fmt.Errorf("--until %s is in the past", text)
	}
	e.Until = end
	return nil
}

func exceptionRemoveCommand(options *clientOptions) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:     "remove NAME --reason TEXT",
		Short:   "Remove an exception",
		Example: `  tanager exception remove archive --reason "The archive has been moved."`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkReason(reason); err != nil {
				return err
			}
			number, text, err := currentText(cmd, options)
			if err != nil {
				return err
			}
			edited, err := policy.RemoveException(text, args[0])
			if err != nil {
				return err
			}
			return applyDocument(cmd, options, number, edited, reason)
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "reason in one sentence, stored in the history")
	return command
}

// currentText returns the number and the document of the current policy version.
func currentText(cmd *cobra.Command, options *clientOptions) (int64, string, error) {
	v, err := readVersion(cmd.Context(), options, 0)
	if err != nil {
		return 0, "", err
	}
	return v.Version, v.Document, nil
}

func currentDocument(cmd *cobra.Command, options *clientOptions) (*policy.Document, error) {
	_, text, err := currentText(cmd, options)
	if err != nil {
		return nil, err
	}
	return policy.Decode(text)
}

func orAny(name string) string {
	if name == "" {
		return "any"
	}
	return name
}

func untilText(e *policy.Exception) string {
	if e.Until.IsZero() {
		return "no end"
	}
	return e.Until.Format(time.RFC3339)
}
