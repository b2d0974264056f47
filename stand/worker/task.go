package worker

import (
	"strings"
	"time"

	api "tanagerstack.org/core/api/worker"
)

// task is a task that is running on an agent or has ended there.
type task struct {
	state   api.TaskState
	command Command
	// workDone is the work done until workUpdatedAt, as time at full speed.
	workDone      time.Duration
	workUpdatedAt time.Time
	// speed is the current speed as a fraction of full speed.
	speed float64
	// throttle is the processor limit in millicores. Zero means no limit.
	throttle int64
}

// checkpointPrefix starts a checkpoint. The work done follows as a duration.
const checkpointPrefix = "done="

func newTask(start *api.TaskStart, now time.Time) *task {
	t := &task{
		state: api.TaskState{
			TaskID: start.TaskID, Attempt: start.Attempt, Phase: api.TaskStatePhaseRunning,
			Resources: start.Resources, LeaseDeadline: start.LeaseDeadline, StartedAt: now,
		},
		command:       ParseCommand(start.Command),
		workUpdatedAt: now,
		speed:         1,
	}
	if text, found := strings.CutPrefix(start.Checkpoint.Or(""), checkpointPrefix); found {
		t.workDone, _ = time.ParseDuration(text)
	}
	return t
}

func (t *task) running() bool { return t.state.Phase == api.TaskStatePhaseRunning }

// completionTime returns when the work is done at the current speed, or the zero time if the task runs
// indefinitely.
func (t *task) completionTime() time.Time {
	if t.command.RunFor == 0 {
		return time.Time{}
	}
	left := max(t.command.RunFor-t.workDone, 0)
	return t.workUpdatedAt.Add(time.Duration(float64(left) / t.speed))
}

// endTime returns when the task ends unless its lease or speed changes: on completion, or at the lease
// deadline if that is earlier.
func (t *task) endTime() time.Time {
	finish := t.completionTime()
	if !finish.IsZero() && finish.Before(t.state.LeaseDeadline) {
		return finish
	}
	return t.state.LeaseDeadline
}

// advance updates the task to time now and reports whether it is still running.
func (t *task) advance(now time.Time) bool {
	if !t.running() {
		return false
	}
	end := t.endTime()
	if now.Before(end) {
		t.accrueWork(now)
		return true
	}
	t.accrueWork(end)
	if finish := t.completionTime(); finish.IsZero() || finish.After(t.state.LeaseDeadline) {
		t.end(api.TaskStatePhaseLapsed, end, "the lease lapsed")
		return false
	}
	if t.command.Fail {
		t.end(api.TaskStatePhaseFailed, end, "the command failed")
		return false
	}
	t.end(api.TaskStatePhaseSucceeded, end, "")
	return false
}

// accrueWork adds the work done since workUpdatedAt.
func (t *task) accrueWork(now time.Time) {
	t.workDone += time.Duration(float64(now.Sub(t.workUpdatedAt)) * t.speed)
	t.workUpdatedAt = now
}

// setThrottle limits the task to the given millicores from now on. Zero removes the limit.
func (t *task) setThrottle(millicores int64) {
	t.throttle = millicores
	wanted := t.command.usage(t.state.Resources).Millicores
	t.speed = 1
	if millicores > 0 && millicores < wanted {
		t.speed = float64(millicores) / float64(wanted)
	}
}

func (t *task) stop(now time.Time, checkpoint bool) {
	if checkpoint {
		t.state.Checkpoint = api.NewOptString(checkpointPrefix + t.workDone.String())
	}
	t.end(api.TaskStatePhaseStopped, now, "stopped by command")
}

func (t *task) end(phase api.TaskStatePhase, at time.Time, message string) {
	t.state.Phase = phase
	t.state.EndedAt = api.NewOptDateTime(at)
	if message != "" {
		t.state.Message = api.NewOptString(message)
	}
}

// currentUsage returns what the task uses now, limited by its throttle.
func (t *task) currentUsage() api.Resources {
	used := t.command.usage(t.state.Resources)
	if t.throttle > 0 {
		used.Millicores = min(used.Millicores, t.throttle)
	}
	return used
}
