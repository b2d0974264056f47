package route

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceTable is the reference model of Table: it examines all targets for each pick.
type referenceTable struct {
	targets []*referenceTarget
	picks   uint64
}

type referenceTarget struct {
	name                string
	slots, busy         int
	leaving             bool
	failures, ejections int
	ejectedUntil        time.Time
	trustedAt           time.Time
	lastPick            uint64
	lostUntil           []time.Time
}

func (n *referenceTable) set(listed []TargetSlots) {
	for _, target := range n.targets {
		at := slices.IndexFunc(listed, func(s TargetSlots) bool { return s.Name == target.name })
		target.slots = 0
		if at >= 0 {
			target.slots = listed[at].Slots
		}
		if target.slots == 0 {
			target.leaving = false
		}
	}
	for _, s := range listed {
		if n.find(s.Name) == nil {
			n.targets = append(n.targets, &referenceTarget{name: s.Name, slots: s.Slots})
		}
	}
	n.removeUnused()
}

func (n *referenceTable) removeUnused() {
	n.targets = slices.DeleteFunc(n.targets, func(t *referenceTarget) bool { return t.slots == 0 && t.busy == 0 })
}

func (n *referenceTable) find(name string) *referenceTarget {
	for _, t := range n.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (n *referenceTable) expire(now time.Time) {
	for _, t := range n.targets {
		t.lostUntil = slices.DeleteFunc(t.lostUntil, func(until time.Time) bool {
			due := !now.Before(until)
			if due {
				t.busy--
			}
			return due
		})
		if !now.Before(t.ejectedUntil) {
			t.ejectedUntil = time.Time{}
		}
	}
	n.removeUnused()
}

func (n *referenceTable) pick(now time.Time, q Query) (string, bool) {
	n.expire(now)
	var best *referenceTarget
	for _, t := range n.targets {
		limit := t.slots
		if t.ejections > 0 {
			limit = min(limit, 1)
		}
		careful := q.AvoidProbation && t.ejections > 0 && now.Before(t.trustedAt)
		if t.leaving || !t.ejectedUntil.IsZero() || t.busy >= limit || careful || slices.Contains(q.Avoid, t.name) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(t.load(), best.load()), cmp.Compare(t.lastPick, best.lastPick),
			cmp.Compare(t.name, best.name)) < 0 {
			best = t
		}
	}
	if best == nil {
		return "", false
	}
	n.picks++
	best.lastPick = n.picks
	best.busy++
	return best.name, true
}

func (t *referenceTarget) load() float64 { return float64(t.busy+t.failures) / float64(t.slots) }

func (n *referenceTable) finish(now time.Time, name string, r Result) {
	t := n.find(name)
	switch r := r.(type) {
	case Succeeded:
		t.failures, t.ejections = 0, 0
	case Unused:
	case Lost:
		t.lostUntil = append(t.lostUntil, r.Until)
		t.busy++
		if !r.Inconclusive {
			t.recordFailure(now)
		}
	default:
		t.recordFailure(now)
	}
	t.busy--
	n.removeUnused()
}

func (t *referenceTarget) recordFailure(now time.Time) {
	t.failures++
	if t.ejectedUntil.IsZero() && (t.failures >= failuresToEject || t.ejections > 0) {
		length := initialEjection
		for range t.ejections {
			length = min(maxEjection, 2*length)
		}
		t.ejections++
		t.ejectedUntil = now.Add(length)
		t.trustedAt = t.ejectedUntil.Add(length)
	}
}

func drawTargets(t *rapid.T) []TargetSlots {
	var listed []TargetSlots
	for i := range 6 {
		if slots := rapid.IntRange(0, 4).Draw(t, "slots"); slots > 0 {
			listed = append(listed, TargetSlots{Name: fmt.Sprint("t", i), Slots: slots})
		}
	}
	return listed
}

func drawResult(t *rapid.T, now time.Time) Result {
	return rapid.SampledFrom([]Result{
		Succeeded{Took: time.Millisecond}, Succeeded{Took: time.Second}, Unused{}, NotSent{}, Rejected{}, Failed{},
		Lost{Until: now.Add(2 * time.Second)}, Lost{Until: now.Add(time.Second), Inconclusive: true},
	}).Draw(t, "result")
}

func TestTableAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		reference := &referenceTable{}
		now := time.Unix(1000, 0)
		var taken []string
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 20, 80}).Draw(t, "elapsed")) * 100 * time.Millisecond)
			switch rapid.SampledFrom([]string{"set", "leave", "pick", "pick", "pick", "finish", "finish", "finish"}).Draw(t, "step") {
			case "set":
				listed := drawTargets(t)
				table.Set(listed)
				reference.set(listed)
			case "leave":
				name := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
				table.SetLeaving(name)
				if target := reference.find(name); target != nil {
					target.leaving = true
				}
			case "pick":
				q := Query{AvoidProbation: rapid.Bool().Draw(t, "careful")}
				if rapid.Bool().Draw(t, "avoiding") {
					q.Avoid = []string{"t0", "t3"}
				}
				got, ok := table.Pick(now, q)
				want, wantOK := reference.pick(now, q)
				if got != want || ok != wantOK {
					t.Fatalf("picked %q; the reference model picked %q", got, want)
				}
				if ok {
					taken = append(taken, got)
				}
			case "finish":
				if len(taken) > 0 {
					at := rapid.IntRange(0, len(taken)-1).Draw(t, "taken")
					result := drawResult(t, now)
					table.Finish(now, taken[at], result)
					reference.finish(now, taken[at], result)
					taken = slices.Delete(taken, at, at+1)
				}
			}
			checkCounts(t, &table, reference)
		}
	})
}

func checkCounts(t *rapid.T, table *Table, reference *referenceTable) {
	slots, busy := 0, 0
	for _, target := range reference.targets {
		slots += target.slots
		busy += target.busy
	}
	gotSlots, gotBusy := table.Slots()
	if gotSlots != slots || gotBusy != busy {
		t.Fatalf("%d of %d slots are in use; the reference model has %d of %d", gotBusy, gotSlots, busy, slots)
	}
}

func TestFloorSlotsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "target")
		slots, seats := rapid.IntRange(0, 40).Draw(t, "slots"), rapid.IntRange(1, 9).Draw(t, "seats")
		total := 0
		for seat := range seats {
			floor := FloorSlots(name, slots, seat, seats)
			if floor < slots/seats || floor > slots/seats+1 {
				t.Fatalf("seat %d of %d has %d of %d slots", seat, seats, floor, slots)
			}
			total += floor
		}
		if total != slots {
			t.Fatalf("the seats have %d of %d slots", total, slots)
		}
	})
}

// TestFastFailureAttractsNoWork checks that a target that fails at once, and so always
// has free slots, does not get most of the requests.
func TestFastFailureAttractsNoWork(t *testing.T) {
	var table Table
	table.Set([]TargetSlots{{"good", 4}, {"fast", 4}})
	now := time.Unix(1000, 0)
	failed := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		name, ok := table.Pick(now, Query{})
		if !ok {
			continue
		}
		if name == "fast" {
			failed++
			table.Finish(now, name, Failed{})
		} else {
			table.Finish(now, name, Succeeded{Took: 10 * time.Millisecond})
		}
	}
	// Three failures eject the target. With ejections that double from 0.5 s, four
	// probes follow within 10 s: at 0.5, 1.5, 3.5 and 7.5 s.
	if failed > 7 {
		t.Errorf("the failing target got %d requests in 10 s, want at most 7", failed)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget RetryBudget
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		first, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retry") && budget.TakeRetry() {
				retries++
			} else {
				budget.AddFirstAttempt(ratio)
				first++
			}
			if float64(retries) > initialRetries+ratio*float64(first)+1e-6 {
				t.Fatalf("%d retries after %d first attempts with a ratio of %g", retries, first, ratio)
			}
		}
	})
}
