package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/bench"
	"tanagerstack.org/stand/flags"
)

// benchFlags are the flags of the bench command that need turning into options.
type benchFlags struct {
	entries, targets flags.Addresses
	steady, flood    flags.Pairs
	control          flags.Address
	opts             bench.Options
}

func newBench() *cobra.Command {
	var f benchFlags
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure what entry VMs add to a request, and how they stand floods and overload",
		Long: `Measures a running fleet from its callers' side and prints a table of ratios with
their bounds. The exit code is 1 past a bound. The targets need a common capacity
that the machine can drive four times over.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return bench.Run(f.options(), cmd.OutOrStdout()) },
	}
	set := cmd.Flags()
	set.Var(&f.entries, "entry-addresses", "callers' APIs of the entry VMs")
	set.Var(&f.targets, "target-addresses", "targets that are called directly")
	set.Var(&f.control, "target-control", "control API with the targets' records")
	set.Var(&f.steady, "callers", "well-behaved callers with their tokens, as NAME=TOKEN,..")
	set.Var(&f.flood, "flood-caller", "the caller that floods, as NAME=TOKEN")
	set.IntVar(&f.opts.FloodPerSecond, "flood-rate", 2000, "requests per second of the flooding caller")
	set.StringVar(&f.opts.Service, "service", "booking", "the service that requests ask for")
	set.IntVar(&f.opts.CapacityPerSecond, "capacity", 600, "requests per second that the targets can run when each takes --work")
	set.DurationVar(&f.opts.Work, "work", 200*time.Millisecond, "how long a request of the overload takes")
	set.DurationVar(&f.opts.Phase, "phase", 3*time.Second, "length of each part of a measurement")
	return cmd
}

func (f *benchFlags) options() bench.Options {
	opts := f.opts
	opts.Entries, opts.Targets, opts.TargetControl = f.entries, f.targets, f.control.AddrPort
	for _, pair := range f.steady {
		opts.Steady = append(opts.Steady, bench.Caller{Name: pair.Name, Token: pair.Value})
	}
	for _, pair := range f.flood {
		opts.Flood = bench.Caller{Name: pair.Name, Token: pair.Value}
	}
	return opts
}
