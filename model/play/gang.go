package play

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// members returns the runs of a gang that workers hold now, in task order. Number is the run's
// number, which all members share.
func (c *simulation) members(step jobs.StepID, number int) []*run {
	var list []*run
	for _, w := range c.workers {
		for _, r := range w.running {
			if r.task.StepID == step && r.number == number {
				list = append(list, r)
			}
		}
	}
	sortRuns(list)
	return list
}

// startGang begins all runs of a complete gang. Each takes as long as the slowest member.
func (c *simulation) startGang(members []*run) {
	var longest time.Duration
	for _, r := range members {
		if !r.faulty {
			longest = max(longest, r.duration)
		}
	}
	for _, r := range members {
		if !r.faulty {
			r.duration = longest
		}
		r.begin()
	}
}

// sortedRuns returns the worker's runs in task order, so that a simulation is deterministic.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.running))
	for _, r := range w.running {
		list = append(list, r)
	}
	sortRuns(list)
	return list
}

func sortRuns(list []*run) {
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index),
		)
	})
}
