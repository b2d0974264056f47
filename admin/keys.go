package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/core/keys"
)

func keysCommand() *cobra.Command {
	var directory string
	var names []string
	command := &cobra.Command{
		Use:   "keys --out DIR --names NAME,...",
		Short: "Create development keys for entry VMs",
		Long: `Create development keys for entry VMs.

Writes ca.pem and ca-key.pem, unless they exist in the directory, and for each
name NAME.pem and NAME-key.pem, signed by that authority. Pass them to an entry VM
as --ca-file, --cert-file and --key-file; its --name must be NAME.

To replace the keys of a VM, run the command again with its name: entry VMs load
new files without a restart. Do not copy ca-key.pem to entry VMs.`,
		Example: "  tanager keys --out keys --names entry-1,entry-2,entry-3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := keys.Issue(directory, names, time.Now()); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "wrote keys of %d entry VMs to %s\n", len(names), directory)
			return err
		},
	}
	command.Flags().StringVar(&directory, "out", "keys", "directory to write to")
	command.Flags().StringSliceVar(&names, "names", nil, "comma-separated names of entry VMs")
	return command
}
