package sched

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/entry/shared"
)

const gibibyte = 1 << 30

// rig is a failure domain in one process.
type rig struct {
	t       *testing.T
	tables  *store.Memory
	policy  *policy.ActiveVersion
	view    atomic.Pointer[roster.View]
	workers []*fakeWorker
}

func newRig(t *testing.T, workers int) *rig {
	t.Helper()
	r := &rig{t: t, tables: store.NewMemory(), policy: &policy.ActiveVersion{}}
	view := &roster.View{ListAsOf: time.Now()}
	r.policy.SetIfNewer(&policy.Version{Number: 1, Document: &policy.Document{
		WorkLabels: []string{"transcode"},
		Callers:    map[string]policy.Caller{"host": {Team: "studio", Domain: "zurich-a"}},
		Teams:      map[string]policy.Team{"studio": {Share: 1, Quota: policy.Quota{Millicores: 40000}}},
		Jobs: policy.Jobs{
			TaskLease: policy.Duration(minTaskLease), Attempts: 3,
			QuarantineFailures: 2, QuarantineProbe: policy.Duration(time.Second),
		},
	}})
	for i := range workers {
		w := startFakeWorker(t, "worker-"+string(rune('a'+i)), roster.Resources{Millicores: 4000, MemoryBytes: 16 * gibibyte})
		r.workers = append(r.workers, w)
		view.Workers = append(view.Workers, w.member("zurich-a", "rack-"+string(rune('a'+i%2))))
	}
	r.view.Store(view)
	return r
}

// changeWorkers replaces the roster's workers.
func (r *rig) changeWorkers(change func([]roster.Worker) []roster.Worker) {
	r.view.Store(&roster.View{ListAsOf: time.Now(), Workers: change(slices.Clone(r.view.Load().Workers))})
}

// scheduler starts an entry VM's scheduler; the function returned kills it.
func (r *rig) scheduler(name string) (*Scheduler, func()) {
	r.t.Helper()
	s, err := New(Options{CommonOptions: shared.CommonOptions{
		Name: name, Domain: "zurich-a", Region: "north", Policy: r.policy, Tables: r.tables,
		Roster: r.view.Load, ClockSkew: 50 * time.Millisecond,
	}})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(r.t.Context())
	s.Start(ctx)
	kill := func() {
		cancel()
		s.loops.Wait()
	}
	r.t.Cleanup(kill)
	return s, kill
}

func jobSpec(kind caller.JobSpecKind, tasks int, millicores int64, command ...string) *caller.JobSpec {
	return &caller.JobSpec{
		Name: "test", Kind: kind, Work: "transcode", Tasks: tasks, Command: command,
		Resources: caller.Resources{Millicores: millicores, MemoryBytes: gibibyte},
		NotAfter:  time.Now().Add(time.Hour),
	}
}

func (r *rig) submit(s *Scheduler, spec *caller.JobSpec) *caller.Job {
	r.t.Helper()
	job, err := s.Submit(r.t.Context(), "host", spec)
	if err != nil {
		r.t.Fatal(err)
	}
	return job
}

// await polls a job until ok holds.
func (r *rig) await(s *Scheduler, id string, ok func(*caller.Job) bool) *caller.Job {
	r.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		job, err := s.Get(r.t.Context(), "host", id)
		if err == nil && ok(job) {
			return job
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("job %s did not get there: %+v (%v)", id, job, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func inState(state caller.JobState) func(*caller.Job) bool {
	return func(job *caller.Job) bool { return job.State == state }
}

func runningTasks(n int) func(*caller.Job) bool {
	return func(job *caller.Job) bool {
		count := 0
		for _, task := range job.Tasks {
			if task.Phase == caller.TaskPhaseRunning {
				count++
			}
		}
		return count == n
	}
}

func TestJobsEndAsTheirKindDemands(t *testing.T) {
	r := newRig(t, 3)
	s, _ := r.scheduler("entry-1")
	tests := map[string]struct {
		spec *caller.JobSpec
		want caller.JobState
	}{
		"batch larger than the fleet": {jobSpec(caller.JobSpecKindBatch, 20, 1000, "run", "100ms"), caller.JobStateSucceeded},
		"gang that fills the fleet":   {jobSpec(caller.JobSpecKindGang, 12, 1000, "run", "100ms"), caller.JobStateSucceeded},
		"service that ends by itself": {jobSpec(caller.JobSpecKindService, 3, 1000, "run", "300ms"), caller.JobStateSucceeded},
		"tasks that always fail":      {jobSpec(caller.JobSpecKindBatch, 2, 1000, "fail"), caller.JobStateFailed},
	}
	ids := map[string]string{}
	for name, test := range tests {
		ids[name] = r.submit(s, test.spec).ID
	}
	for name, test := range tests {
		job := r.await(s, ids[name], func(job *caller.Job) bool { return ended(job.State) })
		if job.State != test.want {
			t.Errorf("%s: %s (%s), want %s", name, job.State, job.Reason.Value, test.want)
		}
		for _, task := range job.Tasks {
			if task.Attempt == 0 || task.Worker.Value == "" {
				t.Errorf("%s: the ended job lost where task %d ran: %+v", name, task.Index, task)
			}
		}
	}
	for _, w := range r.workers {
		if w.overloaded > 0 {
			t.Errorf("%s was overloaded %d times", w.name, w.overloaded)
		}
	}
}

func TestSubmitRefusesWithTheFieldAtFault(t *testing.T) {
	r := newRig(t, 2)
	s, _ := r.scheduler("entry-1")
	tests := map[string]struct {
		change        func(*caller.JobSpec)
		reason, field string
	}{
		"unknown work":          {func(spec *caller.JobSpec) { spec.Work = "mine-coins" }, ReasonUnknownWork, "work"},
		"no tasks":              {func(spec *caller.JobSpec) { spec.Tasks = 0 }, ReasonTooManyTasks, "tasks"},
		"negative memory":       {func(spec *caller.JobSpec) { spec.Resources.MemoryBytes = -1 }, ReasonBadField, "resources.memory-bytes"},
		"past window":           {func(spec *caller.JobSpec) { spec.NotAfter = time.Now().Add(-time.Second) }, ReasonWindow, "not-after"},
		"longer than window":    {func(spec *caller.JobSpec) { spec.ExpectedRun = 2 * time.Hour }, ReasonWindow, "not-after"},
		"larger than a worker":  {func(spec *caller.JobSpec) { spec.Resources.Millicores = 5000 }, ReasonNeverFits, "resources"},
		"gang larger than all":  {func(spec *caller.JobSpec) { spec.Kind, spec.Tasks = caller.JobSpecKindGang, 9 }, ReasonNeverFits, "resources"},
		"gang larger than team": {func(spec *caller.JobSpec) { spec.Kind, spec.Tasks = caller.JobSpecKindGang, 41 }, ReasonOverQuota, "resources"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			spec := jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1s")
			test.change(spec)
			_, err := s.Submit(t.Context(), "host", spec)
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != test.reason || refused.Field != test.field || refused.Accepted == "" {
				t.Errorf("got %#v", err)
			}
		})
	}
	r.tables.SetFaults(store.Faults{Down: true})
	_, err := s.Submit(t.Context(), "host", jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1s"))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonStoreDown {
		t.Errorf("store down: got %v", err)
	}
}

func TestSameKeyIsSameJobThroughLostAnswers(t *testing.T) {
	r := newRig(t, 1)
	s, _ := r.scheduler("entry-1")
	r.tables.SetFaults(store.Faults{LostAnswers: 0.3, LostWrites: 0.5, Seed: 1})
	ids := map[string]bool{}
	for range 20 {
		spec := jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "50ms")
		spec.Key = caller.NewOptString("booth-7")
		job, err := s.Submit(t.Context(), "host", spec)
		if errors.Is(err, ErrUnconfirmed) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		ids[job.ID] = true
	}
	if len(ids) != 1 {
		t.Errorf("one key made jobs %v", ids)
	}
}

func TestCancelStopsRunningTasksAndLasts(t *testing.T) {
	r := newRig(t, 1)
	s, _ := r.scheduler("entry-1")
	id := r.submit(s, jobSpec(caller.JobSpecKindBatch, 6, 1000, "run", "1h")).ID
	r.await(s, id, runningTasks(4))
	if _, err := s.Cancel(t.Context(), "host", id); err != nil {
		t.Fatal(err)
	}
	r.await(s, id, inState(caller.JobStateCancelled))
	if left := r.workers[0].RunningTasks(); len(left) > 0 {
		t.Errorf("still running: %v", left)
	}
	if _, err := s.Get(t.Context(), "somebody-else", id); !errors.Is(err, ErrNotFound) {
		t.Errorf("another caller got %v", err)
	}
}

func tasksOn(job *caller.Job, worker string) int {
	count := 0
	for _, task := range job.Tasks {
		if task.Worker.Value == worker {
			count++
		}
	}
	return count
}

func TestTakeoverFindsRunningTasks(t *testing.T) {
	tests := map[string]struct{ workerDown bool }{
		"all workers answer": {false},
		"a worker is silent as well, and dropped from the list": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			first, kill := r.scheduler("entry-1")
			// Each worker has room for all tasks, so that nothing but proof keeps the
			// new holder from starting those of a silent worker again.
			id := r.submit(first, jobSpec(caller.JobSpecKindService, 8, 500, "run", "1h")).ID
			before := r.await(first, id, runningTasks(8))
			r.workers[0].set(func(w *fakeWorker) { w.down = test.workerDown })
			kill()
			second, _ := r.scheduler("entry-2")
			want := 8
			if test.workerDown {
				want = tasksOn(before, r.workers[1].name)
				r.changeWorkers(func(workers []roster.Worker) []roster.Worker { return workers[1:] })
			}
			r.await(second, id, func(*caller.Job) bool { return second.current() != nil })
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				here, there := r.workers[0].RunningTasks(), r.workers[1].RunningTasks()
				for task := range here {
					if _, ok := there[task]; ok {
						t.Fatalf("task %s runs twice", task)
					}
				}
			}
			r.await(second, id, runningTasks(want))
		})
	}
}
