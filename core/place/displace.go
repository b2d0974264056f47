package place

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// Victim is a running task that may be stopped for an urgent one.
type Victim struct {
	Task      ledger.Task
	Amount    roster.Resources
	StartedAt time.Time
}

// Displacement is a set of tasks to stop on one worker, so that Tasks tasks of a
// demand fit there.
type Preemption struct {
	Worker  string
	Tasks   int
	Victims []Victim
}

// Displace picks the tasks to stop so that as many tasks of the demand fit as
// possible, or none if all must fit together and don't. It prefers workers where
// the least is stopped, and there the tasks that were started last. What is free
// already counts as room.
func Preempt(l *ledger.Ledger, d Demand, victims map[string][]Victim) []Preemption {
	options := make([]Preemption, 0, len(victims))
	for _, w := range l.Workers() {
		if _, out := excluded(w, d.Avoid); !out {
			options = append(options, displaceOn(w, d, victims[w.Name]))
		}
	}
	slices.SortFunc(options, func(a, b Preemption) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.Worker, b.Worker))
	})
	var chosen []Preemption
	left := d.Count
	for _, option := range options {
		if left == 0 {
			break
		}
		if option.Tasks == 0 {
			continue
		}
		option = trim(l.Worker(option.Worker), d.PerTask, option, left)
		left -= option.Tasks
		chosen = append(chosen, option)
	}
	if _, all := d.Strategy.(AllOrNothing); all && left > 0 {
		return nil
	}
	return slices.DeleteFunc(chosen, func(c Preemption) bool { return len(c.Victims) == 0 })
}

// displaceOn finds how many tasks fit on a worker if all its victims stop.
func displaceOn(w *ledger.Worker, d Demand, victims []Victim) Preemption {
	victims = slices.Clone(victims)
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	room := w.Free
	for _, v := range victims {
		room = ledger.Sum(room, v.Amount)
	}
	option := Preemption{Worker: w.Name, Tasks: ledger.FitCount(d.PerTask, room, d.Count), Victims: victims}
	return trim(w, d.PerTask, option, option.Tasks)
}

// trim keeps only the victims that are needed for up to tasks tasks.
func trim(w *ledger.Worker, each roster.Resources, option Preemption, tasks int) Preemption {
	option.Tasks = min(option.Tasks, tasks)
	needed := ledger.Scale(each, option.Tasks)
	room := w.Free
	kept := 0
	for kept < len(option.Victims) && !ledger.Fits(needed, room) {
		room = ledger.Sum(room, option.Victims[kept].Amount)
		kept++
	}
	option.Victims = spare(option.Victims[:kept], needed, room)
	return option
}

// spare leaves out victims whose room turns out not to be needed.
func spare(victims []Victim, needed, room roster.Resources) []Victim {
	var kept []Victim
	for _, v := range victims {
		if without := ledger.Difference(room, v.Amount); ledger.Fits(needed, without) {
			room = without
			continue
		}
		kept = append(kept, v)
	}
	return kept
}

// cost is the number of tasks stopped for each task that fits.
func (d Preemption) cost() float64 {
	if d.Tasks == 0 {
		return float64(len(d.Victims) + 1)
	}
	return float64(len(d.Victims)) / float64(d.Tasks)
}
