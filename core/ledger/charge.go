package ledger

import (
	"fmt"
	"time"

	"tanagerstack.org/core/roster"
)

// Task identifies a task of a job.
type Task struct {
	Job   string
	Index int
}

// String returns the task's identifier, JOB/INDEX.
func (t Task) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// State is the state of a charge.
type State int

// The states of a charge.
const (
	// Reserved means that nothing was sent to the worker.
	Reserved State = iota
	// Unconfirmed means that a start was sent and its outcome is not known.
	Unconfirmed
	// Running means that the worker confirmed the start.
	Running
)

// Charge is the capacity that a task occupies on a worker where it may run.
type Charge struct {
	Task Task
	// Team is the team whose quota the task counts against.
	Team   string
	Amount roster.Resources
	State  State
	// LeaseDeadline is the latest lease deadline given to the task. It is zero while Reserved.
	LeaseDeadline time.Time
}

// Proof is evidence that a task is not on a worker.
type Proof interface{ proof() }

// NothingSent is proof for a charge that is still Reserved.
type NothingSent struct{}

// WorkerReport is proof by a report of the worker.
type WorkerReport struct{}

// LeaseExpired is proof by time: the lease deadline has passed on every clock. Skew is the
// maximum difference between two clocks.
type LeaseExpired struct {
	Now  time.Time
	Skew time.Duration
}

func (NothingSent) proof()  {}
func (WorkerReport) proof() {}
func (LeaseExpired) proof() {}

// proves reports whether p is sufficient to release c.
func proves(p Proof, c Charge) bool {
	switch p := p.(type) {
	case NothingSent:
		return c.State == Reserved
	case WorkerReport:
		return true
	case LeaseExpired:
		return c.State != Reserved && p.Now.After(c.LeaseDeadline.Add(p.Skew))
	default:
		return false
	}
}
