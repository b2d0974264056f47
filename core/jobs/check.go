package jobs

import (
	"errors"
	"fmt"
)

// ErrInvalid means that a job can never run as it was submitted.
var ErrInvalid = errors.New("invalid job")

// The limits of a job.
const (
	// MaxSpecBytes is the longest spec, as the callers' interface states it.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks keep one job from taking all of a scheduler's memory.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxOccurrences bounds recurring jobs for the same reason.
	MaxOccurrences = 10_000
)

// Check returns what is wrong with the job, or nil. The error wraps ErrInvalid.
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
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, more than %d", ErrInvalid, tasks, MaxTasks)
	}
	return j.checkRepeat()
}

func (j *Job) checkRepeat() error {
	if j.Recurrence == nil {
		return nil
	}
	if j.Recurrence.Count < 1 || j.Recurrence.Count > MaxOccurrences || j.Recurrence.Interval < 0 {
		return fmt.Errorf("%w: %d occurrences each %s", ErrInvalid, j.Recurrence.Count, j.Recurrence.Interval)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, index, s.Count)
	}
	if s.PerTask.Millicores < 0 || s.PerTask.MemoryBytes < 0 || s.PerTask.Accelerators < 0 || s.Estimate < 0 {
		return fmt.Errorf("%w: step %d asks for less than nothing", ErrInvalid, index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("%w: step %d comes after step %d, which is not an earlier one", ErrInvalid, index, before)
		}
	}
	return nil
}
