package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

func drawResources(t *rapid.T, label string, most int64) roster.Resources {
	return roster.Resources{
		Millicores:   rapid.Int64Range(1, most).Draw(t, label+"-millicores"),
		MemoryBytes:  rapid.Int64Range(1, most).Draw(t, label+"-memory"),
		Accelerators: int(rapid.Int64Range(0, most/4).Draw(t, label+"-accelerators")),
	}
}

// drawLedger draws a small fleet of workers with charges.
func drawLedger(t *rapid.T) *ledger.Ledger {
	l := &ledger.Ledger{}
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		name := fmt.Sprintf("worker-%d", i)
		l.SetWorker(name, fmt.Sprintf("rack-%d", i%2), drawResources(t, name, 12))
		l.SetCondition(name, rapid.SampledFrom([]ledger.Condition{
			ledger.Usable, ledger.Usable, ledger.Usable, ledger.Leaving, ledger.Quarantined, ledger.Unreachable,
		}).Draw(t, name+"-condition"))
		for n := range rapid.IntRange(0, 2).Draw(t, name+"-charges") {
			l.Charge(name, ledger.Charge{Task: ledger.Task{Job: name, Index: n}, Amount: drawResources(t, "charge", 5)})
		}
	}
	return l
}

// maxPlacements is the reference model. It tries every worker for every task and
// returns the greatest number of tasks that fit.
func maxPlacements(free []roster.Resources, perTask roster.Resources, count int) int {
	best := 0
	if count == 0 {
		return 0
	}
	for i := range free {
		if ledger.Fits(perTask, free[i]) {
			free[i] = ledger.Difference(free[i], perTask)
			best = max(best, 1+maxPlacements(free, perTask, count-1))
			free[i] = ledger.Sum(free[i], perTask)
		}
	}
	return best
}

func usableCapacity(l *ledger.Ledger, avoid map[string]bool) []roster.Resources {
	var free []roster.Resources
	for _, w := range l.Workers() {
		if w.Condition == ledger.Usable && !avoid[w.Name] {
			free = append(free, w.Free)
		}
	}
	return free
}

func TestChooseAgainstExhaustiveSearch(t *testing.T) {
	strategies := map[string]Strategy{"spread": Spread{}, "packed": Packed{}, "all-or-nothing": AllOrNothing{}}
	for name, strategy := range strategies {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				l := drawLedger(t)
				d := Demand{
					PerTask: drawResources(t, "per-task", 5), Count: rapid.IntRange(1, 4).Draw(t, "count"), Strategy: strategy,
					Avoid: map[string]bool{"worker-1": rapid.Bool().Draw(t, "avoid")},
				}
				want := maxPlacements(usableCapacity(l, d.Avoid), d.PerTask, d.Count)
				if _, all := strategy.(AllOrNothing); all && want < d.Count {
					want = 0
				}
				got := Choose(l, d)
				if len(got.Workers) != want || got.Unplaced != d.Count-want {
					t.Fatalf("placed %d and left %d of %d unplaced; exhaustive search places %d", len(got.Workers), got.Unplaced, d.Count, want)
				}
				checkDecision(t, l, d, got)
			})
		})
	}
}

// checkDecision charges the tasks of a decision and checks that no worker is over its
// capacity, that no excluded worker was chosen and that the decision explains every
// worker if tasks were not placed.
func checkDecision(t *rapid.T, l *ledger.Ledger, d Demand, got Decision) {
	sum := 0
	for _, n := range got.Exclusions {
		sum += n
	}
	if got.Unplaced > 0 && sum != got.Considered && (sum != 0 || got.Considered != 0) {
		if _, all := d.Strategy.(AllOrNothing); !all {
			t.Fatalf("exclusions explain %d of %d workers: %s", sum, got.Considered, got.Exclusions)
		}
	}
	for i, name := range got.Workers {
		if w := l.Worker(name); w.Condition != ledger.Usable || d.Avoid[name] {
			t.Fatalf("chose excluded worker %s", name)
		}
		l.Charge(name, ledger.Charge{Task: ledger.Task{Job: "new", Index: i}, Amount: d.PerTask})
	}
	for _, name := range got.Workers {
		if free := l.Worker(name).Free; !ledger.Fits(roster.Resources{}, free) {
			t.Fatalf("worker %s is over its capacity: free %+v", name, free)
		}
	}
}

func TestSpreadIsEvenOverRacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger.Ledger{}
		racks := rapid.IntRange(1, 4).Draw(t, "racks")
		for i := range racks * 3 {
			name := fmt.Sprintf("worker-%02d", i)
			l.SetWorker(name, fmt.Sprintf("rack-%d", i%racks), roster.Resources{Millicores: 100, MemoryBytes: 100})
			l.SetCondition(name, ledger.Usable)
		}
		count := rapid.IntRange(1, 40).Draw(t, "count")
		got := Choose(l, Demand{PerTask: roster.Resources{Millicores: 1, MemoryBytes: 1}, Count: count, Strategy: Spread{}})
		perRack := map[string]int{}
		for _, name := range got.Workers {
			perRack[l.Worker(name).Rack]++
		}
		for rack, n := range perRack {
			if n < count/racks || n > (count+racks-1)/racks {
				t.Fatalf("%s has %d of %d tasks spread over %d racks", rack, n, count, racks)
			}
		}
	})
}

func TestPreemptMakesTasksFitWithoutNeedlessStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLedger(t)
		d := Demand{PerTask: drawResources(t, "per-task", 6), Count: rapid.IntRange(1, 3).Draw(t, "count"), Strategy: Packed{}}
		victims := map[string][]Victim{}
		var free []roster.Resources
		for _, w := range l.Workers() {
			available := w.Free
			for i, c := range l.ChargesOf(w.Name) {
				victims[w.Name] = append(victims[w.Name], Victim{Task: c.Task, Amount: c.Amount, StartedAt: time.Unix(int64(i), 0)})
				available = ledger.Sum(available, c.Amount)
			}
			if w.Condition == ledger.Usable {
				free = append(free, available)
			}
		}
		want := maxPlacements(free, d.PerTask, d.Count)
		for _, found := range Preempt(l, d, victims) {
			w := l.Worker(found.Worker)
			needed := ledger.Scale(d.PerTask, found.Tasks)
			available := w.Free
			for _, v := range found.Victims {
				available = ledger.Sum(available, v.Amount)
			}
			if w.Condition != ledger.Usable || !ledger.Fits(needed, available) {
				t.Fatalf("%d tasks do not fit on %s (condition %d) after stopping %v", found.Tasks, w.Name, w.Condition, found.Victims)
			}
			for _, v := range found.Victims {
				if ledger.Fits(needed, ledger.Difference(available, v.Amount)) {
					t.Fatalf("victim %v is stopped although the tasks fit without it", v.Task)
				}
				l.Release(w.Name, v.Task, ledger.WorkerReport{})
			}
		}
		if got := len(Choose(l, d).Workers); got != want {
			t.Fatalf("%d tasks fit after preemption; exhaustive search places %d", got, want)
		}
	})
}

func TestReserveAgainstExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLedger(t)
		d := Demand{PerTask: drawResources(t, "per-task", 5), Count: rapid.IntRange(1, 4).Draw(t, "count"), Strategy: AllOrNothing{}}
		releases := map[string][]ExpectedRelease{}
		var free []roster.Resources
		for _, w := range l.Workers() {
			available := w.Free
			for i, c := range l.ChargesOf(w.Name) {
				release := ExpectedRelease{Amount: c.Amount}
				if rapid.Bool().Draw(t, "ends") {
					release.EndsAt = time.Unix(int64(10+i), 0)
					available = ledger.Sum(available, c.Amount)
				}
				releases[w.Name] = append(releases[w.Name], release)
			}
			if w.Condition == ledger.Usable {
				free = append(free, available)
			}
		}
		r, ok := Reserve(l, "gang", d, releases)
		if want := maxPlacements(free, d.PerTask, d.Count) == d.Count; ok != want {
			t.Fatalf("reservation made: %v; exhaustive search: %v", ok, want)
		}
		var reserved roster.Resources
		for _, amount := range r.PerWorker {
			reserved = ledger.Sum(reserved, amount)
		}
		if ok && reserved != ledger.Scale(d.PerTask, d.Count) {
			t.Fatalf("reserved %+v for %d tasks of %+v", reserved, d.Count, d.PerTask)
		}
	})
}
