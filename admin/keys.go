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
		Short: "Make development keys for entry VMs",
		Long: `Make development keys for entry VMs.

Writes ca.pem and ca-key.pem, unless the directory has them already, and for
each name NAME.pem and NAME-key.pem, signed by that authority. An entry VM takes
them as --ca-file, --cert-file and --key-file; its --name must be NAME.

Run it again for a name to replace its keys: entry VMs notice the new files and
need no restart. Keep ca-key.pem away from entry VMs.`,
		Example: "  tanager keys --out keys --names entry-1,entry-2,entry-3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := keys.Issue(directory, names, time.Now()); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "keys of %d entry VMs are in %s\n", len(names), directory)
			return err
		},
	}
	command.Flags().StringVar(&directory, "out", "keys", "directory to write to")
	command.Flags().StringSliceVar(&names, "names", nil, "names of entry VMs, separated by commas")
	return command
}
