package route

import "time"

// Result is the outcome of one attempt to run a request on a target: Succeeded, Unused,
// NotSent, Rejected, Failed or Lost.
type Result interface{ result() }

// Succeeded means that the complete answer arrived after Took.
type Succeeded struct{ Took time.Duration }

// Unused means that the slot was released without sending the request to the target.
type Unused struct{}

// NotSent means that no byte of the request reached the target.
type NotSent struct{}

// Rejected means that the target answered that it has not run the request.
type Rejected struct{}

// Failed means that the target answered, but not with a complete and valid answer.
type Failed struct{}

// Lost means that no answer arrived and that the request may still be running.
type Lost struct {
	// Until is when the request can no longer be running.
	Until time.Time
	// Inconclusive means that the attempt had too little time for its failure to count
	// against the target.
	Inconclusive bool
}

func (Succeeded) result() {}
func (Unused) result()    {}
func (NotSent) result()   {}
func (Rejected) result()  {}
func (Failed) result()    {}
func (Lost) result()      {}
