package engine

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// Worker is what a worker says of itself in the directory.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Rack is the rack it stands in, Labels are its labels, the rack's included.
	Rack     string
	Labels   []string
	Capacity roster.Resources
	// EnforcesCapacity says that it refuses what does not fit.
	EnforcesCapacity bool
	// Leaving says that it takes no new work.
	Leaving bool
	// LeavesIn is the least time a leaving worker has left, where it says so.
	LeavesIn time.Duration
	// Born tells the lives of a worker with the same ID apart.
	StartedAt time.Time
}

// Event is something that happened outside. The types of this file implement it.
type Event interface{ event() }

// ConfigChanged brings a newer configuration.
type ConfigChanged struct{ Config *jobs.Config }

// WorkersListed brings the whole directory: workers that it lacks are gone.
type WorkersListed struct{ Workers []Worker }

// WorkerListed brings one entry of the directory.
type WorkerListed struct{ Worker Worker }

// WorkerUnlisted says that the directory has no entry for a worker anymore.
type WorkerUnlisted struct{ ID string }

// HelpersChanged brings the names of the entry VMs that can ask the adviser.
type AdviceProxiesChanged struct{ Names []string }

// JobAccepted brings a job that is stored, with the progress stored for it.
type JobAccepted struct {
	Job      jobs.Job
	Progress jobs.Progress
	// Inherited jobs were accepted before this epoch, so runs of them may exist.
	Inherited bool
}

// JobsRead says that all jobs that were stored before an instant have been brought.
type JobsRead struct{ Before time.Time }

// JobCanceled says that a job's cancellation is stored.
type JobCanceled struct{ ID jobs.ID }

// Looked brings a worker's report. Sent is when the look was sent: the report
// says nothing about what changed before that instant and was not answered yet.
type WorkerPolled struct {
	Worker string
	Sent   time.Time
	Report Report
}

// LookFailed says that a look got no report.
type PollFailed struct {
	Worker string
	// Superseded says that the worker has seen a higher fence than that of the look.
	Superseded bool
	Fence      int64
}

// StartAnswered brings the outcome of a Start.
type StartAnswered struct {
	Worker  string
	Task    jobs.TaskID
	Run     int
	Outcome StartOutcome
	// Repeated says that the order was sent twice, and that the first may still
	// arrive: it does nothing where the run is, or was.
	Repeated bool
}

// StopAnswered says whether the worker confirmed a Stop.
type StopAnswered struct {
	Worker    string
	Task      jobs.TaskID
	Run       int
	Confirmed bool
}

// AdviceAnswered brings the answer to an Ask.
type AdviceAnswered struct {
	Step    jobs.StepID
	Proxy   string
	Workers []string
	Tickets []Ticket
	Valid   time.Duration
	// Cost is what the adviser needed, Took how long the answer was under way.
	Cost, Elapsed time.Duration
	// Failed says that there is no answer; Overloaded that the adviser refused.
	Failed     bool
	Overloaded bool
}

// Recorded says that the progress of jobs is committed up to a revision.
type Recorded struct{ IDs []ProgressID }

// RecordMark names a revision of a job's progress.
type ProgressID struct {
	Job      jobs.ID
	Revision int
}

// Tick lets time pass.
type Tick struct{}

func (ConfigChanged) event()        {}
func (WorkersListed) event()        {}
func (WorkerListed) event()         {}
func (WorkerUnlisted) event()       {}
func (AdviceProxiesChanged) event() {}
func (JobAccepted) event()          {}
func (JobsRead) event()             {}
func (JobCanceled) event()          {}
func (WorkerPolled) event()         {}
func (PollFailed) event()           {}
func (StartAnswered) event()        {}
func (StopAnswered) event()         {}
func (AdviceAnswered) event()       {}
func (Recorded) event()             {}
func (Tick) event()                 {}

// Report is a worker's answer to a look.
type Report struct {
	// Clock is the reading of the worker's steady clock.
	Clock     time.Duration
	StartedAt time.Time
	// Running lists all that runs; Ended the ends that were not confirmed to it,
	// MaxEnds of them at most.
	Running []ActiveRun
	Results []RunResult
}

// MaxEnds is the most ends that a worker lists at once.
const MaxResults = 500

// Running is a run in a Report.
type ActiveRun struct {
	Task jobs.TaskID
	Run  int
	// Checkpoint is the last saved state, or empty.
	Checkpoint string
	// Percent is how much of the work is done or, for service tasks, at work.
	Percent int
}

// Ended is the end of a run in a Report. Sequence rises with each end of a life.
type RunResult struct {
	Sequence   int64
	Task       jobs.TaskID
	Run        int
	End        jobs.End
	Checkpoint string
}

// Ticket allows the tasks of a step on a worker.
type Ticket struct {
	Worker string
	Value  string
}

// StartOutcome is what became of a Start.
type StartOutcome int

// The outcomes of a Start. Only StartUnknown leaves open whether it runs.
const (
	// StartUnknown means that there was no answer.
	StartUnknown StartOutcome = iota
	StartAccepted
	// StartFenced means that the worker has seen a later epoch.
	StartFenced
	// StartOld means that the worker knows this run, or a later one, as ended.
	StartAlreadyEnded
	// StartLate means that the lease in the order had run out.
	StartLeaseExpired
	// StartNoRoom means that it does not fit.
	StartNoCapacity
	// StartNoTicket means that the ticket does not hold.
	StartInvalidTicket
	// StartUnhealthy means that the worker takes no work now.
	StartUnhealthy
	// StartOtherLife means that another life of the worker answered.
	StartOtherIncarnation
	// StartInvalid means that the worker could not make sense of the order.
	StartInvalid
	// StartUnsent means that the order never left for the worker, through no fault
	// of the worker.
	StartUnsent
)

// String returns the outcome as it stands in logs.
func (o StartOutcome) String() string {
	names := [...]string{
		"unknown", "accepted", "fenced", "old", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid", "unsent",
	}
	if o < 0 || int(o) >= len(names) {
		return "undefined"
	}
	return names[o]
}
