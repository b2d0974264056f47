package cell

import (
	"time"
)

// predecessor bounds in time what the previous leader may still do.
type predecessor struct {
	// leasesUntil is when the leases that it granted have expired at the latest.
	leasesUntil time.Time
	// activeUntil is until when it may still learn of new jobs and start them; zero if it has
	// ended.
	activeUntil time.Time
}

// predecessorOf returns the bounds for the previous leader of a takeover that began at an
// instant. ended means that its process is proved to have ended, or that it has stepped down.
// maxLease is the longest lease that workers grant.
func predecessorOf(began time.Time, ended bool, maxLease time.Duration) predecessor {
	p := predecessor{leasesUntil: began.Add(longestLease(maxLease))}
	if !ended {
		p.leasesUntil = p.leasesUntil.Add(lateLeaseGrace)
		p.activeUntil = began.Add(predecessorOverlap)
	}
	return p
}

// longestLease returns how long runs that were granted a lease just now may go on, on a worker
// whose clock is 2% slow.
func longestLease(maxLease time.Duration) time.Duration { return min(maxLease, leaseTerm) * 102 / 100 }
