package jobs

import "strconv"

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// TaskID names a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the name as it stands in logs, JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the name as it stands in logs, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// State is what a caller is told of a job.
type State int

// The states of a job. Done, Failed and Canceled are final.
const (
	Queued State = iota
	Running
	Done
	Failed
	Canceled
)

// Final reports whether the state cannot change anymore.
func (s State) Final() bool { return s >= Done }

// String returns the state as it stands in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "done", "failed", "canceled"}[s]
}

// End is how a run ended.
type End int

// The ends of a run. Only EndDone makes a task done, and only EndFailed counts
// as an attempt.
const (
	EndUnknown End = iota
	EndDone
	// EndFailed is a failure of the task or of its worker.
	EndFailed
	// EndStopped follows an order to stop.
	EndStopped
	// EndLapsed means that the lease ran out.
	EndExpired
	// EndBroken means that another member of the gang ended.
	EndGangBroken
	// EndAlone means that other members of the gang did not come in time.
	EndGangIncomplete
)

// String returns the end as it stands in logs.
func (e End) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}
