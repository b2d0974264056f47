package worker

import (
	"strings"
	"time"

	api "tanagerstack.org/core/api/worker"
)

// task is a task that an agent runs or ran.
type task struct {
	state   api.TaskState
	command Command
	// done is the work done until workedAt, as time at full speed.
	workDone      time.Duration
	workUpdatedAt time.Time
	// speed is the share of full speed at which the task runs now.
	speed float64
	// throttle is the limit in millicores; zero means none.
	throttle int64
}

// checkpointMark starts a checkpoint; the work done follows as a duration.
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

// finishAt returns when the work will be done at the present speed; zero if never.
func (t *task) completionTime() time.Time {
	if t.command.RunFor == 0 {
		return time.Time{}
	}
	left := max(t.command.RunFor-t.workDone, 0)
	return t.workUpdatedAt.Add(time.Duration(float64(left) / t.speed))
}

// endAt returns when the task ends if nothing more is heard of it.
func (t *task) endTime() time.Time {
	finish := t.completionTime()
	if !finish.IsZero() && finish.Before(t.state.LeaseDeadline) {
		return finish
	}
	return t.state.LeaseDeadline
}

// advance brings the task to the instant now, and reports whether it still runs.
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

// work adds the work done until now.
func (t *task) accrueWork(now time.Time) {
	t.workDone += time.Duration(float64(now.Sub(t.workUpdatedAt)) * t.speed)
	t.workUpdatedAt = now
}

// limit throttles the task from now on.
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

// uses returns what the task uses now, within its throttle.
func (t *task) currentUsage() api.Resources {
	used := t.command.usage(t.state.Resources)
	if t.throttle > 0 {
		used.Millicores = min(used.Millicores, t.throttle)
	}
	return used
}
