package jobs

import "strconv"

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// TaskID identifies a task of a step by its index.
type TaskID struct {
	StepID
	Index int
}

// String returns JOB.OCCURRENCE.STEP, the form used in logs.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns JOB.OCCURRENCE.STEP.INDEX, the form used in logs.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// State is the state of a job as reported to callers.
type State int

// States of a job. Done, Failed and Canceled are final.
const (
	Queued State = iota
	Running
	Done
	Failed
	Canceled
)

// Final reports whether the state is final.
func (s State) Final() bool { return s >= Done }

// String returns the state in the form used in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "done", "failed", "canceled"}[s]
}

// End is the way in which a run ended.
type End int

// Ways in which a run ends. Only EndDone makes the task done, and only EndFailed counts
// against the queue's limit of attempts.
const (
	EndUnknown End = iota
	EndDone
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that the run was stopped by a command.
	EndStopped
	// EndExpired means that the worker's lease expired.
	EndExpired
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that other members of the gang did not start in time.
	EndGangIncomplete
)

// String returns the end in the form used in logs.
func (e End) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}
