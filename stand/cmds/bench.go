package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/bench"
	"tanagerstack.org/stand/flags"
)

// benchFlags are the flags of the bench command. Flags that need no conversion are set in opts.
type benchFlags struct {
	entryAddresses, targetAddresses flags.Addresses
	steadyCallers, floodCaller      flags.Pairs
	targetControl                   flags.Address
	opts                            bench.Options
}

func newBench() *cobra.Command {
	var f benchFlags
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the overhead of entry VMs per request, and their behavior under floods and overload",
		Long: `Measures a running fleet as seen by its callers and prints a table of ratios with their
bounds. The exit code is 1 if a ratio exceeds its bound. The machine must be able to
generate four times the load that all targets together can serve.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return bench.Run(f.options(), cmd.OutOrStdout()) },
	}
	set := cmd.Flags()
	set.Var(&f.entryAddresses, "entry-addresses", "addresses of the callers' API of the entry VMs")
	set.Var(&f.targetAddresses, "target-addresses", "addresses of targets to call directly")
	set.Var(&f.targetControl, "target-control", "address of the control API that serves the targets' records")
	set.Var(&f.steadyCallers, "callers", "well-behaved callers and their tokens, as NAME=TOKEN,..")
	set.Var(&f.floodCaller, "flood-caller", "caller that floods and its token, as NAME=TOKEN")
	set.IntVar(&f.opts.FloodPerSecond, "flood-rate", 2000, "requests per second of the flooding caller")
	set.StringVar(&f.opts.Service, "service", "booking", "service that the requests name")
	set.IntVar(&f.opts.CapacityPerSecond, "capacity", 600, "requests per second that all targets together can run if each request takes --work")
	set.DurationVar(&f.opts.RequestTime, "work", 200*time.Millisecond, "duration of each request in the overload measurement")
	set.DurationVar(&f.opts.PhaseDuration, "phase", 3*time.Second, "duration of each phase of a measurement")
	return cmd
}

func (f *benchFlags) options() bench.Options {
	opts := f.opts
	opts.Entries, opts.Targets, opts.TargetControl = f.entryAddresses, f.targetAddresses, f.targetControl.AddrPort
	for _, pair := range f.steadyCallers {
		opts.Steady = append(opts.Steady, bench.Caller{Name: pair.Name, Token: pair.Value})
	}
	for _, pair := range f.floodCaller {
		opts.Flood = bench.Caller{Name: pair.Name, Token: pair.Value}
	}
	return opts
}
