package place

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Victim is a running task that may be preempted by an urgent task.
type Victim struct {
	Task      ledger.Task
	Amount    roster.Resources
	StartedAt time.Time
}

// Preemption is a set of tasks to stop on one worker. After they have stopped, Tasks
// tasks of the demand fit there.
type Preemption struct {
	Worker  string
	Tasks   int
	Victims []Victim
}

// Preempt selects the tasks to stop so that as many tasks of the demand as possible
// fit. It returns nil for AllOrNothing if not all tasks would fit. It prefers the
// workers with the fewest stopped tasks per placed task and, on each worker, stops
// the tasks that were started last. Capacity that is free already is used as well,
// and workers where nothing needs to be stopped are left out of the result.
func Preempt(l *ledger.Ledger, d Demand, victims map[string][]Victim) []Preemption {
	options := make([]Preemption, 0, len(victims))
	for _, w := range l.Workers() {
		if _, out := excluded(w, d.Avoid); !out {
			options = append(options, preemptOn(w, d, victims[w.Name]))
		}
	}
	slices.SortFunc(options, func(a, b Preemption) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.Worker, b.Worker))
	})
	var chosen []Preemption
	remaining := d.Count
	for _, option := range options {
		if remaining == 0 {
			break
		}
		if option.Tasks == 0 {
			continue
		}
		option = trimVictims(l.Worker(option.Worker), d.PerTask, option, remaining)
		remaining -= option.Tasks
		chosen = append(chosen, option)
	}
	if _, all := d.Strategy.(AllOrNothing); all && remaining > 0 {
		return nil
	}
	return slices.DeleteFunc(chosen, func(c Preemption) bool { return len(c.Victims) == 0 })
}

// preemptOn returns the preemption that makes the most tasks, at most d.Count, fit on
// a worker.
func preemptOn(w *ledger.Worker, d Demand, victims []Victim) Preemption {
	victims = slices.Clone(victims)
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	free := w.Free
	for _, v := range victims {
		free = ledger.Sum(free, v.Amount)
	}
	option := Preemption{Worker: w.Name, Tasks: ledger.FitCount(d.PerTask, free, d.Count), Victims: victims}
	return trimVictims(w, d.PerTask, option, option.Tasks)
}

// trimVictims limits option to at most tasks tasks and drops the victims that these
// do not need.
func trimVictims(w *ledger.Worker, perTask roster.Resources, option Preemption, tasks int) Preemption {
	option.Tasks = min(option.Tasks, tasks)
	needed := ledger.Scale(perTask, option.Tasks)
	free := w.Free
	kept := 0
	for kept < len(option.Victims) && !ledger.Fits(needed, free) {
		free = ledger.Sum(free, option.Victims[kept].Amount)
		kept++
	}
	option.Victims = dropUnneeded(option.Victims[:kept], needed, free)
	return option
}

// dropUnneeded drops the victims without which needed still fits. free is the free
// capacity after all victims have stopped.
func dropUnneeded(victims []Victim, needed, free roster.Resources) []Victim {
	var kept []Victim
	for _, v := range victims {
		if without := ledger.Difference(free, v.Amount); ledger.Fits(needed, without) {
			free = without
			continue
		}
		kept = append(kept, v)
	}
	return kept
}

// cost returns the number of stopped tasks per task that fits. Lower is better.
func (d Preemption) cost() float64 {
	if d.Tasks == 0 {
		return float64(len(d.Victims) + 1)
	}
	return float64(len(d.Victims)) / float64(d.Tasks)
}
