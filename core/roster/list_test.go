package roster

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPollTurnsLeaveNoGap checks that in each turn at least one of the live VMs polls the list,
// and that no VM waits longer than maxListPeriod plus one turn for its next poll.
func TestPollTurnsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.IntRange(1, 40).Draw(t, "live")
		start := time.Unix(0, rapid.Int64Range(1e18, 2e18).Draw(t, "start"))
		covered := make(map[int64]bool)
		for rank := range live {
			now := start
			for polls := 0; now.Before(start.Add(3 * maxListPeriod)); polls++ {
				wait := untilNextTurn(now, rank, live)
				if wait <= 0 || wait > maxListPeriod+listPeriod {
					t.Fatalf("rank %d of %d VMs waits %s for its next turn", rank, live, wait)
				}
				now = now.Add(wait)
				covered[now.UnixNano()/int64(listPeriod)] = true
			}
		}
		first := start.Add(maxListPeriod+listPeriod).UnixNano()/int64(listPeriod) + 1
		for turn := first; turn < start.Add(3*maxListPeriod).UnixNano()/int64(listPeriod); turn++ {
			if !covered[turn] {
				t.Fatalf("none of %d VMs polls in turn %d", live, turn)
			}
		}
	})
}
