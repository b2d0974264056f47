package play

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
)

// members returns the runs of a gang that are present.
func (c *cell) members(step jobs.StepID, number int) []*run {
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

// startGang lets a gang begin to work: it takes as long as its slowest member.
func (c *cell) startGang(members []*run) {
	var longest time.Duration
	for _, r := range members {
		longest = max(longest, r.takes)
	}
	for _, r := range members {
		r.takes = longest
		r.work()
	}
}

func (w *worker) sorted() []*run {
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
