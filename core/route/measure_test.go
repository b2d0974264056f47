//go:build bench

package route

import (
	"fmt"
	"testing"
	"time"
)

// fleetOf returns shares of count targets with 2 slots each.
func fleetOf(count int) []TargetSlots {
	shares := make([]TargetSlots, count)
	for i := range shares {
		shares[i] = TargetSlots{Name: fmt.Sprint("t", i), Slots: 2}
	}
	return shares
}

// picker is what both versions can do.
type picker struct {
	pick   func(now time.Time, q Query) (string, bool)
	finish func(now time.Time, name string, r Result)
}

// decide takes and gives back slots while half of them are taken.
func decide(p picker, count int) func(b *testing.B) {
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

// TestMeasureDecision compares the cost of a decision with the naive version's.
// Its bounds: no allocation, and growth from 50 to 560 targets (11.2 times as
// many) that is far below linear.
func TestMeasureDecision(t *testing.T) {
	cost := make(map[int]float64)
	for _, count := range []int{50, 560} {
		var table Table
		table.Set(fleetOf(count))
		naive := &naiveTable{}
		naive.set(fleetOf(count))
		ours := testing.Benchmark(decide(picker{table.Pick, table.Finish}, count))
		plain := testing.Benchmark(decide(picker{naive.pick, naive.finish}, count))
		cost[count] = float64(ours.NsPerOp())
		fmt.Printf("decision at %3d targets: %6d ns, %d allocations; naive version %7d ns, %d allocations\n",
			count, ours.NsPerOp(), ours.AllocsPerOp(), plain.NsPerOp(), plain.AllocsPerOp())
		if ours.AllocsPerOp() > 0 {
			t.Errorf("a decision at %d targets allocates %d times", count, ours.AllocsPerOp())
		}
		if count == 560 && ours.NsPerOp() > plain.NsPerOp() {
			t.Errorf("a decision at 560 targets takes %d ns, the naive version %d ns", ours.NsPerOp(), plain.NsPerOp())
		}
	}
	growth := cost[560] / cost[50]
	fmt.Printf("%-44s %10.3f   bound %6.2f\n", "decision at 560 targets / at 50", growth, 5.6)
	if growth > 5.6 {
		t.Errorf("a decision at 560 targets costs %.2f times one at 50", growth)
	}
}
