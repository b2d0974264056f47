package jobs

import (
	"time"

	"tanagerstack.org/core/roster"
)

// ID names a job. The caller chooses it.
type ID string

// Job is what a caller submitted.
type Job struct {
	ID    ID     `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  Spec   `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Arrived is when the caller's request came in, by the clock of the entry VM
	// that accepted it.
	ArrivedAt time.Time `cbor:"5,keyasint"`
	// Repeat is set for jobs whose steps run several times.
	Recurrence *Recurrence `cbor:"6,keyasint,omitempty"`
	// Refused marks the row of a job that was refused: no attempt from before
	// the row can be accepted anymore.
	Refused bool `cbor:"8,keyasint,omitempty"`
	// Closed is the final state of a job of which only that is kept.
	FinalState State `cbor:"9,keyasint,omitempty"`
}

// Repeat says when the occurrences of a recurring job are due.
type Recurrence struct {
	First    time.Time     `cbor:"1,keyasint"`
	Interval time.Duration `cbor:"2,keyasint"`
	Count    int           `cbor:"3,keyasint"`
}

// Step is a number of like tasks of a job.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// Each is what one task needs.
	PerTask roster.Resources `cbor:"2,keyasint"`
	// Estimate is the caller's guess of how long one task runs.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the steps, by index, whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack asks for all tasks on one rack: spread over several they take longer.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have, if not empty.
	RequiredLabel string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack where the step's data is, if not empty; tasks
	// elsewhere take longer.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// PerWorker bounds the tasks of the step on one worker, if above zero.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Checkpoints says that tasks save their progress.
	SavesCheckpoints bool `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service tasks run until the job is canceled and are restarted however they end.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Filler tasks use what the others leave: their processors are not counted
	// against a worker's capacity.
	Filler bool `cbor:"13,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"14,keyasint,omitempty"`
	// TailTarget is the latency objective of a service task's own users.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many service tasks of the step the system may make
	// unavailable at a time; negative where there is none.
	DisruptionBudget int `cbor:"16,keyasint"`
}

// Queue is where jobs of one kind are submitted, as an operator configured it.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Service names the workers that run the queue's tasks.
	Service string `cbor:"2,keyasint"`
	// Host and Prefix are where callers address the queue.
	Host   string `cbor:"-"`
	Prefix string `cbor:"-"`
	// Priority orders queues; 0 is the most urgent.
	Priority int `cbor:"3,keyasint"`
	// Attempts is how many runs of a task may fail before its job has failed.
	Attempts int `cbor:"4,keyasint"`
	// Stretch and Slack give the latency objective of a job: Stretch times its
	// longest chain of work, and Slack more.
	Stretch float64       `cbor:"5,keyasint"`
	Slack   time.Duration `cbor:"6,keyasint"`
	// Timeout bounds an answer to a caller of the queue.
	Timeout time.Duration `cbor:"-"`
	// Advice is set where an adviser decides which workers may run a step.
	Advice *AdviceSettings `cbor:"7,keyasint,omitempty"`
}

// Advice says what a question to the adviser costs and how long answers hold.
type AdviceSettings struct {
	// Decide and Each are the time for a question and for each worker in it.
	RequestTime   time.Duration `cbor:"1,keyasint"`
	PerWorkerTime time.Duration `cbor:"2,keyasint"`
	// Valid is how long a ticket holds.
	TicketValidity time.Duration `cbor:"3,keyasint"`
}

// Occurrences returns how often the job's steps run.
func (j *Job) Occurrences() int {
	if j.Recurrence == nil {
		return 1
	}
	return j.Recurrence.Count
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Recurrence == nil {
		return time.Time{}
	}
	return j.Recurrence.First.Add(time.Duration(occurrence) * j.Recurrence.Interval)
}

// Objective returns how long an occurrence may take, by the caller's estimates.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.CriticalPath())) + j.Queue.Slack
}

// Chain returns the longest chain of estimated work, over steps that wait for
// each other.
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
