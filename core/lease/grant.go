package lease

import "time"

// Grant is the right to schedule the jobs of a failure domain until a deadline. The zero
// value grants nothing.
type Grant struct {
	Domain string
	// Epoch increases by one with each new holder.
	Epoch int64
	// Deadline is when the grant ends, by the clock of this VM.
	Deadline time.Time
	// MaxTaskDeadline is the latest deadline that previous holders may have given to a
	// task, as recorded when the lease was acquired.
	MaxTaskDeadline time.Time
	// PreviousHolders are holders that may still renew task leases while they are cut off
	// from the platform.
	PreviousHolders []PreviousHolder
}

// Valid reports whether the grant is still valid at now.
func (g Grant) Valid(now time.Time) bool {
	return g.Epoch > 0 && now.Before(g.Deadline)
}
