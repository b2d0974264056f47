package place

import (
	"cmp"
	"slices"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// candidate is a worker that can take at least one task of the demand.
type candidate struct {
	worker *ledger.Worker
	score  float64
	// fits is how many tasks the worker can take, taken how many it is given.
	fits  int32
	taken int32
}

// Choose picks workers for the tasks of a demand.
func Choose(l *ledger.Ledger, d Demand) Decision {
	decision := Decision{Considered: len(l.Workers())}
	candidates := eligible(l, d, &decision.Exclusions)
	switch p := d.Strategy.(type) {
	case Spread:
		spread(candidates, d.Count, p.Placed, &decision)
	case AllOrNothing:
		if total(candidates) >= d.Count {
			pack(candidates, d, &decision)
		}
	default:
		pack(candidates, d, &decision)
	}
	decision.Unplaced = d.Count - len(decision.Workers)
	if decision.Unplaced > 0 {
		exhaust(candidates, d.PerTask, &decision.Exclusions)
	}
	return decision
}

// eligible returns the workers with room for one task or more, and counts why
// the others have none.
func eligible(l *ledger.Ledger, d Demand, ruled *Exclusions) []candidate {
	candidates := make([]candidate, 0, len(l.Workers()))
	for _, w := range l.Workers() {
		if c, out := excluded(w, d.Avoid); out {
			ruled[c]++
			continue
		}
		if c, out := lacks(d.PerTask, w.Free); out {
			ruled[c]++
			continue
		}
		room := w.Free
		if held, ok := d.Reserved[w.Name]; ok {
			room = ledger.Difference(room, held)
		}
		fits := ledger.FitCount(d.PerTask, room, d.Count)
		if fits == 0 {
			ruled[ReservedForGang]++
			continue
		}
		candidates = append(candidates, candidate{worker: w, fits: int32(fits)})
	}
	return candidates
}

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

func lacks(each, room roster.Resources) (Constraint, bool) {
	switch {
	case each.Accelerators > room.Accelerators:
		return LacksAccelerators, true
	case each.MemoryBytes > room.MemoryBytes:
		return LacksMemory, true
	case each.Millicores > room.Millicores:
		return LacksProcessors, true
	default:
		return 0, false
	}
}

func total(candidates []candidate) int {
	sum := 0
	for i := range candidates {
		sum += int(candidates[i].fits)
	}
	return sum
}

// pack fills candidates in order of their score.
func pack(candidates []candidate, d Demand, decision *Decision) {
	for i := range candidates {
		candidates[i].score = leftover(candidates[i].worker, d.PerTask)
	}
	if d.Count > selectionLimit {
		slices.SortFunc(candidates, byScore)
	}
	for i := range candidates {
		if len(decision.Workers) == d.Count {
			return
		}
		if d.Count <= selectionLimit {
			least := i + leastScore(candidates[i:])
			candidates[i], candidates[least] = candidates[least], candidates[i]
		}
		c := &candidates[i]
		for c.taken < c.fits && len(decision.Workers) < d.Count {
			c.taken++
			decision.Workers = append(decision.Workers, c.worker.Name)
		}
	}
}

// selectionLimit is the number of tasks up to which picking the best worker again
// and again costs less than sorting all of them.
const selectionLimit = 8

func byScore(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.Name, b.worker.Name))
}

func leastScore(candidates []candidate) int {
	least := 0
	for i := range candidates {
		if byScore(candidates[i], candidates[least]) < 0 {
			least = i
		}
	}
	return least
}

// acceleratorPenalty keeps tasks without accelerators off workers that have
// some free, as long as another worker has room.
const acceleratorPenalty = 4

// leftover scores what stays free on w after one task, as a share of its
// capacity: the less, the better.
func leftover(w *ledger.Worker, each roster.Resources) float64 {
	score := share(w.Free.Millicores-each.Millicores, w.Capacity.Millicores) +
		share(w.Free.MemoryBytes-each.MemoryBytes, w.Capacity.MemoryBytes)
	if each.Accelerators == 0 && w.Free.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// spread chooses for each task the rack, then the worker, with the fewest of the job.
func spread(candidates []candidate, count int, placed map[string]int, decision *Decision) {
	racks := make(map[string]int)
	for i := range candidates {
		w := candidates[i].worker
		racks[w.Rack] += placed[w.Name]
	}
	for range count {
		best := -1
		for i := range candidates {
			if candidates[i].taken < candidates[i].fits &&
				(best < 0 || roomier(&candidates[i], &candidates[best], racks, placed)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c := &candidates[best]
		c.taken++
		racks[c.worker.Rack]++
		decision.Workers = append(decision.Workers, c.worker.Name)
	}
}

// roomier reports whether a is a better place than b for a task of a service.
func roomier(a, b *candidate, racks, placed map[string]int) bool {
	if x, y := racks[a.worker.Rack], racks[b.worker.Rack]; x != y {
		return x < y
	}
	if x, y := placed[a.worker.Name]+int(a.taken), placed[b.worker.Name]+int(b.taken); x != y {
		return x < y
	}
	if x, y := a.worker.Free.Accelerators, b.worker.Free.Accelerators; x != y {
		return x < y
	}
	return a.worker.Free.Millicores > b.worker.Free.Millicores
}

// exhaust counts the workers that took tasks, or could have, and had no room for
// one more.
func exhaust(candidates []candidate, each roster.Resources, ruled *Exclusions) {
	for i := range candidates {
		c := &candidates[i]
		rest := ledger.Difference(c.worker.Free, ledger.Scale(each, int(c.fits)))
		constraint, out := lacks(each, rest)
		if !out {
			constraint = ReservedForGang
		}
		ruled[constraint]++
	}
}
