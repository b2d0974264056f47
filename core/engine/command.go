package engine

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/jobs"
)

// Command is something that the engine wants done. The types of this file
// implement it.
type Command interface{ command() }

// Target is where an order to a worker goes. Zone is the worker's failure domain.
type Destination struct {
	Worker  string
	Address netip.AddrPort
	Zone    string
}

// Start asks a worker to start a run.
type Start struct {
	Destination
	Task jobs.TaskID
	Run  int
	Spec jobs.Spec
	// Until is the lease that comes with it, a reading of the worker's clock.
	LeaseUntil time.Duration
	// Fence makes the worker drop orders of earlier leaders.
	Fence      int64
	Ticket     string
	Checkpoint string
}

// Stop asks a worker to end a run, or to never start it.
type Stop struct {
	Destination
	Task  jobs.TaskID
	Run   int
	Fence int64
}

// Ask asks the adviser, through a VM, which workers may run a step.
type AdviceRequest struct {
	Step    jobs.StepID
	Proxy   string
	Workers []string
	// Cost is how long the adviser takes to answer.
	Cost time.Duration
}

// Record asks to commit a job's progress. For a final job, Closed is to replace
// the stored job: nobody needs its steps anymore.
type Record struct {
	ID       ProgressID
	Progress jobs.Progress
	Closed   *jobs.Job
}

func (Start) command()         {}
func (Stop) command()          {}
func (AdviceRequest) command() {}
func (Record) command()        {}
