package place

import (
	"cmp"
	"slices"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// candidate is a worker with capacity for at least one task of the demand.
type candidate struct {
	worker *ledger.Worker
	score  float64
	// maxTasks is the number of tasks that fit on the worker; assigned is the
	// number that it has been given.
	maxTasks int32
	assigned int32
}

// Choose selects workers for the tasks of a demand. It does not change the ledger.
func Choose(l *ledger.Ledger, d Demand) Decision {
	decision := Decision{Considered: len(l.Workers())}
	candidates := eligibleWorkers(l, d, &decision.Exclusions)
	switch p := d.Strategy.(type) {
	case Spread:
		spread(candidates, d.Count, p.Placed, &decision)
	case AllOrNothing:
		if totalTasks(candidates) >= d.Count {
			pack(candidates, d, &decision)
		}
	default:
		pack(candidates, d, &decision)
	}
	decision.Unplaced = d.Count - len(decision.Workers)
	if decision.Unplaced > 0 {
		countExhausted(candidates, d.PerTask, &decision.Exclusions)
	}
	return decision
}

// eligibleWorkers returns the workers that can take at least one task. It counts
// each other worker in exclusions, under the first constraint that it fails.
func eligibleWorkers(l *ledger.Ledger, d Demand, exclusions *Exclusions) []candidate {
	candidates := make([]candidate, 0, len(l.Workers()))
	for _, w := range l.Workers() {
		if c, out := excluded(w, d.Avoid); out {
			exclusions[c]++
			continue
		}
		if c, out := lackingResource(d.PerTask, w.Free); out {
			exclusions[c]++
			continue
		}
		free := w.Free
		if reserved, ok := d.Reserved[w.Name]; ok {
			free = ledger.Difference(free, reserved)
		}
		maxTasks := ledger.FitCount(d.PerTask, free, d.Count)
		if maxTasks == 0 {
			exclusions[ReservedForGang]++
			continue
		}
		candidates = append(candidates, candidate{worker: w, maxTasks: int32(maxTasks)})
	}
	return candidates
}

// excluded reports whether tasks must not be placed on w, because of its condition
// or because the demand avoids it, and returns the constraint.
func excluded(w *ledger.Worker, avoid map[string]bool) (Constraint, bool) {
	switch w.Condition {
	case ledger.Usable:
		return Avoided, avoid[w.Name]
	case ledger.Leaving:
		return Leaving, true
	case ledger.Quarantined:
		return Quarantined, true
	default:
		return NotReachable, true
	}
}

// lackingResource reports whether one task does not fit into free and returns the
// constraint for the first resource that is short.
func lackingResource(perTask, free roster.Resources) (Constraint, bool) {
	switch {
	case perTask.Accelerators > free.Accelerators:
		return LacksAccelerators, true
	case perTask.MemoryBytes > free.MemoryBytes:
		return LacksMemory, true
	case perTask.Millicores > free.Millicores:
		return LacksProcessors, true
	default:
		return 0, false
	}
}

func totalTasks(candidates []candidate) int {
	sum := 0
	for i := range candidates {
		sum += int(candidates[i].maxTasks)
	}
	return sum
}

// pack assigns tasks to the candidates in order of score, filling each before the
// next.
func pack(candidates []candidate, d Demand, decision *Decision) {
	for i := range candidates {
		candidates[i].score = packScore(candidates[i].worker, d.PerTask)
	}
	if d.Count > selectionLimit {
		slices.SortFunc(candidates, byScore)
	}
	for i := range candidates {
		if len(decision.Workers) == d.Count {
			return
		}
		if d.Count <= selectionLimit {
			lowest := i + lowestScoreIndex(candidates[i:])
			candidates[i], candidates[lowest] = candidates[lowest], candidates[i]
		}
		c := &candidates[i]
		for c.assigned < c.maxTasks && len(decision.Workers) < d.Count {
			c.assigned++
			decision.Workers = append(decision.Workers, c.worker.Name)
		}
	}
}

// selectionLimit is the largest number of tasks for which repeated selection of the
// best worker is cheaper than sorting all candidates.
const selectionLimit = 8

// byScore orders candidates by score, then by worker name.
func byScore(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.Name, b.worker.Name))
}

// lowestScoreIndex returns the index of the first candidate in the order of byScore.
func lowestScoreIndex(candidates []candidate) int {
	lowest := 0
	for i := range candidates {
		if byScore(candidates[i], candidates[lowest]) < 0 {
			lowest = i
		}
	}
	return lowest
}

// acceleratorPenalty is added to the score of a worker with free accelerators if the
// task needs none. Such a worker is used only when no other worker has capacity,
// since the two shares in the score add up to 2 at most.
const acceleratorPenalty = 4

// packScore returns the score of w: the sum of the fractions of its processors and
// memory that remain free after one task. Lower is better.
func packScore(w *ledger.Worker, perTask roster.Resources) float64 {
	score := fraction(w.Free.Millicores-perTask.Millicores, w.Capacity.Millicores) +
		fraction(w.Free.MemoryBytes-perTask.MemoryBytes, w.Capacity.MemoryBytes)
	if perTask.Accelerators == 0 && w.Free.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score
}

// fraction returns part/whole, or 0 if whole is not positive.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// spread assigns each task to the rack, and then to the worker, that has the fewest
// tasks of the job. placed holds the number of tasks already on each worker.
func spread(candidates []candidate, count int, placed map[string]int, decision *Decision) {
	racks := make(map[string]int)
	for i := range candidates {
		w := candidates[i].worker
		racks[w.Rack] += placed[w.Name]
	}
	for range count {
		best := -1
		for i := range candidates {
			if candidates[i].assigned < candidates[i].maxTasks &&
				(best < 0 || betterForSpread(&candidates[i], &candidates[best], racks, placed)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c := &candidates[best]
		c.assigned++
		racks[c.worker.Rack]++
		decision.Workers = append(decision.Workers, c.worker.Name)
	}
}

// betterForSpread reports whether a is preferred to b for the next task: fewer tasks
// of the job on its rack, then on the worker, then fewer free accelerators, then
// more free processors.
func betterForSpread(a, b *candidate, racks, placed map[string]int) bool {
	if x, y := racks[a.worker.Rack], racks[b.worker.Rack]; x != y {
		return x < y
	}
	if x, y := placed[a.worker.Name]+int(a.assigned), placed[b.worker.Name]+int(b.assigned); x != y {
		return x < y
	}
	if x, y := a.worker.Free.Accelerators, b.worker.Free.Accelerators; x != y {
		return x < y
	}
	return a.worker.Free.Millicores > b.worker.Free.Millicores
}

// countExhausted counts in exclusions the candidates, each under the constraint that
// keeps it from taking more than maxTasks tasks.
func countExhausted(candidates []candidate, perTask roster.Resources, exclusions *Exclusions) {
	for i := range candidates {
		c := &candidates[i]
		remaining := ledger.Difference(c.worker.Free, ledger.Scale(perTask, int(c.maxTasks)))
		constraint, out := lackingResource(perTask, remaining)
		if !out {
			constraint = ReservedForGang
		}
		exclusions[constraint]++
	}
}
