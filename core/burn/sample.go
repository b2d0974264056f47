package burn

import "time"

// Outcome is the outcome of a request.
type Outcome int

// The outcomes of a request.
const (
	// Completed means that the target ran the request and its answer arrived.
	Completed Outcome = iota
	// Refused means that the request was not run.
	Refused
	// Ambiguous means that it is unknown whether the request was run.
	Ambiguous
)

// Sample is one finished request.
type Sample struct {
	Caller  string
	Class   string
	Outcome Outcome
	// ArrivedAt is when the request reached the entry VM. StartedAt is when it was sent
	// to its target; zero if it was not. EndedAt is when the caller got the answer.
	ArrivedAt time.Time
	StartedAt time.Time
	EndedAt   time.Time
	// NotAfter is the end of the request's window.
	NotAfter time.Time
	// BodyBytes is the size of the request body in bytes; zero if unknown.
	BodyBytes int64
}
