package roster_test

import (
	"fmt"
	"time"

	"tanagerstack.org/core/roster"
)

// A VM checks in its view whether it may use the slots of its seat now. The seat of a
// view expires by itself, so a VM that was paused does not act on an old view.
func ExampleView_OwnSeat() {
	now := time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC)
	view := roster.View{Seat: 2, SeatUsableAt: now, SeatExpiresAt: now.Add(roster.PauseLimit)}
	for _, wait := range []time.Duration{-time.Second, time.Second, time.Minute} {
		seat, usable := view.OwnSeat(now.Add(wait))
		fmt.Println(seat, usable)
	}
	// Output:
	// 2 false
	// 2 true
	// 2 false
}
