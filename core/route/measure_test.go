//go:build bench

package route

import (
	"fmt"
	"testing"
	"time"
)

// makeTargets returns count targets with 2 slots each.
func makeTargets(count int) []TargetSlots {
	targets := make([]TargetSlots, count)
	for i := range targets {
		targets[i] = TargetSlots{Name: fmt.Sprint("t", i), Slots: 2}
	}
	return targets
}

// pickerFuncs are the methods that Table and the reference model have in common.
type pickerFuncs struct {
	pick   func(now time.Time, q Query) (string, bool)
	finish func(now time.Time, name string, r Result)
}

// benchmarkDecision returns a benchmark that returns and takes a slot in each iteration,
// while half of the slots are in use.
func benchmarkDecision(p pickerFuncs, count int) func(b *testing.B) {
	return func(b *testing.B) {
		now := time.Unix(1000, 0)
		var taken []string
		for range count {
			name, _ := p.pick(now, Query{})
			taken = append(taken, name)
		}
		done := Result(Succeeded{Took: time.Millisecond})
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			at := i % len(taken)
			p.finish(now, taken[at], done)
			taken[at], _ = p.pick(now, Query{})
		}
		b.StopTimer()
		for _, name := range taken {
			p.finish(now, name, done)
		}
	}
}

// TestMeasureDecision compares the cost of a decision with that of the reference model.
// A decision must not allocate, must not cost more than the reference model's at 560
// targets, and must cost at most 5.6 times as much at 560 targets as at 50, which is
// half of the 11.2 times of linear growth.
func TestMeasureDecision(t *testing.T) {
	cost := make(map[int]float64)
	for _, count := range []int{50, 560} {
		var table Table
		table.Set(makeTargets(count))
		reference := &referenceTable{}
		reference.set(makeTargets(count))
		tableResult := testing.Benchmark(benchmarkDecision(pickerFuncs{table.Pick, table.Finish}, count))
		referenceResult := testing.Benchmark(benchmarkDecision(pickerFuncs{reference.pick, reference.finish}, count))
		cost[count] = float64(tableResult.NsPerOp())
		fmt.Printf("decision at %3d targets: %6d ns, %d allocations; reference model %7d ns, %d allocations\n",
			count, tableResult.NsPerOp(), tableResult.AllocsPerOp(), referenceResult.NsPerOp(), referenceResult.AllocsPerOp())
		if tableResult.AllocsPerOp() > 0 {
			t.Errorf("a decision at %d targets allocates %d times", count, tableResult.AllocsPerOp())
		}
		if count == 560 && tableResult.NsPerOp() > referenceResult.NsPerOp() {
			t.Errorf("a decision at 560 targets takes %d ns; the reference model takes %d ns", tableResult.NsPerOp(), referenceResult.NsPerOp())
		}
	}
	growth := cost[560] / cost[50]
	fmt.Printf("%-44s %10.3f   bound %6.2f\n", "decision at 560 targets / at 50", growth, 5.6)
	if growth > 5.6 {
		t.Errorf("a decision at 560 targets costs %.2f times one at 50", growth)
	}
}
