package jobs

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid is wrapped by all errors that reject a job because of its contents. The same
// submission is never accepted.
var ErrInvalid = errors.New("invalid job")

// Limits of a single job.
const (
	// MaxSpecBytes is the maximum length of the spec's text, as documented in the callers' API.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks keep one job from exhausting the scheduler's memory.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxOccurrences limits recurring jobs for the same reason.
	MaxOccurrences = 10_000
)

// Limits of times. Sums over all steps of a job, and times of all its occurrences, do not overflow.
const (
	// MaxTaskTime limits the estimate and the tail latency target of a task.
	MaxTaskTime = 365 * 24 * time.Hour
	// MaxSchedule limits the time from the first occurrence to the last.
	MaxSchedule = 100 * MaxTaskTime
	// MaxObjective limits a latency objective.
	MaxObjective = 10 * MaxTaskTime
)

// Validate returns the first violated rule or limit, or nil if the job is valid. The error
// wraps ErrInvalid. Its text is part of the answer to callers, so its wording must not change.
func (j *Job) Validate() error {
	switch {
	case j.Spec.Size() > MaxSpecBytes:
		return fmt.Errorf("%w: the spec has %d bytes, more than %d", ErrInvalid, j.Spec.Size(), MaxSpecBytes)
	case len(j.Steps) == 0:
		return fmt.Errorf("%w: no steps", ErrInvalid)
	case len(j.Steps) > MaxSteps:
		return fmt.Errorf("%w: %d steps, more than %d", ErrInvalid, len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		if tasks += min(j.Steps[i].Count, MaxTasks+1); tasks > MaxTasks {
			break
		}
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, more than %d", ErrInvalid, tasks, MaxTasks)
	}
	return j.validateRecurrence()
}

func (j *Job) validateRecurrence() error {
	if j.Recurrence == nil {
		return nil
	}
	if j.Recurrence.Count < 1 || j.Recurrence.Count > MaxOccurrences || j.Recurrence.Interval < 0 {
		return fmt.Errorf("%w: %d occurrences each %s", ErrInvalid, j.Recurrence.Count, j.Recurrence.Interval)
	}
	if j.Recurrence.Interval > MaxSchedule/time.Duration(j.Recurrence.Count) {
		return fmt.Errorf("%w: %d occurrences each %s take longer than %s", ErrInvalid, j.Recurrence.Count, j.Recurrence.Interval, MaxSchedule)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, index, s.Count)
	}
	if s.PerTask.Millicores < 0 || s.PerTask.MemoryBytes < 0 || s.PerTask.Accelerators < 0 || s.Estimate < 0 {
		return fmt.Errorf("%w: step %d asks for less than nothing", ErrInvalid, index)
	}
	if err := s.PerTask.Validate(); err != nil {
		return fmt.Errorf("%w: step %d asks for %w", ErrInvalid, index, err)
	}
	if s.Estimate > MaxTaskTime || s.TailLatencyTarget < 0 || s.TailLatencyTarget > MaxTaskTime || s.MaxPerWorker < 0 {
		return fmt.Errorf("%w: step %d has estimate %s, latency target %s and at most %d tasks on a worker; want none below 0 or above %s",
			ErrInvalid, index, s.Estimate, s.TailLatencyTarget, s.MaxPerWorker, MaxTaskTime)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("%w: step %d comes after step %d, which is not an earlier one", ErrInvalid, index, before)
		}
	}
	return nil
}
