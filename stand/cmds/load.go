package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/load"
)

// loadFlags are the flags of the load command. Flags that need no conversion are set in opts.
type loadFlags struct {
	entryAddresses, operatorAddresses, targetControls, workerControls flags.Addresses
	callers                                                           flags.Pairs
	opts                                                              load.Options
}

func newLoad() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests, jobs and policy changes to entry VMs, and check their answers",
		Long: `Sends service requests, jobs and policy changes to entry VMs for a limited time, then
compares their answers with the records of the fakes. The last line of the output is
a machine-readable summary. The exit code is 1 if any guarantee was violated.`,
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
	set.Var(&f.entryAddresses, "entry-addresses", "addresses of the callers' API of the entry VMs")
	set.Var(&f.operatorAddresses, "operators-addresses", "addresses of the operators' API of the entry VMs; no policy changes if empty")
	set.StringVar(&f.opts.OperatorToken, "operator-token", "", "token of an operator")
	set.Var(&f.callers, "callers", "callers and their tokens, as NAME=TOKEN,..")
	set.StringVar(&f.opts.Service, "service", "booking", "service that the requests name")
	set.StringVar(&f.opts.Work, "job-work", "transcoding", "kind of work of the jobs")
	set.Var(&f.targetControls, "target-controls", "addresses of the control API of the fake targets")
	set.Var(&f.workerControls, "worker-controls", "addresses of the control API of the fake workers")
	set.DurationVar(&f.opts.Duration, "duration", 10*time.Second, "how long to send new load")
	set.Float64Var(&f.opts.RequestsPerSecond, "rate", 500, "requests per second")
	set.Float64Var(&f.opts.JobsPerSecond, "job-rate", 5, "jobs per second")
	set.IntVar(&f.opts.MaxInFlight, "in-flight", 512, "maximum number of requests in flight")
	set.DurationVar(&f.opts.Window, "window", 2*time.Second, "window of each request")
	set.DurationVar(&f.opts.JobWindow, "job-window", 15*time.Second, "window of each job")
	set.DurationVar(&f.opts.PolicyChangeInterval, "change-every", 2*time.Second, "time between policy changes")
	set.DurationVar(&f.opts.MaxPolicyDelay, "policy-limit", 4*time.Second, "maximum time until a policy change is in effect on all entry VMs")
	set.Int64Var(&f.opts.MinAccepted, "min-accepted", 1, "minimum number of accepted requests and jobs")
	set.Int64Var(&f.opts.Seed, "seed", 1, "seed of the random mix of requests and jobs")
}

func (f *loadFlags) options() load.Options {
	opts := f.opts
	opts.Entries, opts.Operators = f.entryAddresses, f.operatorAddresses
	opts.TargetControls, opts.WorkerControls = f.targetControls, f.workerControls
	for _, pair := range f.callers {
		opts.Callers = append(opts.Callers, load.Caller{Name: pair.Name, Token: pair.Value})
	}
	return opts
}
