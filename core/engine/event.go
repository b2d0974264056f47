package engine

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// Worker is a worker's entry in the directory.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Rack names the worker's rack. Labels holds the worker's labels, including those of the
	// rack.
	Rack     string
	Labels   []string
	Capacity roster.Resources
	// EnforcesCapacity is set if the worker refuses runs that do not fit its capacity.
	EnforcesCapacity bool
	// Leaving is set if the worker accepts no new work.
	Leaving bool
	// LeavesIn is the minimum time until a leaving worker is gone, or zero if unknown.
	LeavesIn time.Duration
	// StartedAt distinguishes incarnations of the worker with the same ID.
	StartedAt time.Time
	// Clock is the reading of the worker's monotonic clock when it wrote the entry, or zero if unknown.
	Clock time.Duration
}

// Event is an external event that the engine handles. The types of this file implement it.
type Event interface{ event() }

// ConfigChanged carries a new configuration.
type ConfigChanged struct{ Config *jobs.Config }

// WorkersListed carries the complete directory. Workers that it lacks are gone.
type WorkersListed struct{ Workers []Worker }

// WorkerListed carries one entry of the directory. It was written after WrittenAfter, which is zero if
// that is not known.
type WorkerListed struct {
	Worker       Worker
	WrittenAfter time.Time
}

// DirectoryRead reports that all entries were delivered, and that each worker has written its entry
// after WrittenAfter, even if it stayed the same.
type DirectoryRead struct{ WrittenAfter time.Time }

// WorkerUnlisted reports that the directory no longer has an entry for a worker.
type WorkerUnlisted struct{ ID string }

// AdviceProxiesChanged carries the names of the entry VMs that can reach the adviser.
type AdviceProxiesChanged struct{ Names []string }

// JobAccepted carries a stored job with its stored progress.
type JobAccepted struct {
	Job      jobs.Job
	Progress jobs.Progress
	// Inherited is set if the job was accepted before this epoch, so that runs of it may exist.
	Inherited bool
}

// JobsRead reports that all jobs stored before the given time have been delivered.
type JobsRead struct{ Before time.Time }

// LeadershipConfirmed reports that there was no later leader at the time At, so that no other leader
// can have renewed a lease by then. The engine starts runs and grants leases until the time Until:
// the next leader waits for what may follow from that.
type LeadershipConfirmed struct{ At, Until time.Time }

// JobCanceled reports that the cancellation of a job is stored. It may arrive before the JobAccepted of
// the job: messages of different VMs overtake each other.
type JobCanceled struct{ ID jobs.ID }

// WorkerPolled carries a worker's report. Sent is the time at which the poll was sent: the report
// may lack the effects of commands that were unanswered at that time. Fence is the fencing token
// of the poll.
type WorkerPolled struct {
	Worker string
	Sent   time.Time
	Fence  int64
	Report Report
}

// PollFailed reports that a poll returned no report.
type PollFailed struct {
	Worker string
	// Superseded is set if the worker has seen a higher fencing token than that of the poll.
	Superseded bool
	Fence      int64
}

// StartAnswered carries the outcome of a Start.
type StartAnswered struct {
	Worker  string
	Task    jobs.TaskID
	Run     int
	Outcome StartOutcome
	// Repeated is set if the command was sent twice and the first copy may still arrive. That
	// copy has no effect if the worker has or had the run.
	Repeated bool
}

// StopAnswered reports whether the worker confirmed a Stop.
type StopAnswered struct {
	Worker    string
	Task      jobs.TaskID
	Run       int
	Confirmed bool
}

// AdviceAnswered carries the answer to an AdviceRequest.
type AdviceAnswered struct {
	Step    jobs.StepID
	Proxy   string
	Workers []string
	Tickets []Ticket
	Valid   time.Duration
	// Cost is the time that the adviser needs to answer, Elapsed the time until the answer
	// arrived.
	Cost, Elapsed time.Duration
	// Failed is set if there is no answer, Overloaded if the adviser refused the request.
	Failed     bool
	Overloaded bool
}

// Recorded reports which revisions of jobs' progress are committed.
type Recorded struct{ IDs []ProgressID }

// RecordRejected reports that the store does not accept a revision of a job's progress.
type RecordRejected struct{ ID ProgressID }

// ProgressID identifies a revision of a job's progress.
type ProgressID struct {
	Job      jobs.ID
	Revision int
}

// Tick reports that time has passed.
type Tick struct{}

func (ConfigChanged) event()        {}
func (WorkersListed) event()        {}
func (WorkerListed) event()         {}
func (WorkerUnlisted) event()       {}
func (AdviceProxiesChanged) event() {}
func (JobAccepted) event()          {}
func (JobsRead) event()             {}
func (LeadershipConfirmed) event()  {}
func (DirectoryRead) event()        {}
func (JobCanceled) event()          {}
func (WorkerPolled) event()         {}
func (PollFailed) event()           {}
func (StartAnswered) event()        {}
func (StopAnswered) event()         {}
func (AdviceAnswered) event()       {}
func (Recorded) event()             {}
func (RecordRejected) event()       {}
func (Tick) event()                 {}

// Report is a worker's answer to a poll.
type Report struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock     time.Duration
	StartedAt time.Time
	// Running holds all runs in progress. Results holds the results that were not acknowledged to
	// the worker, at most MaxResults of them.
	Running []ActiveRun
	Results []RunResult
	// Unclear holds the tasks of rows that name a task but cannot be decoded further. Runs of these
	// tasks may be running or may have ended. Skipped is the number of rows that were left out,
	// these and those that name no task.
	Unclear []jobs.TaskID
	Skipped int
}

// maxClock is the highest reading of a worker's clock that the arithmetic of leases is safe with.
const maxClock = 100 * 365 * 24 * time.Hour

// plausible reports whether the clock has a reading that a worker can have.
func (r *Report) plausible() bool { return r.Clock >= 0 && r.Clock <= maxClock }

// MaxResults is the maximum number of results in a report.
const MaxResults = 500

// ActiveRun is a run in progress in a Report.
type ActiveRun struct {
	Task jobs.TaskID
	Run  int
	// Checkpoint identifies the last saved state. It is empty if there is none.
	Checkpoint string
	// Percent is the share of the work that is done or, for service tasks, the current
	// utilization.
	Percent int
}

// RunResult reports how a run ended. Sequence rises with each result of a worker's incarnation.
type RunResult struct {
	Sequence   int64
	Task       jobs.TaskID
	Run        int
	End        jobs.End
	Checkpoint string
}

// Ticket permits tasks of a step to run on a worker.
type Ticket struct {
	Worker string
	Value  string
}

// StartOutcome is the result of a Start command.
type StartOutcome int

// The outcomes of a Start. Only StartUnknown leaves open whether the run exists.
const (
	// StartUnknown means that there was no answer.
	StartUnknown StartOutcome = iota
	StartAccepted
	// StartFenced means that the worker has seen a higher fencing token.
	StartFenced
	// StartAlreadyEnded means that this run, or a later one of the task, has already ended there.
	StartAlreadyEnded
	// StartLeaseExpired means that the lease in the command had expired.
	StartLeaseExpired
	// StartNoCapacity means that the run does not fit into the free capacity.
	StartNoCapacity
	// StartInvalidTicket means that the worker did not accept the ticket.
	StartInvalidTicket
	// StartUnhealthy means that the worker accepts no work at the moment.
	StartUnhealthy
	// StartOtherIncarnation means that another incarnation of the worker answered.
	StartOtherIncarnation
	// StartInvalid means that the worker could not interpret the command.
	StartInvalid
	// StartUnsent means that the command was never sent, for a reason unrelated to the worker.
	StartUnsent
)

// String returns the outcome as written in logs.
func (o StartOutcome) String() string {
	names := [...]string{
		"unknown", "accepted", "fenced", "old", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid", "unsent",
	}
	if o < 0 || int(o) >= len(names) {
		return "undefined"
	}
	return names[o]
}
