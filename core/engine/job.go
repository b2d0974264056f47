package engine

import (
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// job is an accepted job and what became of it.
type job struct {
	jobs.Job
	state      jobs.State
	begun      bool
	inherited  bool
	acceptedAt time.Time
	// deadline is when the job is late, hopeless when it is worth nothing more.
	deadline time.Time
	hopeless time.Time
	// occurrences hold the steps; an occurrence is built when it is due.
	occurrences []*occurrence
	// revision counts changes of the progress, committed is the last one stored.
	revision  int
	committed int
}

// occurrence is one run through a job's steps.
type occurrence struct {
	index int
	due   time.Time
	steps []*step
	left  int
	// rank is by what the occurrence is still worth, and endsAt when it is predicted to
	// be done, as of rankedAt.
	rank   lateness
	endsAt time.Time
	// doubtful says that it has little to spare for what its rank promises.
	doubtful bool
	rankedAt time.Time
}

// step is a step of an occurrence.
type step struct {
	jobs.Step
	id    jobs.StepID
	job   *job
	occ   *occurrence
	tasks []*task
	left  int
	// lastRun is the highest run number that was used for a task of the step.
	lastRun  int
	failures []jobs.Failure
	advice   stepAdvice
	// reserved is the room that is kept for the step, or nil.
	reserved *reservation
	// evictions is how often work was stopped for the step.
	evictions int
	// tryAt is when the step is looked at again, if that is not at once.
	tryAt time.Time
	// waitingSince is when tasks of the step first found no room.
	waitingSince time.Time
	// rank is by what the step's job is still worth, as of the last pass.
	rank lateness
	// peers are the durations of the step's tasks, as gathered at peersAt.
	peers   []peer
	peersAt time.Time
}

// task is a task of a step.
type task struct {
	id   jobs.TaskID
	step *step
	done bool
	// run is the run that may exist, or nil.
	run      *run
	failures int
	saved    string
	// took is how long the run took that made the task done, and where.
	took   time.Duration
	tookOn *worker
	// avoid are workers where the task failed or lagged.
	avoid   []string
	rescues int
	// evictions is how often the task was stopped for others.
	evictions int
}

func (j *job) final() bool { return j.state.Final() }

// room is what a task takes of a worker: fillers take no processors.
func (s *step) room() roster.Resources {
	if s.Filler {
		return roster.Resources{MemoryBytes: s.PerTask.MemoryBytes, Accelerators: s.PerTask.Accelerators}
	}
	return s.PerTask
}

// ready reports whether the step's tasks may start.
func (s *step) ready(now time.Time) bool {
	if s.left == 0 || now.Before(s.occ.due) {
		return false
	}
	for _, before := range s.After {
		if s.occ.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// anyWaiting reports whether a task of the step has no run.
func (s *step) anyWaiting() bool {
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			return true
		}
	}
	return false
}

// waiting returns the tasks that have no run and are not done.
func (s *step) waiting() []*task {
	var list []*task
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			list = append(list, t)
		}
	}
	return list
}

// jobAccepted takes in a stored job.
func (e *Engine) jobAccepted(now time.Time, ev JobAccepted) {
	if e.jobs[ev.Job.ID] != nil || ev.Job.Refused {
		return
	}
	inherited := ev.Inherited || !e.heardAll && !e.opts.PreviousActiveUntil.IsZero() && !e.opts.unsafe.skipOverlap
	j := &job{Job: ev.Job, acceptedAt: now, inherited: inherited, begun: ev.Progress.Started}
	objective := time.Duration(ev.Job.Queue.Stretch*float64(e.chain(&ev.Job))) + ev.Job.Queue.Slack
	j.deadline = ev.Job.ArrivedAt.Add(objective)
	j.hopeless = ev.Job.ArrivedAt.Add(lateFactor * objective)
	e.jobs[ev.Job.ID] = j
	if ev.Job.FinalState.Final() {
		j.state = ev.Job.FinalState
		e.settleOrphans(now, j)
		e.settleStrays(now, j)
		return
	}
	j.build()
	j.restore(ev.Progress, e.opts.unsafe)
	e.log("job taken in", "job", ev.Job.ID, "queue", ev.Job.Queue.Name, "steps", len(ev.Job.Steps),
		"age", now.Sub(ev.Job.ArrivedAt), "objective", objective, "inherited", inherited, "state", j.state)
	if !j.final() {
		e.active = append(e.active, j)
	}
	e.settleOrphans(now, j)
	e.settleStrays(now, j)
}

// lateFactor is how many objectives a job may take and still be worth something:
// the users count up to three times the objective as late.
const lateFactor = 3

// build makes the steps of all occurrences.
func (j *job) build() {
	for k := range j.Occurrences() {
		o := &occurrence{index: k, due: j.Due(k)}
		for i, s := range j.Steps {
			id := jobs.StepID{Job: j.ID, Occurrence: k, Step: i}
			st := &step{Step: s, id: id, job: j, occ: o, left: s.Count}
			for n := range s.Count {
				st.tasks = append(st.tasks, &task{id: jobs.TaskID{StepID: id, Index: n}, step: st})
			}
			o.steps = append(o.steps, st)
		}
		o.left = len(o.steps)
		j.occurrences = append(j.occurrences, o)
	}
}

// restore takes in stored progress.
func (j *job) restore(p jobs.Progress, unsafe unsafeOptions) {
	j.state = p.State
	for _, sp := range p.Steps {
		if sp.Occurrence >= len(j.occurrences) || sp.Step >= len(j.Steps) {
			continue
		}
		s := j.occurrences[sp.Occurrence].steps[sp.Step]
		for n, t := range s.tasks {
			if sp.AllDone || slices.Contains(sp.Done, n) {
				s.markDone(t)
			}
		}
		for _, f := range sp.Failures {
			if unsafe.forgetFailures {
				break
			}
			if f.Task < len(s.tasks) {
				s.addFailure(s.tasks[f.Task], f.Run)
			}
		}
	}
}

// markDone notes that a task is done, and with a gang's task the whole gang.
func (s *step) markDone(t *task) {
	if t.done {
		return
	}
	tasks := []*task{t}
	if s.Gang {
		tasks = s.tasks
	}
	for _, member := range tasks {
		if !member.done {
			member.done = true
			s.left--
		}
	}
	if s.left == 0 {
		s.occ.left--
	}
}

// addFailure notes a failed run once and reports whether it was new. All members
// of a gang share a run's failure.
func (s *step) addFailure(t *task, number int) bool {
	index := t.id.Index
	if s.Gang {
		index = 0
	}
	failure := jobs.Failure{Task: index, Run: number}
	if slices.Contains(s.failures, failure) {
		return false
	}
	s.failures = append(s.failures, failure)
	s.lastRun = max(s.lastRun, number)
	s.tasks[index].failures++
	return true
}

// jobCanceled stops all of a job.
func (e *Engine) jobCanceled(now time.Time, id jobs.ID) {
	j := e.jobs[id]
	if j == nil || j.final() {
		return
	}
	e.log("job canceled", "job", id, "state", j.state, "age", now.Sub(j.acceptedAt))
	e.conclude(now, j, jobs.Canceled)
}

// conclude gives a job its final state and stops what still runs.
func (e *Engine) conclude(now time.Time, j *job, state jobs.State) {
	j.state = state
	e.touch(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			e.stopAll(now, s)
		}
	}
	e.log("job concluded", "job", j.ID, "queue", j.Queue.Name, "state", state, "age", now.Sub(j.ArrivedAt), "late-by", now.Sub(j.deadline))
	if i := slices.Index(e.active, j); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
	}
}

// stopAll stops the runs of a step's tasks.
func (e *Engine) stopAll(now time.Time, s *step) {
	for _, t := range s.tasks {
		if t.run != nil && t.run.phase != stopping {
			e.stop(now, t.run)
		}
	}
}

// touch marks a job whose progress changed.
func (e *Engine) touch(j *job) {
	j.revision++
	e.dirty[j.ID] = j
}

// task returns the task with a name, or nil.
func (e *Engine) task(id jobs.TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	steps := j.occurrences[id.Occurrence].steps
	if id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= len(steps[id.Step].tasks) {
		return nil
	}
	return steps[id.Step].tasks[id.Index]
}
