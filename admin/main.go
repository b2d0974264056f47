// Command tanager is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tanager:", describeError(err))
		stop()
		os.Exit(1) //nolint:gocritic // stop was called; nothing else is deferred.
	}
}

func rootCommand() *cobra.Command {
	options := new(clientOptions)
	root := &cobra.Command{
		Use:   "tanager",
		Short: "Operate a fleet of tanager-entry VMs",
		Long: `tanager edits the policy of a fleet of tanager-entry VMs and reports their state and
decisions.

Operators set defaults for the whole fleet and a short list of exceptions with
written reasons. They never place jobs or requests themselves.

Each command calls one entry VM, which queries the others if needed. Set its address
with --entry and the operator token with --token, or with the environment variables
TANAGER_ENTRY and TANAGER_TOKEN.`,
		Example: `  export TANAGER_ENTRY=127.0.1.1:7001 TANAGER_TOKEN=...
  tanager status
  tanager policy show > policy.yaml
  tanager policy check policy.yaml
  tanager policy apply policy.yaml --reason "Hosts book more on Fridays."
  tanager burn`,
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: options.setFromEnvironment,
	}
	options.bind(root.PersistentFlags())
	root.AddCommand(
		policyCommand(options),
		exceptionCommand(options),
		statusCommand(options),
		explainCommand(options),
		burnCommand(options),
		drainCommand(options),
		hashTokenCommand(),
		keysCommand(),
	)
	return root
}
