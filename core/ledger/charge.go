package ledger

import (
	"fmt"
	"time"

	"tanagerstack.org/core/roster"
)

// Task names a task of a job.
type Task struct {
	Job   string
	Index int
}

// String returns the task's identifier, JOB/INDEX.
func (t Task) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// State says how much is known of a charge.
type State int

// The states of a charge.
const (
	// Reserved means that nothing was sent to the worker.
	Reserved State = iota
	// Unsettled means that a start was sent and its outcome is not known.
	Unconfirmed
	// Running means that the worker confirmed the start.
	Running
)

// Charge is a task that may be on a worker.
type Charge struct {
	Task Task
	// Team is the team that the task counts for.
	Team   string
	Amount roster.Resources
	State  State
	// LeaseDeadline is the latest deadline given to the task; zero while Reserved.
	LeaseDeadline time.Time
}

// Proof is the reason why a task is surely not on a worker.
type Proof interface{ proof() }

// NothingSent proves the end of a charge that is still Reserved.
type NothingSent struct{}

// WorkerReport proves it by the worker's own word.
type WorkerReport struct{}

// LeaseLapsed proves it by time: the lease deadline passed on every clock.
type LeaseExpired struct {
	Now  time.Time
	Skew time.Duration
}

func (NothingSent) proof()  {}
func (WorkerReport) proof() {}
func (LeaseExpired) proof() {}

// proves reports whether p is enough to release c.
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
