// Command tanager is the operators' command line.
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
	options := new(connection)
	root := &cobra.Command{
		Use:   "tanager",
		Short: "Operate a fleet of tanager-entry VMs",
		Long: `tanager edits the policy of a fleet of tanager-entry VMs and asks them what they did.

Operators state defaults for the whole fleet and a short list of exceptions with
written reasons. They never place anything.

Every command asks one entry VM, which asks the others. Name it by --entry and
your token by --token, or by the variables TANAGER_ENTRY and TANAGER_TOKEN.`,
		Example: `  export TANAGER_ENTRY=127.0.1.1:7001 TANAGER_TOKEN=...
  tanager status
  tanager policy show > policy.yaml
  tanager policy check policy.yaml
  tanager policy apply policy.yaml --reason "Hosts book more on Fridays."
  tanager burn`,
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: options.fromEnvironment,
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
