package jobs

import (
	"time"

	"tanagerstack.org/core/roster"
)

// ID identifies a job. The caller chooses it.
type ID string

// Job is a job as submitted by a caller.
type Job struct {
	ID    ID     `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  Spec   `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// ArrivedAt is when the request arrived, by the clock of the entry VM that accepted it.
	ArrivedAt time.Time `cbor:"5,keyasint"`
	// Recurrence is nil unless the job is a recurring one.
	Recurrence *Recurrence `cbor:"6,keyasint,omitempty"`
	// Refused marks the row as the tombstone of a refused submission: writes of the job that
	// were sent before it can no longer succeed. A later submission may replace the tombstone.
	Refused bool `cbor:"8,keyasint,omitempty"`
	// FinalState is set in the short row that replaces a finished job; such a row keeps
	// nothing of the job's steps or spec. It is Queued (zero) before.
	FinalState State `cbor:"9,keyasint,omitempty"`
	// Organization is the name of the organization whose key submitted the job. It is empty for a
	// job of a public queue, and in a cell without organizations.
	Organization string `cbor:"10,keyasint,omitempty"`
	// Withdrawn marks the row as the tombstone of a job that was canceled before it was stored: writes of
	// the job that were sent before can no longer succeed. A later submission is stored as canceled.
	Withdrawn bool `cbor:"11,keyasint,omitempty"`
}

// Closed returns what remains in the store of the job once it has a final state.
func (j *Job) Closed(state State) Job {
	return Job{ID: j.ID, Queue: Queue{Name: j.Queue.Name}, ArrivedAt: j.ArrivedAt, FinalState: state, Organization: j.Organization}
}

// Recurrence is the schedule of a recurring job: Count occurrences, the first due at First
// and the others at intervals of Interval.
type Recurrence struct {
	First    time.Time     `cbor:"1,keyasint"`
	Interval time.Duration `cbor:"2,keyasint"`
	Count    int           `cbor:"3,keyasint"`
}

// Step is a number of identical tasks of a job.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// PerTask is the resource request of one task.
	PerTask roster.Resources `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps whose tasks must all be done before this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all of them run at the same time.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack prefers a placement of all tasks in one rack; tasks spread over several racks
	// take longer.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means any worker.
	RequiredLabel string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the step's data; tasks in other racks take longer.
	// Empty means no preference.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; zero means no limit.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// SavesCheckpoints is set if tasks save checkpoints from which a later run resumes.
	SavesCheckpoints bool `cbor:"10,keyasint,omitempty"`
	// Speculative is set if several runs of the same task may execute at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service is set for long-running tasks, which run until the job is canceled and are
	// restarted however they end.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Filler is set for tasks that run on otherwise idle processors; their processor request
	// is not counted against a worker's capacity.
	Filler bool `cbor:"13,keyasint,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget is the objective for the tail latency of requests that a service task
	// answers for its own users.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many service tasks of the step the system may make unavailable
	// at the same time; negative means no limit.
	DisruptionBudget int `cbor:"16,keyasint"`
}

// Queue is the operators' configuration of a queue, to which callers submit jobs of one kind.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Service selects the workers that run the queue's tasks.
	Service string `cbor:"2,keyasint"`
	// Host and Prefix are the HTTP host and the path prefix under which callers reach the queue.
	Host   string `cbor:"-"`
	Prefix string `cbor:"-"`
	// Priority ranks the queue; 0 is the most urgent.
	Priority int `cbor:"3,keyasint"`
	// Attempts is the number of failed runs of one task after which the job fails. Values below
	// 1 count as 1.
	Attempts int `cbor:"4,keyasint"`
	// Stretch and Slack define the latency objective of a job: Stretch times its critical
	// path, plus Slack.
	Stretch float64       `cbor:"5,keyasint"`
	Slack   time.Duration `cbor:"6,keyasint"`
	// Timeout limits the time to answer a request to the queue.
	Timeout time.Duration `cbor:"-"`
	// Public is set if requests to the queue need no key.
	Public bool `cbor:"-"`
	// Advice is set if an adviser decides which workers may run the tasks of a step.
	Advice *AdviceSettings `cbor:"7,keyasint,omitempty"`
}

// AdviceSettings describes the cost of requests to the adviser and the validity of its
// tickets.
type AdviceSettings struct {
	// RequestTime is the adviser's fixed time for a request, and PerWorkerTime its additional
	// time for each worker in it.
	RequestTime   time.Duration `cbor:"1,keyasint"`
	PerWorkerTime time.Duration `cbor:"2,keyasint"`
	// TicketValidity is how long a ticket is valid.
	TicketValidity time.Duration `cbor:"3,keyasint"`
}

// Occurrences returns how many times the job's steps run; 1 if the job does not recur.
func (j *Job) Occurrences() int {
	if j.Recurrence == nil {
		return 1
	}
	return j.Recurrence.Count
}

// Due returns the earliest start of an occurrence, or the zero time if the job does not
// recur.
func (j *Job) Due(occurrence int) time.Time {
	if j.Recurrence == nil {
		return time.Time{}
	}
	return j.Recurrence.First.Add(time.Duration(occurrence) * j.Recurrence.Interval)
}

// Objective returns the latency objective of one occurrence, computed from the caller's
// estimates.
func (j *Job) Objective() time.Duration { return j.Queue.Objective(j.CriticalPath()) }

// WorthlessFactor is the number of objectives after which completing a job has no value: users
// count completions up to three times the objective as late.
const WorthlessFactor = 3

// RiskMargin is the fraction of its predicted remaining time that a job must have to spare to be
// likely to end in time. Of the slot holds of the load large scale-1, which ran for a second, 0.8
// ended in time if they started 1.3 s before their deadline, and 0.3 if they started 0.8 s before it.
const RiskMargin = 0.3

// Objective returns the latency objective of a job with the given critical path, at most
// MaxObjective.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	stretched := q.Stretch * float64(criticalPath)
	if !(stretched < float64(MaxObjective)) {
		return MaxObjective
	}
	// The sum is one of integers: processors that fuse multiplication and addition round it otherwise.
	objective := time.Duration(max(stretched, -float64(MaxObjective))) + min(max(q.Slack, -MaxObjective), MaxObjective)
	return min(max(objective, 0), MaxObjective)
}

// CriticalPath returns the total estimate along the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		var begin time.Duration
		for _, before := range step.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
