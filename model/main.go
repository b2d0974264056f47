// Command tanager-model compares scheduling policies under load, in simulated time.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tanager-model:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tanager-model",
		Short:         "Run loads against the scheduler in simulated time",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(runCommand())
	return root
}
