package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	api "tanagerstack.org/core/api/oper"
)

func statusCommand(options *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show policy version, roles, store access and data age of each entry VM",
		Long: `Show policy version, roles, store access and data age of each entry VM.

All VMs are queried now. A VM that does not answer is shown as unknown: it may be
disconnected from the others and still serve its callers.`,
		Example: "  tanager status --entry 127.0.1.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := options.client()
			if err != nil {
				return err
			}
			status, err := client.GetStatus(cmd.Context())
			if err != nil {
				return err
			}
			return printStatus(cmd, status)
		},
	}
}

func printStatus(cmd *cobra.Command, status *api.Status) error {
	p := &printer{out: cmd.OutOrStdout()}
	p.printf("as seen by %s at %s\n", status.VM, status.AsOf.Format(time.RFC3339))
	table := p.table("VM", "DOMAIN", "STATE", "POLICY", "TABLES", "LAST HEARTBEAT", "LIST AGE", "ROLES")
	for i := range status.Vms {
		vm := &status.Vms[i]
		table.row(vm.Name, vm.Domain, vm.State, vm.PolicyVersion, storeState(vm.StoreReachable),
			ageText(status.AsOf, vm.HeardAt), ageText(status.AsOf, vm.KnowsAsOf.Value), strings.Join(vm.Roles, ", "))
	}
	table.end()
	for _, note := range status.Notes {
		p.printf("note: %s\n", note)
	}
	return p.err
}

// storeState formats whether a VM reaches the tables, or "unknown".
func storeState(known api.OptBool) string {
	reached, ok := known.Get()
	switch {
	case !ok:
		return "unknown"
	case reached:
		return "reached"
	default:
		return "cut off"
	}
}

// ageText formats the time since at, or "never" for the zero time.
func ageText(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return max(0, now.Sub(at)).Round(100 * time.Millisecond).String()
}
