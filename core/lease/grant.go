package lease

import "time"

// Grant is the right to schedule a failure domain until a deadline.
type Grant struct {
	Domain string
	// Epoch grows by one with each new holder.
	Epoch int64
	// Deadline ends the grant, by the clock of this VM.
	Deadline time.Time
	// TasksUntil is the latest deadline that earlier holders may have given to a
	// task, as recorded when the lease was taken.
	MaxTaskDeadline time.Time
	// Former are earlier holders that may still renew tasks while cut off.
	PreviousHolders []PreviousHolder
}

// Valid reports whether the grant still holds at now.
func (g Grant) Valid(now time.Time) bool {
	return g.Epoch > 0 && now.Before(g.Deadline)
}
