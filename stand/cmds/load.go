package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/load"
)

// loadFlags are the flags of the load command that need turning into options.
type loadFlags struct {
	entries, operators, targets, workers flags.Addresses
	callers                              flags.Pairs
	opts                                 load.Options
}

func newLoad() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Drive entry VMs with requests, jobs and policy changes, and check what they said",
		Long: `Sends service requests, jobs and policy changes to entry VMs for a bounded time, and
then compares what it was told with the records of the stand-ins. The last line is
a summary for programs. The exit code is 1 where a promise was broken.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := load.Run(cmd.Context(), f.options())
			if err != nil {
				return err
			}
			report.Print(cmd.OutOrStdout())
			return report.Err()
		},
	}
	f.bind(cmd)
	return cmd
}

func (f *loadFlags) bind(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Var(&f.entries, "entry-addresses", "callers' APIs of the entry VMs")
	set.Var(&f.operators, "operators-addresses", "operators' APIs of the entry VMs; no policy changes if empty")
	set.StringVar(&f.opts.OperatorToken, "operator-token", "", "token of an operator")
	set.Var(&f.callers, "callers", "callers with their tokens, as NAME=TOKEN,..")
	set.StringVar(&f.opts.Service, "service", "booking", "the service that requests ask for")
	set.StringVar(&f.opts.Work, "job-work", "transcoding", "the kind of work of the jobs")
	set.Var(&f.targets, "target-controls", "control APIs of the target stand-ins")
	set.Var(&f.workers, "worker-controls", "control APIs of the worker stand-ins")
	set.DurationVar(&f.opts.Duration, "duration", 10*time.Second, "how long new load is sent")
	set.Float64Var(&f.opts.RequestsPerSecond, "rate", 500, "requests per second")
	set.Float64Var(&f.opts.JobsPerSecond, "job-rate", 5, "jobs per second")
	set.IntVar(&f.opts.InFlight, "in-flight", 512, "the most requests that wait for their answer")
	set.DurationVar(&f.opts.Window, "window", 2*time.Second, "the window of each request")
	set.DurationVar(&f.opts.JobWindow, "job-window", 15*time.Second, "the window of each job")
	set.DurationVar(&f.opts.ChangeEvery, "change-every", 2*time.Second, "time between policy changes")
	set.DurationVar(&f.opts.PolicyLimit, "policy-limit", 4*time.Second, "how long a policy change may take")
	set.Int64Var(&f.opts.MinAccepted, "min-accepted", 1, "the least number of accepted requests and jobs")
	set.Int64Var(&f.opts.Seed, "seed", 1, "seed of the mix of the load")
}

func (f *loadFlags) options() load.Options {
	opts := f.opts
	opts.Entries, opts.Operators = f.entries, f.operators
	opts.TargetControls, opts.WorkerControls = f.targets, f.workers
	for _, pair := range f.callers {
		opts.Callers = append(opts.Callers, load.Caller{Name: pair.Name, Token: pair.Value})
	}
	return opts
}
