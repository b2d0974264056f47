package sched

import (
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// condition is what the holder thinks of a worker.
func condition(s *Scheduler, name string) ledger.Condition {
	h := s.current()
	if h == nil {
		return ledger.Unreachable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[name].condition(time.Now())
}

// quarantined reports whether a worker is in quarantine, also while a probe is due.
func quarantined(s *Scheduler, name string) bool {
	h := s.current()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[name].health.quarantined
}

func awaitCondition(t *testing.T, s *Scheduler, name string, want ledger.Condition) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); condition(s, name) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("worker %s has condition %d, want %d", name, condition(s, name), want)
		}
	}
}

func TestWorkerThatFailsEverythingIsQuarantinedAndProbedBack(t *testing.T) {
	r := newRig(t, 2)
	s, _ := r.scheduler("entry-1")
	everywhere := r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 1000, "fail")).ID
	r.await(s, everywhere, inState(caller.JobStateFailed))
	for _, w := range r.workers {
		if condition(s, w.name) != ledger.Usable {
			t.Errorf("a job that fails everywhere cost worker %s its place", w.name)
		}
	}
	r.workers[0].set(func(w *fakeWorker) { w.failAll = true })
	for range 6 {
		id := r.submit(s, jobSpec(caller.JobSpecKindBatch, 4, 1000, "run", "50ms")).ID
		if job := r.await(s, id, func(job *caller.Job) bool { return ended(job.State) }); job.State != caller.JobStateSucceeded {
			t.Fatalf("job %s: %s", job.State, job.Reason.Value)
		}
	}
	if !quarantined(s, r.workers[0].name) {
		t.Errorf("worker %s, which fails everything, is not quarantined", r.workers[0].name)
	}
	r.workers[0].set(func(w *fakeWorker) { w.failAll = false })
	long := r.submit(s, jobSpec(caller.JobSpecKindBatch, 8, 1000, "run", "2s")).ID
	r.await(s, long, runningTasks(8))
	r.await(s, long, inState(caller.JobStateSucceeded))
	awaitCondition(t, s, r.workers[0].name, ledger.Usable)
	if quarantined(s, r.workers[0].name) {
		t.Errorf("worker %s is still quarantined after a success", r.workers[0].name)
	}
}

func TestUrgentJobDisplacesBatchAfterCheckpoint(t *testing.T) {
	r := newRig(t, 1)
	s, _ := r.scheduler("entry-1")
	batch := r.submit(s, jobSpec(caller.JobSpecKindBatch, 4, 1000, "run", "4s")).ID
	r.await(s, batch, runningTasks(4))
	spec := jobSpec(caller.JobSpecKindBatch, 2, 1000, "run", "100ms")
	spec.Urgent = caller.NewOptBool(true)
	urgent := r.submit(s, spec).ID
	r.await(s, urgent, inState(caller.JobStateSucceeded))
	h := s.current()
	h.mu.Lock()
	checkpoints := 0
	for _, task := range h.jobs[batch].tasks {
		if task.checkpoint != "" {
			checkpoints++
		}
	}
	h.mu.Unlock()
	if checkpoints != 2 {
		t.Errorf("%d tasks were stopped with a checkpoint, want 2", checkpoints)
	}
	r.await(s, batch, inState(caller.JobStateSucceeded))
}

func TestGangIsNotStarvedByASteadyStreamOfBatch(t *testing.T) {
	r := newRig(t, 2)
	s, _ := r.scheduler("entry-1")
	stream := func() *caller.JobSpec {
		spec := jobSpec(caller.JobSpecKindBatch, 8, 1000, "run", "300ms")
		spec.NotAfter = time.Now().Add(time.Minute)
		return spec
	}
	r.submit(s, stream())
	gang := r.submit(s, jobSpec(caller.JobSpecKindGang, 8, 1000, "run", "100ms")).ID
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if job, err := s.Get(t.Context(), "host", gang); err == nil && job.State == caller.JobStateSucceeded {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the gang never ran")
		}
		r.submit(s, stream())
	}
}

func TestServiceMovesOffALeavingWorker(t *testing.T) {
	r := newRig(t, 2)
	s, _ := r.scheduler("entry-1")
	id := r.submit(s, jobSpec(caller.JobSpecKindService, 2, 1000, "run", "1h")).ID
	job := r.await(s, id, runningTasks(2))
	if job.Tasks[0].Worker == job.Tasks[1].Worker {
		t.Errorf("both tasks of the service are on %s", job.Tasks[0].Worker.Value)
	}
	r.changeWorkers(func(workers []roster.Worker) []roster.Worker {
		workers[0].State = roster.Leaving
		return workers
	})
	r.await(s, id, func(job *caller.Job) bool {
		return runningTasks(2)(job) && job.Tasks[0].Worker.Value == "worker-b" && job.Tasks[1].Worker.Value == "worker-b"
	})
}

func TestWaitingJobIsRefusedWhenTheFleetShrinks(t *testing.T) {
	r := newRig(t, 2)
	s, _ := r.scheduler("entry-1")
	r.submit(s, jobSpec(caller.JobSpecKindService, 2, 1000, "run", "1h"))
	id := r.submit(s, jobSpec(caller.JobSpecKindGang, 8, 1000, "run", "1s")).ID
	r.changeWorkers(func(workers []roster.Worker) []roster.Worker { return workers[:1] })
	job := r.await(s, id, inState(caller.JobStateRefused))
	if !strings.Contains(job.Reason.Value, ReasonNeverFits) {
		t.Errorf("refused with %q", job.Reason.Value)
	}
}

func TestOversizedTaskIsThrottledAndLearnedFrom(t *testing.T) {
	r := newRig(t, 1)
	s, _ := r.scheduler("entry-1")
	id := r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 1000, "use", "300")).ID
	r.await(s, id, func(job *caller.Job) bool { return strings.HasPrefix(job.Tasks[0].Reason.Value, "throttled") })
	next := r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1h")).ID
	r.await(s, next, runningTasks(1))
	got := r.workers[0].RunningTasks()[next+"/0"].Millicores
	if want := int64(1600); got != want {
		t.Errorf("the next task of the same work got %d millicores, want %d", got, want)
	}
}
