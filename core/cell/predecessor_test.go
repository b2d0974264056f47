package cell

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestPreviousLeasesAreWaitedOut guards against starting a task again while a worker that this
// leader cannot reach still runs it. The worker restarted shortly before the takeover, so a poll by
// the clock of its earlier incarnation gave it the longest lease, by a clock that is 2% slow.
func TestPreviousLeasesAreWaitedOut(t *testing.T) {
	const longest = 10 * time.Second
	began := time.Now()
	cases := map[string]struct {
		ended bool
		// active is how long after the takeover the previous leader may send commands.
		active time.Duration
	}{
		"previous leader has ended":    {true, 0},
		"previous leader may be alive": {false, leadershipTerm},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			want := began.Add(c.active + maxCommandAge + longest*100/98)
			got := predecessorOf(began, c.ended, longest)
			if got.leasesUntil.Before(want) {
				t.Errorf("leases count as expired %s after the takeover, want at least %s", got.leasesUntil.Sub(began), want.Sub(began))
			}
			if active := got.activeUntil; !c.ended && active.Before(began.Add(c.active)) || c.ended && !active.IsZero() {
				t.Errorf("active until %s, want %s after the takeover", active, c.active)
			}
		})
	}
}

// TestRefusedConnectionProvesNoEnd guards against taking a leader that is cut off by a firewall, which
// refuses connections, for one that has ended and can start nothing anymore.
func TestRefusedConnectionProvesNoEnd(t *testing.T) {
	cases := map[string]struct {
		reply      helloReply
		err        error
		takesOver  bool
		provedDead bool
	}{
		"refuses":               {err: syscall.ECONNREFUSED, takesOver: true},
		"another process":       {reply: helloReply{Instance: "later"}, takesOver: true, provedDead: true},
		"same process, leading": {reply: helloReply{Instance: "holder", Leading: true}},
		"silent":                {err: context.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			e.row, e.version, e.known = leaderRow{Epoch: 1, Holder: "other", Instance: "holder"}, 1, true
			now := time.Now()
			e.changedAt, e.reachableSince, e.lastAnswerAt = now, now, now
			e.node.handleHelloReply(t.Context(), e.row, c.reply, c.err)
			if got := e.beginTakeover(now); got != c.takesOver || e.holderEnded != c.provedDead {
				t.Errorf("takes over: %v, end proved: %v; want %v, %v", got, e.holderEnded, c.takesOver, c.provedDead)
			}
		})
	}
}
