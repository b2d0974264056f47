package sched

import (
	"cmp"
	"sort"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/queue"
	"tanagerstack.org/core/roster"
)

// phase is where a task is in its life.
type phase int

const (
	pending phase = iota
	// starting: charged to a worker, not confirmed by it.
	starting
	running
	// stopping: a stop was asked for; the task counts until its end is proved.
	stopping
	succeeded
	failed
	// stopped: ended for good without success.
	stopped
)

// task is a task of a job on the holder.
type task struct {
	phase phase
	// worker has the task while it is live, lastWorker had it before.
	worker     string
	lastWorker string
	attempt    int
	failures   int
	// reason says why the task is where it is, for people.
	reason     string
	checkpoint string
	startedAt  time.Time
	// size is what the task was started with.
	size roster.Resources
	// measured, oversized and runaway tell how the task compares with its
	// declaration; oversized counts reports in a row.
	measured  bool
	oversized int
	runaway   bool
	// voidAt is the instant after which a start that was sent can't take effect.
	voidAt time.Time
}

// job is a job on the holder.
type job struct {
	row     jobRow
	version int64
	// dirty says that the row must be written, writing that a write is under way.
	dirty   bool
	writing bool
	tasks   []task
	// inherited: the job is older than this holder, so its tasks may run on
	// workers that have not been listed yet.
	inherited bool
	// pending and live count tasks; live ones are starting, running or stopping.
	pending int
	live    int
	done    int
	// ends is the final state that the job will get once no task is live, or "".
	ends caller.JobState
	why  string
	// retryAt is the earliest instant of the next placement.
	retryAt time.Time
	// displaceAt and reserveAt are the earliest instants of the next displacement
	// for the job, and of its next reservation.
	displaceAt time.Time
	reserveAt  time.Time
	// placedAt is when tasks of the job were last placed.
	placedAt time.Time
	// unfitSince is when the job was first found too large for all listed workers.
	unfitSince time.Time
	// failedOn has workers where tasks of the job failed.
	failedOn map[string]bool
	// explained is the last explanation traced, so that it is not repeated.
	explained string
	// triedAt is the holder's try number at the last failed placement.
	triedAt uint64
}

func newJob(row jobRow, version int64, inherited bool) *job {
	j := &job{row: row, version: version, inherited: inherited, failedOn: make(map[string]bool)}
	j.tasks = make([]task, row.Spec.Tasks)
	for i := range j.tasks {
		t := &j.tasks[i]
		note := row.Notes[i]
		t.failures, t.attempt, t.reason = note.Failures, note.Attempt, note.Reason
		t.checkpoint, t.lastWorker = note.Checkpoint, note.Worker
		if row.succeeded(i) {
			t.phase = succeeded
			j.done++
		} else {
			j.pending++
		}
	}
	return j
}

func (j *job) each() roster.Resources {
	r := j.row.Spec.Resources
	return roster.Resources{Millicores: r.Millicores, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func (j *job) key(index int) ledger.Task { return ledger.Task{Job: j.row.ID, Index: index} }

func (j *job) ending() bool { return j.row.CancelRequested || ended(j.row.State) }

// set moves a task to a phase and keeps the counts.
func (j *job) set(index int, p phase) {
	t := &j.tasks[index]
	j.count(t.phase, -1)
	t.phase = p
	j.count(p, 1)
}

func (j *job) count(p phase, by int) {
	switch p {
	case pending:
		j.pending += by
	case starting, running, stopping:
		j.live += by
	case succeeded, failed, stopped:
		j.done += by
	}
}

// note puts into the row what must outlast the holder about a task.
func (j *job) note(index int) {
	t := &j.tasks[index]
	if t.phase == succeeded {
		j.row.setSucceeded(index)
	}
	if t.failures == 0 && t.checkpoint == "" && t.attempt <= 1 {
		return
	}
	if j.row.Notes == nil {
		j.row.Notes = make(map[int]taskNote)
	}
	j.row.Notes[index] = t.note()
}

func (t *task) note() taskNote {
	return taskNote{
		Failures:   t.failures,
		Attempt:    t.attempt,
		Reason:     t.reason,
		Checkpoint: t.checkpoint,
		Worker:     cmp.Or(t.worker, t.lastWorker),
	}
}

// noteAll puts into the row what became of each task, as the job ends.
func (j *job) noteAll() {
	j.row.Notes = make(map[int]taskNote, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.attempt > 0 {
			j.row.Notes[i] = t.note()
		}
	}
}

// item is a job's entry in the queue. The lock must be held.
func (h *holder) item(j *job) queue.Item {
	spec := j.row.Spec
	it := queue.Item{
		Job:        j.row.ID,
		Team:       j.row.Team,
		Urgent:     spec.Urgent.Value,
		Service:    spec.Kind == caller.JobSpecKindService,
		AcceptedAt: j.row.AcceptedAt,
		NotAfter:   spec.NotAfter,
		PerTask:    h.size(j),
		MinTasks:   1,
	}
	if spec.Kind == caller.JobSpecKindGang {
		it.MinTasks = max(1, j.pending)
	}
	return it
}

// placed counts the job's live tasks on each worker.
func (j *job) placed() map[string]int {
	counts := make(map[string]int)
	for i := range j.tasks {
		switch t := &j.tasks[i]; t.phase {
		case starting, running, stopping:
			counts[t.worker]++
		}
	}
	return counts
}

// pendingTasks returns the indexes of up to n pending tasks.
func (j *job) pendingTasks(n int) []int {
	indexes := make([]int, 0, min(n, j.pending))
	for i := range j.tasks {
		if len(indexes) == n {
			break
		}
		if j.tasks[i].phase == pending {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// view is the job as its caller sees it.
func (j *job) view() *caller.Job {
	view := rowView(&j.row)
	for i := range j.tasks {
		t := &j.tasks[i]
		out := caller.Task{Index: i, Phase: t.phase.public(), Attempt: t.attempt}
		name := t.worker
		if ended(j.row.State) {
			name = cmp.Or(t.worker, t.lastWorker)
		}
		if name != "" {
			out.Worker = caller.NewOptString(name)
		}
		if reason := j.reasonOf(t); reason != "" {
			out.Reason = caller.NewOptString(reason)
		}
		view.Tasks[i] = out
	}
	if view.State == caller.JobStateAccepted && (j.live > 0 || j.done > 0) {
		view.State = caller.JobStateRunning
	}
	return view
}

// reasonOf says why a task is where it is.
func (j *job) reasonOf(t *task) string {
	if t.phase != pending || j.explained == "" {
		return t.reason
	}
	if t.reason == "" {
		return j.explained
	}
	return j.explained + "; before that: " + t.reason
}

func (p phase) public() caller.TaskPhase {
	switch p {
	case running, stopping:
		return caller.TaskPhaseRunning
	case succeeded:
		return caller.TaskPhaseSucceeded
	case failed:
		return caller.TaskPhaseFailed
	case stopped:
		return caller.TaskPhaseStopped
	default:
		return caller.TaskPhasePending
	}
}

// rowView is the job as its row alone tells it.
func rowView(r *jobRow) *caller.Job {
	view := &caller.Job{
		ID:         r.ID,
		Caller:     r.Caller,
		Domain:     r.Domain,
		State:      r.State,
		AcceptedAt: r.AcceptedAt,
		Spec:       r.Spec,
		Tasks:      make([]caller.Task, r.Spec.Tasks),
	}
	if r.Reason != "" {
		view.Reason = caller.NewOptString(r.Reason)
	}
	if !r.EndedAt.IsZero() {
		view.EndedAt = caller.NewOptDateTime(r.EndedAt)
	}
	for i := range view.Tasks {
		note := r.Notes[i]
		view.Tasks[i] = caller.Task{Index: i, Phase: r.endPhase(i), Attempt: note.Attempt}
		if note.Worker != "" {
			view.Tasks[i].Worker = caller.NewOptString(note.Worker)
		}
		if note.Reason != "" {
			view.Tasks[i].Reason = caller.NewOptString(note.Reason)
		}
	}
	return view
}

func (r *jobRow) endPhase(index int) caller.TaskPhase {
	switch {
	case r.succeeded(index):
		return caller.TaskPhaseSucceeded
	case r.State == caller.JobStateFailed && r.Notes[index].Failures > 0:
		return caller.TaskPhaseFailed
	case ended(r.State):
		return caller.TaskPhaseStopped
	default:
		return caller.TaskPhasePending
	}
}

// sortedJobs returns the jobs in order of their identifiers.
func sortedJobs(jobs map[string]*job) []*job {
	sorted := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		sorted = append(sorted, j)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].row.ID < sorted[b].row.ID })
	return sorted
}
