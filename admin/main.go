// Command tanager is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tanager:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tanager",
		Short:         "Operate a fleet of tanager-entry VMs",
		Long:          "tanager edits the policy of a fleet of tanager-entry VMs and asks them what they did.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(keysCommand())
	return root
}
