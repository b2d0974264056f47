package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"tanagerstack.org/model/play"
)

// mean returns the mean of a figure over results.
func mean(results []*play.Result, figure func(*play.Result) float64) float64 {
	sum := 0.0
	for _, t := range results {
		sum += figure(t)
	}
	return sum / float64(len(results))
}

// printDetails prints where each policy loses value. All figures are means over the seeds.
func printDetails(w io.Writer, scenario *play.Scenario, names []string, byPolicy [][]*play.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "policy\tworst tenth of organizations\tworst tenth of seconds\trefusals\tjobs in vain\tcore-seconds\tof jobs in vain\twasted by cause")
	for i, name := range names {
		results := byPolicy[i]
		refusals := func(t *play.Result) float64 {
			sum := 0
			for _, count := range t.Refusals {
				sum += count
			}
			return float64(sum)
		}
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", name,
			mean(results, (*play.Result).WorstOrganizations), mean(results, (*play.Result).WorstSeconds), mean(results, refusals),
			mean(results, func(t *play.Result) float64 { return float64(t.Vain()) }),
			mean(results, func(t *play.Result) float64 { return t.BusyCoreSeconds }),
			mean(results, func(t *play.Result) float64 { return t.LostCoreSeconds }), wasteByCause(results))
	}
	_, _ = fmt.Fprintln(table, "policy and queue\tjobs\ton time\tlate\tlost\tof them refused\tvalue\tlost value\tvalue lost by lateness")
	for i, name := range names {
		for _, q := range scenario.Queues {
			figure := func(f func(*play.QueueResult) float64) float64 {
				return mean(byPolicy[i], func(t *play.Result) float64 { return f(t.Queues[q.Name]) })
			}
			_, _ = fmt.Fprintf(table, "%s %s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\n", name, q.Name,
				figure(func(r *play.QueueResult) float64 { return float64(r.Jobs) }),
				figure(func(r *play.QueueResult) float64 { return float64(r.OnTime) }),
				figure(func(r *play.QueueResult) float64 { return float64(r.Late) }),
				figure(func(r *play.QueueResult) float64 { return float64(r.Lost) }),
				figure(func(r *play.QueueResult) float64 { return float64(r.Refused) }),
				figure(func(r *play.QueueResult) float64 { return r.Attainable }),
				figure(func(r *play.QueueResult) float64 { return r.LostValue }),
				figure(func(r *play.QueueResult) float64 { return r.LateValue * 0.8 }))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, name := range names {
		last := byPolicy[i][len(byPolicy[i])-1]
		_, _ = fmt.Fprintf(w, "%s: organizations %s\n", name, shares(last.Organizations, cmp.Compare[string]))
		_, _ = fmt.Fprintf(w, "%s: seconds %s\n", name, shares(last.Seconds, cmp.Compare[int]))
	}
	return nil
}

// shares formats the earned shares of parts in order.
func shares[K comparable](parts map[K]*play.Part, compare func(a, b K) int) string {
	list := make([]string, 0, len(parts))
	for _, key := range slices.SortedFunc(maps.Keys(parts), compare) {
		list = append(list, fmt.Sprintf("%v %.2f", key, parts[key].Share()))
	}
	return strings.Join(list, ", ")
}

// wasteByCause formats the mean core-seconds of runs that did not succeed, by how they ended.
func wasteByCause(results []*play.Result) string {
	sums := make(map[string]float64)
	for _, t := range results {
		for cause, amount := range t.WastedByCause {
			sums[cause] += amount / float64(len(results))
		}
	}
	list := make([]string, 0, len(sums))
	for _, cause := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, fmt.Sprintf("%s %.0f", cause, sums[cause]))
	}
	return strings.Join(list, " ")
}
