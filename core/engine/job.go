package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// job is an accepted job and its state.
type job struct {
	jobs.Job
	state     jobs.State
	started   bool
	inherited bool
	loadedAt  time.Time
	// deadline is the time after which the job is late, worthlessAt the time after which
	// completing it has no value.
	deadline    time.Time
	worthlessAt time.Time
	// open holds the occurrences that have begun to be due and are not done, in order. Only these
	// have steps and tasks in memory.
	open []*occurrence
	// openTasks is the number of tasks of the open occurrences.
	openTasks int
	// nextDue is the lowest occurrence that was not considered for opening yet.
	nextDue int
	// done holds the occurrences whose tasks are all done.
	done jobs.OccurrenceSet
	// revision counts changes of the progress. committed is the last revision known to be stored.
	// finalRevision is the revision that made the job final.
	revision      int
	committed     int
	finalRevision int
	// organization is the organization that the job belongs to, or nil. runs counts the runs of the job
	// that are charged to it.
	// unclosed is set if the final state is recorded but the job's row could not be replaced yet.
	organization *organization
	runs         int
	unclosed     bool
	// excess is set if the organization submitted the job beyond its weight per second.
	excess bool
	wait   wait
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index     int
	due       time.Time
	steps     []*step
	stepsLeft int
	// rank is the value rank of the occurrence and endsAt its predicted end, both as of rankedAt.
	rank   valueRank
	endsAt time.Time
	// atRisk is set if there is too little time between the predicted end and the time that the
	// rank depends on: the deadline or, for late occurrences, the time after which completing
	// them has no value.
	atRisk   bool
	rankedAt time.Time
}

// step is a step of an occurrence.
type step struct {
	jobs.Step
	id        jobs.StepID
	job       *job
	occ       *occurrence
	tasks     []*task
	tasksLeft int
	// lastRun is the highest run number used for a task of the step.
	lastRun  int
	failures []jobs.Failure
	// crashes holds the runs whose worker crashed.
	crashes []jobs.Failure
	advice  stepAdvice
	// reservation is the capacity reserved for the step, or nil.
	reservation *reservation
	// evictions counts how often running work was stopped for the step.
	evictions int
	// retryAt is the earliest time at which the step is considered again, or zero.
	retryAt time.Time
	// waitingSince is the time at which tasks of the step first found no free capacity, or zero.
	waitingSince time.Time
	// unfit is set while the step's waiting tasks would not fit if all workers were empty. Such a step
	// makes no claims: nothing is dedicated, reserved or left free for it, and the adviser is not asked.
	unfit bool
	// rank is the value rank of the step's occurrence as of the last pass.
	rank valueRank
	// class is what the order of steps goes by first, as of the last pass.
	class int
	// taskDurations holds the known durations of the step's tasks as of taskDurationsAt.
	taskDurations   []taskDuration
	taskDurationsAt time.Time
}

// task is a task of a step.
type task struct {
	id   jobs.TaskID
	step *step
	done bool
	// run is the run that may exist, or nil.
	run      *run
	failures int
	// crashes counts the runs whose worker crashed. heldUntil is the revision of the progress that
	// must be committed before the task starts again.
	crashes    int
	heldUntil  int
	checkpoint string
	// duration is the duration of the run that completed the task, completedOn the worker it ran
	// on.
	duration    time.Duration
	completedOn *worker
	// avoid holds the IDs of workers on which the task failed or was a straggler.
	avoid []string
	moves int
	// evictions counts how often the task was stopped in favor of others.
	evictions int
}

func (j *job) final() bool { return j.state.Final() }

// demand returns the capacity that one task occupies on a worker. Fillers occupy no processors.
func (s *step) demand() roster.Resources { return demandOf(&s.Step) }

func demandOf(s *jobs.Step) roster.Resources {
	if s.Filler {
		return roster.Resources{MemoryBytes: s.PerTask.MemoryBytes, Accelerators: s.PerTask.Accelerators}
	}
	return s.PerTask
}

// ready reports whether the step's tasks may start.
func (s *step) ready(now time.Time) bool {
	if s.tasksLeft == 0 || now.Before(s.occ.due) {
		return false
	}
	for _, predecessor := range s.After {
		if s.occ.steps[predecessor].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// hasWaiting reports whether a task of the step is neither done nor has a run, and may start.
func (s *step) hasWaiting() bool {
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.held() {
			return true
		}
	}
	return false
}

// waiting returns the tasks that are neither done nor have a run, and may start. It appends them to
// an empty list.
func (s *step) waiting(list []*task) []*task {
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.held() {
			list = append(list, t)
		}
	}
	return list
}

// jobAccepted adds a stored job to the engine.
func (e *Engine) jobAccepted(now time.Time, ev JobAccepted) {
	if e.jobs[ev.Job.ID] != nil || ev.Job.Refused {
		return
	}
	inherited := ev.Inherited || !e.caughtUp && !e.opts.PreviousActiveUntil.IsZero() && !e.opts.unsafe.skipOverlap
	j := &job{Job: ev.Job, loadedAt: now, inherited: inherited, started: ev.Progress.Started, organization: e.organizationOf(ev.Job.Organization)}
	objective := ev.Job.Queue.Objective(e.criticalPath(&ev.Job))
	j.deadline = ev.Job.ArrivedAt.Add(objective)
	j.worthlessAt = ev.Job.ArrivedAt.Add(jobs.WorthlessFactor * objective)
	e.jobs[ev.Job.ID] = j
	if j.organization != nil {
		e.unmarkedJobs = append(e.unmarkedJobs, j)
	}
	if ev.Job.FinalState.Final() {
		j.state = ev.Job.FinalState
		e.matchOrphanedResults(now, j)
		e.matchOrphanedRuns(now, j)
		return
	}
	j.restoreProgress(ev.Progress, e.opts.unsafe)
	j.openDue(now)
	if j.organization != nil && inherited && j.state != jobs.Done {
		j.unclosed = j.final() && e.config.HasOrganizations()
		e.inheritedJobs = append(e.inheritedJobs, j)
	}
	e.log("job loaded", "job", ev.Job.ID, "queue", ev.Job.Queue.Name, "steps", len(ev.Job.Steps),
		"age", now.Sub(ev.Job.ArrivedAt), "objective", objective, "inherited", inherited, "state", j.state)
	if !j.final() {
		e.active = append(e.active, j)
	}
	e.matchOrphanedResults(now, j)
	e.matchOrphanedRuns(now, j)
}

// maxOpenTasks is the number of tasks of a job up to which further occurrences are opened. Without
// it, a recurring job that is overdue would exhaust the memory. One occurrence is always opened.
const maxOpenTasks = 2000

// openDue opens the occurrences that are due, in order.
func (j *job) openDue(now time.Time) {
	for j.nextDue < j.Occurrences() && !now.Before(j.Due(j.nextDue)) {
		if j.occurrence(j.nextDue) == nil && !j.done.Contains(j.nextDue) {
			if len(j.open) > 0 && j.openTasks+j.tasksPerOccurrence() > maxOpenTasks {
				return
			}
			j.openOccurrence(j.nextDue)
		}
		j.nextDue++
	}
}

func (j *job) tasksPerOccurrence() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// openOccurrence creates the steps and tasks of an occurrence.
func (j *job) openOccurrence(k int) *occurrence {
	o := &occurrence{index: k, due: j.Due(k), stepsLeft: len(j.Steps)}
	for i, s := range j.Steps {
		id := jobs.StepID{Job: j.ID, Occurrence: k, Step: i}
		st := &step{Step: s, id: id, job: j, occ: o, tasksLeft: s.Count}
		for n := range s.Count {
			st.tasks = append(st.tasks, &task{id: jobs.TaskID{StepID: id, Index: n}, step: st})
		}
		o.steps = append(o.steps, st)
	}
	i, _ := slices.BinarySearchFunc(j.open, k, compareOccurrence)
	j.open = slices.Insert(j.open, i, o)
	j.openTasks += j.tasksPerOccurrence()
	return o
}

// closeIfDone drops the steps and tasks of an occurrence that is done.
func (j *job) closeIfDone(o *occurrence) {
	if o.stepsLeft > 0 {
		return
	}
	j.done.Add(o.index)
	if i, found := slices.BinarySearchFunc(j.open, o.index, compareOccurrence); found {
		j.open = slices.Delete(j.open, i, i+1)
		j.openTasks -= j.tasksPerOccurrence()
	}
}

// occurrence returns an open occurrence, or nil.
func (j *job) occurrence(k int) *occurrence {
	if i, found := slices.BinarySearchFunc(j.open, k, compareOccurrence); found {
		return j.open[i]
	}
	return nil
}

func compareOccurrence(o *occurrence, k int) int { return cmp.Compare(o.index, k) }

// occurrenceOf returns an occurrence of a job that is not done, and opens it if necessary: a
// previous leader may have opened it. It returns nil if there is none.
func (j *job) occurrenceOf(k int) *occurrence {
	if j.final() || k < 0 || k >= j.Occurrences() || j.done.Contains(k) {
		return nil
	}
	if o := j.occurrence(k); o != nil {
		return o
	}
	return j.openOccurrence(k)
}

// restoreProgress applies stored progress to the job.
func (j *job) restoreProgress(p jobs.Progress, unsafe unsafeOptions) {
	j.state = p.State
	j.done = slices.Clone(p.Done)
	for _, sp := range p.Steps {
		o := j.occurrenceOf(sp.Occurrence)
		if o == nil || sp.Step < 0 || sp.Step >= len(o.steps) {
			continue
		}
		s := o.steps[sp.Step]
		done := make([]bool, len(s.tasks))
		for _, n := range sp.Done {
			if n >= 0 && n < len(done) {
				done[n] = true
			}
		}
		for n, t := range s.tasks {
			if sp.AllDone || done[n] {
				s.markDone(t)
			}
		}
		for _, f := range sp.Failures {
			if unsafe.forgetFailures {
				break
			}
			if f.Task >= 0 && f.Task < len(s.tasks) {
				s.addFailure(s.tasks[f.Task], f.Run)
			}
		}
		for _, crash := range sp.Crashes {
			if unsafe.forgetCrashes {
				break
			}
			if crash.Task >= 0 && crash.Task < len(s.tasks) {
				s.addCrash(s.tasks[crash.Task], crash.Run, crash.Doubtful)
			}
		}
		j.closeIfDone(o)
	}
}

// markDone marks a task as done, and all members of its gang if it belongs to one.
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
			s.tasksLeft--
		}
	}
	if s.tasksLeft == 0 {
		s.occ.stepsLeft--
	}
}

// addFailure records a failed run once and reports whether it was new. Members of a gang share a
// run's failure, which is counted at index 0.
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

// jobCanceled finalizes a job as canceled and stops its runs.
func (e *Engine) jobCanceled(now time.Time, id jobs.ID) {
	j := e.jobs[id]
	if j == nil {
		e.canceledEarly[id] = struct{}{}
		return
	}
	if j.final() {
		return
	}
	e.log("job canceled", "job", id, "state", j.state, "age", now.Sub(j.loadedAt))
	e.finalize(now, j, jobs.Canceled)
}

// cancelIfOvertaken cancels a job that has just been added if its cancellation arrived before it.
func (e *Engine) cancelIfOvertaken(now time.Time, id jobs.ID) {
	if _, canceled := e.canceledEarly[id]; canceled && e.jobs[id] != nil {
		delete(e.canceledEarly, id)
		e.jobCanceled(now, id)
	}
}

// finalize gives a job its final state and stops its remaining runs.
func (e *Engine) finalize(now time.Time, j *job, state jobs.State) {
	j.state = state
	e.markChanged(j)
	j.finalRevision = j.revision
	cause := WasteDuplicate
	switch state {
	case jobs.Canceled:
		cause = WasteCanceled
	case jobs.Failed:
		cause = WasteFailed
	}
	for _, o := range j.open {
		for _, s := range o.steps {
			e.stopAll(now, s, cause)
		}
	}
	j.open, j.openTasks = nil, 0
	e.log("job finalized", "job", j.ID, "queue", j.Queue.Name, "state", state, "age", now.Sub(j.ArrivedAt), "late-by", now.Sub(j.deadline))
	if i := slices.Index(e.active, j); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
	}
}

// stopAll stops the runs of a step's tasks for a cause.
func (e *Engine) stopAll(now time.Time, s *step, cause WasteCause) {
	for _, t := range s.tasks {
		if t.run != nil && t.run.phase != stopping {
			e.stopFor(now, t.run, cause)
		}
	}
}

// markChanged marks a job's progress as changed, so that it is recorded.
func (e *Engine) markChanged(j *job) {
	j.revision++
	e.changedJobs[j.ID] = j
}

// task returns the task with the given ID, or nil if it does not exist or its occurrence is done.
func (e *Engine) task(id jobs.TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.Steps) || id.Index < 0 || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	o := j.occurrenceOf(id.Occurrence)
	if o == nil {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// demandOf returns what a task occupies on a worker, and whether that is known.
func (e *Engine) demandOf(id jobs.TaskID) (demand roster.Resources, known bool) {
	j := e.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.Steps) {
		return roster.Resources{}, false
	}
	return demandOf(&j.Steps[id.Step]), true
}
