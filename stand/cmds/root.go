package cmds

import (
	"context"
	"flag"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"tanagerstack.org/stand/flags"
)

// NewRoot returns the command tanager-stand with all its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "tanager-stand",
		Short: "Fakes of the platform services, workers and targets, and load tests",
		Long: `tanager-stand runs fakes of the systems that tanagerstack depends on: the platform's
tables, object store and membership list, worker agents, and service targets. The
fakes keep all state in memory, record what they do, and inject faults that are set
through their control address. They are meant for tests and experiments.

Each flag --x-y can also be set by the environment variable TANAGER_STAND_X_Y.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return flags.ApplyEnvironment(cmd, os.Environ())
		},
	}
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	root.PersistentFlags().AddGoFlag(logFlags.Lookup("v"))
	root.AddCommand(newTables(), newObjects(), newMembers(), newTargets(), newWorkers(), newAll(), newEnroll(), newBench(),
		newLoad(), newWatch(), newFit())
	return root
}

// Run runs the command given by arguments until it returns or ctx ends, and returns the exit code.
func Run(ctx context.Context, arguments []string) int {
	root := NewRoot()
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("tanager-stand:", err)
		return 1
	}
	return 0
}
