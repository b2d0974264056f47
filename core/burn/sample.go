package burn

import "time"

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	Completed Outcome = iota
	Refused
	Ambiguous
)

// Sample is one finished request.
type Sample struct {
	Caller  string
	Class   string
	Outcome Outcome
	// ArrivedAt is when the request reached the entry VM, StartedAt when it was
	// sent to its target (zero if it never was), EndedAt when the caller was answered.
	ArrivedAt time.Time
	StartedAt time.Time
	EndedAt   time.Time
	// NotAfter is the end of the request's window.
	NotAfter time.Time
	// BodyBytes is the size of the request's body; zero if it is not known.
	BodyBytes int64
}
