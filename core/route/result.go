package route

import "time"

// Result is how an attempt at a target ended.
type Result interface{ result() }

// Succeeded means that the whole answer arrived after Took.
type Succeeded struct{ Took time.Duration }

// Unused means that the slot was given back without contacting the target.
type Unused struct{}

// NotSent means that no byte of the request reached the target.
type NotSent struct{}

// Rejected means that the target answered that it did not run the request.
type Rejected struct{}

// Failed means that the target answered, but not with a whole good answer.
type Failed struct{}

// Lost means that the request may still run until an instant.
type Lost struct {
	Until time.Time
	// Hurried is whether the attempt had so little time that its end says nothing
	// about the target.
	Inconclusive bool
}

func (Succeeded) result() {}
func (Unused) result()    {}
func (NotSent) result()   {}
func (Rejected) result()  {}
func (Failed) result()    {}
func (Lost) result()      {}
