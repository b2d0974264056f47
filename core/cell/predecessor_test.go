package cell

import (
	"testing"
	"time"
)

// TestPreviousLeasesAreWaitedOut guards against starting a task again while a worker that this
// leader cannot reach still runs it. The worker restarted shortly before the takeover, so a poll by
// the clock of its earlier incarnation gave it the longest lease, by a clock that is 2% slow.
func TestPreviousLeasesAreWaitedOut(t *testing.T) {
	const longest = 10 * time.Second
	began := time.Now()
	want := began.Add(longest * 100 / 98)
	for name, ended := range map[string]bool{"previous leader has ended": true, "previous leader may be alive": false} {
		t.Run(name, func(t *testing.T) {
			if got := predecessorOf(began, ended, longest).leasesUntil; got.Before(want) {
				t.Errorf("leases count as expired %s after the takeover, want at least %s", got.Sub(began), want.Sub(began))
			}
		})
	}
}
