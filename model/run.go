package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/intake"
	"tanagerstack.org/model/play"
)

// policies are the scheduling policies that can be compared, by name: the product's own, the
// product's without one of its decisions each, and a baseline without any of them.
var policies = map[string]engine.Policy{
	"product":        {},
	"arrival-order":  {ArrivalOrder: true},
	"deadline-order": {DeadlineOrder: true},
	"no-held-room":   {NoDedicatedWorkers: true},
	"no-preemption":  {NoPreemption: true},
	"one-question":   {SingleAdviceRequest: true},
	"no-excess":      {NoExcess: true},
	"no-shares":      {NoShares: true},
	"fixed-weights":  {FixedWeights: true},
	"naive":          {ArrivalOrder: true, DeadlineOrder: true, NoDedicatedWorkers: true, NoPreemption: true, SingleAdviceRequest: true},
}

// refusals are the rules for refusing jobs that can be compared, by name.
var refusals = map[string]intake.Rules{
	"none":      {},
	"too-late":  {TooLate: true},
	"excess":    {Excess: true},
	"no-chance": {NoChance: true},
	"all":       {TooLate: true, Excess: true, NoChance: true},
}

// variant is a scheduling policy with rules for refusing jobs.
type variant struct {
	name   string
	policy engine.Policy
	rules  intake.Rules
}

// variants returns each policy with each of the rules.
func (o *runOptions) variants() []variant {
	list := make([]variant, 0, len(o.policies)*len(o.refuse))
	for _, policy := range o.policies {
		for _, refuse := range o.refuse {
			name := policy
			if refuse != "none" {
				name += "+" + refuse
			}
			list = append(list, variant{name, policies[policy], refusals[refuse]})
		}
	}
	return list
}

// runOptions are the flags of the run command.
type runOptions struct {
	seeds     int
	firstSeed uint64
	loads     []float64
	policies  []string
	durations string
	health    string
	gain      float64
	detail    bool
	refuse    []string
}

func runCommand() *cobra.Command {
	o := &runOptions{}
	cmd := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Simulate scenarios with each policy and print the value that callers got",
		Example: `  tanager-model run model/scenes/booking.yaml
  tanager-model run model/scenes/*.yaml --seeds 8 --load 1,1.5,2.5 --policy product,naive`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			errs := make([]error, 0, len(args))
			for _, path := range args {
				errs = append(errs, o.run(cmd.OutOrStdout(), path))
			}
			return errors.Join(errs...)
		},
	}
	names := slices.Sorted(maps.Keys(policies))
	cmd.Flags().IntVar(&o.seeds, "seeds", 4, "number of seeds to simulate")
	cmd.Flags().Uint64Var(&o.firstSeed, "first-seed", 1, "the first seed")
	cmd.Flags().Float64SliceVar(&o.loads, "load", []float64{1}, "factors on the arrival rates of the scenario, each simulated on its own")
	cmd.Flags().StringSliceVar(&o.policies, "policy", []string{"product", "naive"}, "policies to compare, of "+strings.Join(names, ", "))
	cmd.Flags().StringVar(&o.durations, "durations", "", "what predicted durations rest on: estimates, learned or noise; by default what the scenario says")
	cmd.Flags().StringVar(&o.health, "health", "", "how unreliable workers are told from others: basic, graded or auto; by default what the scenario says")
	cmd.Flags().Float64Var(&o.gain, "gain", 0, "fail unless the first policy earns at least this many times as much as the last one; 0 disables the check")
	cmd.Flags().StringSliceVar(&o.refuse, "refuse", []string{"none"}, "refusals to compare with each policy, of "+strings.Join(slices.Sorted(maps.Keys(refusals)), ", "))
	cmd.Flags().BoolVar(&o.detail, "detail", false, "print where value is lost: by queue, by organization and by second")
	return cmd
}

func (o *runOptions) run(w io.Writer, path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the user's own
	if err != nil {
		return err
	}
	scenario, err := play.ParseScenario(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if d := engine.Durations(o.durations); d != "" {
		if !d.Valid() {
			return fmt.Errorf("--durations: unknown value %q", o.durations)
		}
		scenario.Durations = d
	}
	if h := engine.Health(o.health); h != "" {
		if !h.Valid() {
			return fmt.Errorf("--health: unknown value %q", o.health)
		}
		scenario.Health = h
	}
	for _, name := range o.policies {
		if _, known := policies[name]; !known {
			return fmt.Errorf("--policy: unknown policy %q", name)
		}
	}
	for _, name := range o.refuse {
		if _, known := refusals[name]; !known {
			return fmt.Errorf("--refuse: unknown refusals %q", name)
		}
	}
	var errs []error
	for _, load := range o.loads {
		errs = append(errs, o.compare(w, scenario, load))
	}
	return errors.Join(errs...)
}

// compare simulates a scenario at one load with each policy and prints a table. Value shares cover all
// seeds, the other columns only the last seed. It returns an error if the first policy earns less
// than gain times what the last one does.
func (o *runOptions) compare(w io.Writer, scenario *play.Scenario, load float64) error {
	_, _ = fmt.Fprintf(w, "%s at %.2f times its load, %d seeds\n", scenario.Name, load, o.seeds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "policy\tvalue share\tstd dev\tshare by queue\tstart wait p50/p95 (s)\tutilization\twasted\tstarts\tadvice requests\tlongest pass")
	variants := o.variants()
	means := make([]float64, 0, len(variants))
	byPolicy := make([][]*play.Result, 0, len(variants))
	names := make([]string, 0, len(variants))
	for _, v := range variants {
		name := v.name
		names = append(names, name)
		results := o.runTrials(scenario, v, load)
		mean, stdDev := meanAndStdDev(results)
		means = append(means, mean)
		byPolicy = append(byPolicy, results)
		last := results[len(results)-1]
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\t%s\t%.2f\t%.3f\t%d\t%d\t%s\n", name, mean, stdDev, shareByQueue(scenario, results), startWaits(scenario, last),
			last.Utilization(), last.WastedCoreSeconds/last.BusyCoreSeconds, last.Starts, last.AdviceRequests, last.LongestPass.Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if o.detail {
		if err := printDetails(w, scenario, names, byPolicy); err != nil {
			return err
		}
	}
	if first, last := means[0], means[len(means)-1]; o.gain > 0 && first < o.gain*last {
		return fmt.Errorf("%s at load %.2f: %s earns a share of %.3f, less than %.2f times the %.3f of %s", scenario.Name, load, names[0], first, o.gain, last, names[len(names)-1])
	}
	return nil
}

// trial is the simulation of one seed.
type trial struct {
	scenario *play.Scenario
	variant  variant
	seed     uint64
	load     float64
	result   *play.Result
	group    *sync.WaitGroup
}

func (p *trial) run() {
	defer p.group.Done()
	p.result = play.SimulateAdmission(p.scenario, p.variant.policy, p.variant.rules, p.seed, p.load)
}

// runTrials simulates all seeds concurrently and returns the results in seed order.
func (o *runOptions) runTrials(scenario *play.Scenario, v variant, load float64) []*play.Result {
	var group sync.WaitGroup
	trials := make([]trial, o.seeds)
	for i := range trials {
		trials[i] = trial{scenario: scenario, variant: v, seed: o.firstSeed + uint64(i), load: load, group: &group}
		group.Add(1)
		go trials[i].run()
	}
	group.Wait()
	results := make([]*play.Result, 0, len(trials))
	for i := range trials {
		results = append(results, trials[i].result)
	}
	return results
}

// meanAndStdDev returns the mean and the standard deviation of the earned shares.
func meanAndStdDev(results []*play.Result) (mean, stdDev float64) {
	for _, t := range results {
		mean += t.Share() / float64(len(results))
	}
	for _, t := range results {
		stdDev += (t.Share() - mean) * (t.Share() - mean) / float64(len(results))
	}
	return mean, math.Sqrt(stdDev)
}

// shareByQueue formats the mean earned share of each queue.
func shareByQueue(scenario *play.Scenario, results []*play.Result) string {
	parts := make([]string, 0, len(scenario.Queues))
	for _, q := range scenario.Queues {
		mean := 0.0
		for _, t := range results {
			mean += t.Queues[q.Name].Share() / float64(len(results))
		}
		parts = append(parts, fmt.Sprintf("%s %.2f", q.Name, mean))
	}
	return strings.Join(parts, " ")
}

// startWaits formats the 50th and 95th percentile of each queue's start wait, in seconds.
func startWaits(scenario *play.Scenario, t *play.Result) string {
	parts := make([]string, 0, len(scenario.Queues))
	for _, q := range scenario.Queues {
		queue := t.Queues[q.Name]
		parts = append(parts, fmt.Sprintf("%.2f/%.1f", queue.StartWait(0.5).Seconds(), queue.StartWait(0.95).Seconds()))
	}
	return strings.Join(parts, " ")
}
