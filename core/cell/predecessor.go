package cell

import (
	"time"

	"tanagerstack.org/core/engine"
)

// predecessor bounds in time what the previous leader may still do.
type predecessor struct {
	// leasesUntil is when the leases that it granted have expired at the latest.
	leasesUntil time.Time
	// activeUntil is until when it may still start runs, of new jobs too; zero if it has ended.
	activeUntil time.Time
}

// predecessorOf returns the bounds for the previous leader of a takeover that began at an
// instant. ended means that its process is proved to have ended, or that it has stepped down.
// maxLease is the longest lease that workers grant.
func predecessorOf(began time.Time, ended bool, maxLease time.Duration) predecessor {
	lastCommand := began
	p := predecessor{}
	if !ended {
		// The last proof of its leadership is from before the takeover. Its clock may be slow too.
		p.activeUntil = began.Add(engine.LongestLease(leadershipTerm))
		lastCommand = p.activeUntil
	}
	// The previous leader granted leases of leaseTerm, but a worker that had just restarted without
	// its knowledge may hold the longest lease that workers accept. A relay may have held the command.
	p.leasesUntil = lastCommand.Add(maxCommandAge + engine.LongestLease(maxLease))
	return p
}
