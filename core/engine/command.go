package engine

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/jobs"
)

// Command is an action that the engine requests. The types of this file implement it.
type Command interface{ command() }

// Destination is the worker that a command is sent to. Zone is the worker's failure domain.
type Destination struct {
	Worker  string
	Address netip.AddrPort
	Zone    string
}

// Start tells a worker to start a run.
type Start struct {
	Destination
	Task jobs.TaskID
	Run  int
	Spec jobs.Spec
	// LeaseUntil is the lease that the command grants, as a reading of the worker's clock.
	LeaseUntil time.Duration
	// Fence is a fencing token, by which the worker drops commands of earlier leaders.
	Fence      int64
	Ticket     string
	Checkpoint string
}

// Stop tells a worker to end a run, or never to start it.
type Stop struct {
	Destination
	Task  jobs.TaskID
	Run   int
	Fence int64
}

// AdviceRequest asks the adviser, through a proxy VM, which workers may run a step.
type AdviceRequest struct {
	Step    jobs.StepID
	Proxy   string
	Workers []string
	// Cost is the time that the adviser needs to answer.
	Cost time.Duration
}

// Record requests a commit of a job's progress. For a job with a final state, Closed replaces the
// stored job, since its steps are no longer needed.
type Record struct {
	ID       ProgressID
	Progress jobs.Progress
	Closed   *jobs.Job
}

func (Start) command()         {}
func (Stop) command()          {}
func (AdviceRequest) command() {}
func (Record) command()        {}
