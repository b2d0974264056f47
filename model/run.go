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
	"tanagerstack.org/model/play"
)

// policies are the ways to decide that can be compared, by name: the product's own,
// each without one of its decisions, and a naive baseline.
var policies = map[string]engine.Policy{
	"product":        {},
	"arrival-order":  {ArrivalOrder: true},
	"deadline-order": {DeadlineOrder: true},
	"no-held-room":   {NoDedicatedWorkers: true},
	"no-preemption":  {NoPreemption: true},
	"one-question":   {SingleAdviceRequest: true},
	"naive":          {ArrivalOrder: true, DeadlineOrder: true, NoDedicatedWorkers: true, NoPreemption: true, SingleAdviceRequest: true},
}

// runOptions are the flags of the command.
type runOptions struct {
	seeds    int
	first    uint64
	loads    []float64
	policies []string
	gain     float64
}

func runCommand() *cobra.Command {
	o := &runOptions{}
	cmd := &cobra.Command{
		Use:   "run SCENE...",
		Short: "Play scenes with each policy and print what callers got",
		Example: `  tanager-model run model/scenes/booking.yaml
  tanager-model run model/scenes/*.yaml --seeds 8 --load 1,1.5,2.5 --policy product,naive`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			faults := make([]error, 0, len(args))
			for _, path := range args {
				faults = append(faults, o.run(cmd.OutOrStdout(), path))
			}
			return errors.Join(faults...)
		},
	}
	names := slices.Sorted(maps.Keys(policies))
	cmd.Flags().IntVar(&o.seeds, "seeds", 4, "how many seeds to play")
	cmd.Flags().Uint64Var(&o.first, "first-seed", 1, "the first seed")
	cmd.Flags().Float64SliceVar(&o.loads, "load", []float64{1}, "multiples of the scene's rates")
	cmd.Flags().StringSliceVar(&o.policies, "policy", []string{"product", "naive"}, "policies to compare, of "+strings.Join(names, ", "))
	cmd.Flags().Float64Var(&o.gain, "gain", 0, "fail unless the first policy earns at least this many times what the last one does; 0 for no bound")
	return cmd
}

func (o *runOptions) run(w io.Writer, path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the user's own
	if err != nil {
		return err
	}
	scene, err := play.ParseScene(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, name := range o.policies {
		if _, known := policies[name]; !known {
			return fmt.Errorf("--policy: there is no policy %q", name)
		}
	}
	var faults []error
	for _, load := range o.loads {
		faults = append(faults, o.compare(w, scene, load))
	}
	return errors.Join(faults...)
}

// compare plays a scene at one load with each policy and prints a table.
func (o *runOptions) compare(w io.Writer, scene *play.Scene, load float64) error {
	_, _ = fmt.Fprintf(w, "%s at %.2f times its load, %d seeds\n", scene.Name, load, o.seeds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "policy\tworth\tspread\tby queue\twaits p50/p95\tpacked\twasted\tstarts\tquestions\tlongest pass")
	means := make([]float64, 0, len(o.policies))
	for _, name := range o.policies {
		tallies := o.playAll(scene, policies[name], load)
		mean, spread := shares(tallies)
		means = append(means, mean)
		last := tallies[len(tallies)-1]
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\t%s\t%.2f\t%.3f\t%d\t%d\t%s\n", name, mean, spread, byQueue(scene, tallies), waits(scene, last),
			last.Packed(), last.WastedCoreSeconds/last.BusyCoreSeconds, last.Starts, last.Questions, last.LongestPass.Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if first, last := means[0], means[len(means)-1]; o.gain > 0 && first < o.gain*last {
		return fmt.Errorf("%s at load %.2f: %s earns %.3f, under %.2f times %.3f of %s", scene.Name, load, o.policies[0], first, o.gain, last, o.policies[len(o.policies)-1])
	}
	return nil
}

// playing is one play of a seed.
type playing struct {
	scene  *play.Scene
	policy engine.Policy
	seed   uint64
	load   float64
	tally  *play.Tally
	done   *sync.WaitGroup
}

func (p *playing) run() {
	defer p.done.Done()
	p.tally = play.Play(p.scene, p.policy, p.seed, p.load)
}

// playAll plays all seeds, side by side.
func (o *runOptions) playAll(scene *play.Scene, policy engine.Policy, load float64) []*play.Tally {
	var done sync.WaitGroup
	plays := make([]playing, o.seeds)
	for i := range plays {
		plays[i] = playing{scene: scene, policy: policy, seed: o.first + uint64(i), load: load, done: &done}
		done.Add(1)
		go plays[i].run()
	}
	done.Wait()
	tallies := make([]*play.Tally, 0, len(plays))
	for i := range plays {
		tallies = append(tallies, plays[i].tally)
	}
	return tallies
}

// shares returns the mean of what was earned and the standard deviation.
func shares(tallies []*play.Tally) (mean, spread float64) {
	for _, t := range tallies {
		mean += t.Share() / float64(len(tallies))
	}
	for _, t := range tallies {
		spread += (t.Share() - mean) * (t.Share() - mean) / float64(len(tallies))
	}
	return mean, math.Sqrt(spread)
}

func byQueue(scene *play.Scene, tallies []*play.Tally) string {
	parts := make([]string, 0, len(scene.Queues))
	for _, q := range scene.Queues {
		mean := 0.0
		for _, t := range tallies {
			mean += t.Queues[q.Name].Share() / float64(len(tallies))
		}
		parts = append(parts, fmt.Sprintf("%s %.2f", q.Name, mean))
	}
	return strings.Join(parts, " ")
}

func waits(scene *play.Scene, t *play.Tally) string {
	parts := make([]string, 0, len(scene.Queues))
	for _, q := range scene.Queues {
		queue := t.Queues[q.Name]
		parts = append(parts, fmt.Sprintf("%.2f/%.1f", queue.Wait(0.5).Seconds(), queue.Wait(0.95).Seconds()))
	}
	return strings.Join(parts, " ")
}
