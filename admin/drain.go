package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func drainCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Take the entry VM out of service gracefully",
		Long: `Take the entry VM named by --entry out of service gracefully.

The VM reports to the load balancer that it is not ready, refuses new requests,
hands over its roles and finishes all requests in flight. Name only one VM.`,
		Example: "  tanager drain --entry 127.0.1.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(options.entries) != 1 {
				return fmt.Errorf("--entry: got %d addresses, want exactly one VM to drain", len(options.entries))
			}
			client, err := options.client()
			if err != nil {
				return err
			}
			if err := client.Drain(cmd.Context()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is draining\n", options.entries[0])
			return err
		},
	}
}
