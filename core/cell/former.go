package cell

import (
	"time"
)

// predecessor is what the leader before may still do.
type predecessor struct {
	// leasedUntil is when the leases that it gave have lapsed.
	leasedUntil time.Time
	// heardUntil is until when it may hear of new jobs; zero if it is gone.
	heardUntil time.Time
}

// predecessorOf returns what the leader before may still do after a takeover
// began; gone says that its process is proved to have ended, or has stepped down.
func predecessorOf(began time.Time, gone bool, most time.Duration) predecessor {
	p := predecessor{leasedUntil: began.Add(longestLease(most))}
	if !gone {
		p.leasedUntil = p.leasedUntil.Add(lateOrders)
		p.heardUntil = began.Add(overlap)
	}
	return p
}

// longestLease is how long runs may go on that were given a lease just now, by a
// worker's clock that is 2% slow.
func longestLease(most time.Duration) time.Duration { return min(most, leaseTerm) * 102 / 100 }
