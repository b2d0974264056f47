package cmds

import (
	"context"
	"flag"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"tanagerstack.org/stand/flags"
)

// NewRoot returns the command tanager-stand with all its commands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "tanager-stand",
		Short: "Small stand-ins for the platform, workers and targets, and a load command",
		Long: `tanager-stand runs small stand-ins for what surrounds tanagerstack: the platform's
tables, object store and membership list, worker agents, and service targets.
They keep everything in memory, record what they did, and fail on demand through
their control address. They are for trying things out and for tests.

Each flag --x-y can also be given as the environment variable TANAGER_STAND_X_Y.`,
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

// Run runs the command line until it ends or ctx does, and returns the exit code.
func Run(ctx context.Context, arguments []string) int {
	root := NewRoot()
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("tanager-stand:", err)
		return 1
	}
	return 0
}
