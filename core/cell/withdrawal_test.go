package cell

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// writtenJob returns the job that a commit writes as the row of an ID, and that change. Transactions of
// others may share the commit.
func writtenJob(changes []store.Change, id jobs.ID) (job jobs.Job, change store.Put, ok bool) {
	for _, change := range changes {
		put, isPut := change.(store.Put)
		if !isPut || put.Table != JobsTable || put.Key != string(id) {
			continue
		}
		job, err := jobs.Decode[jobs.Job](put.Value)
		return job, put, err == nil
	}
	return jobs.Job{}, store.Put{}, false
}

// lateInserts returns a fault by which each insert of a job whose condition holds is late and gets no
// answer. The first other write of its row fails with first.
func lateInserts(memory *memoryStore, id jobs.ID, first storeFault) func([]store.Change) storeFault {
	done := false
	return func(changes []store.Change) storeFault {
		job, put, ok := writtenJob(changes, id)
		if !ok {
			return noFault
		}
		if !job.FinalState.Final() {
			if key, expected := changeTarget(put); expected != nil && memory.row(key).Version != *expected {
				return noFault
			}
			return writeLate
		}
		if done {
			return noFault
		}
		done = true
		return first
	}
}

// submitWithoutAnswer submits a job until an insert is late, and expects that its outcome is unknown.
func submitWithoutAnswer(t *testing.T, node *Node, memory *memoryStore, job jobs.Job) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go (&lateWatch{memory, cancel}).run()
	if err := node.Submit(ctx, job); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("submission without an answer: %v, want %v", err, ErrOutcomeUnknown)
	}
}

// lateWatch cancels a context once a commit is late.
type lateWatch struct {
	memory *memoryStore
	cancel func()
}

func (w *lateWatch) run() {
	for {
		w.memory.mu.Lock()
		late := len(w.memory.late)
		w.memory.mu.Unlock()
		if late > 0 {
			w.cancel()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// checkNeverStarted fails the test if tasks of a job were started, once a job that was submitted after
// everything else is done.
func checkNeverStarted(t *testing.T, node *Node, workers *fakeWorkers, id jobs.ID) {
	t.Helper()
	after := id + "-after"
	if err := node.Submit(t.Context(), testJob(after)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a job that was submitted later is done", func() bool {
		state, err := node.Status(t.Context(), after)
		return err == nil && state == jobs.Done
	})
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for task, count := range workers.starts {
		if task.Job == id {
			t.Errorf("task %s of a canceled job was started %d times", task, count)
		}
	}
}

// TestLateInsertOfCanceledJob guards against running a job whose cancellation was acknowledged while
// its insert was under way: the store executes a write without an answer seconds later.
func TestLateInsertOfCanceledJob(t *testing.T) {
	recurring := testJob("job")
	recurring.Recurrence = &jobs.Recurrence{First: time.Now(), Interval: 10 * time.Millisecond, Count: 3}
	service := testJob("job")
	service.Steps[0].Service = true
	cases := map[string]struct {
		job jobs.Job
		// refused is set if there is the tombstone of a refusal.
		refused bool
		// cancelFault is how the first write of the cancellation fails.
		cancelFault storeFault
		handOver    bool
		resubmit    bool
	}{
		"late insert":                           {job: testJob("job")},
		"recurring job":                         {job: recurring},
		"service":                               {job: service},
		"over the tombstone of a refusal":       {job: testJob("job"), refused: true},
		"cancellation without an answer":        {job: testJob("job"), cancelFault: answerLost},
		"cancellation is not executed":          {job: testJob("job"), cancelFault: writeLost},
		"cancellation is late as well":          {job: testJob("job"), cancelFault: writeLate},
		"hand-over in between":                  {job: testJob("job"), handOver: true},
		"submitted again":                       {job: testJob("job"), resubmit: true},
		"submitted again after a hand-over":     {job: testJob("job"), handOver: true, resubmit: true},
		"service that is submitted again":       {job: service, resubmit: true},
		"submitted again over a refused job":    {job: testJob("job"), refused: true, resubmit: true},
		"submitted again, cancellation is late": {job: testJob("job"), cancelFault: writeLate, resubmit: true},
	}
	workers := newFakeWorkers(10 * time.Millisecond)
	memory, nodes, _ := startCell(t, workers, "vm1", "vm2")
	number := 0
	for name, c := range cases {
		number++
		id := jobs.ID(fmt.Sprint("job-", number))
		t.Run(name, func(t *testing.T) {
			workers, memory, nodes := workers, memory, nodes
			var stops []func()
			if c.handOver {
				workers = newFakeWorkers(10 * time.Millisecond)
				memory, nodes, stops = startCell(t, workers, "vm3", "vm4")
			}
			leading, other := 0, 1
			if nodes[0].leader() == nil {
				leading, other = 1, 0
			}
			c.job.ID = id
			if c.refused {
				memory.putJob(t, jobs.Job{ID: id, Refused: true})
			}
			memory.setFault(lateInserts(memory, id, c.cancelFault))
			submitWithoutAnswer(t, nodes[leading], memory, c.job)
			if err := nodes[other].Cancel(t.Context(), id); !errors.Is(err, ErrNotFound) {
				t.Fatalf("cancellation: %v, want %v", err, ErrNotFound)
			}
			if c.handOver {
				stops[leading]()
				eventually(t, "the other VM leads", leads(nodes[other]))
			}
			if memory.executeLate() == 0 {
				t.Fatal("no write was late")
			}
			if state, err := nodes[other].Status(t.Context(), id); !errors.Is(err, ErrNotFound) {
				t.Errorf("state of the canceled job: %v, %v; want %v", state, err, ErrNotFound)
			}
			if c.resubmit {
				if err := nodes[other].Submit(t.Context(), c.job); err != nil {
					t.Errorf("submission repeated after the cancellation: %v", err)
				}
				for range 2 {
					if state, err := nodes[other].Status(t.Context(), id); err != nil || state != jobs.Canceled {
						t.Errorf("state of the canceled job that was submitted again: %v, %v; want %v", state, err, jobs.Canceled)
					}
				}
			}
			checkNeverStarted(t, nodes[other], workers, id)
		})
	}
}

// gatedStore calls a function before each commit, which may wait for other calls.
type gatedStore struct {
	*memoryStore
	before func(group []store.Transaction)
}

func (g *gatedStore) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	g.before(group)
	return g.memoryStore.Commit(ctx, group)
}

// TestCancellationCrossesInsert guards against running a job whose cancellation was acknowledged
// between two attempts of the VM that inserts it.
func TestCancellationCrossesInsert(t *testing.T) {
	workers := newFakeWorkers(10 * time.Millisecond)
	memory, nodes, _ := startCell(t, workers, "vm1")
	attempts, lost := 0, false
	memory.setFault(func(changes []store.Change) storeFault {
		if _, _, ok := writtenJob(changes, "job"); !ok || lost {
			return noFault
		}
		lost = true
		return writeLost
	})
	inserting, _ := testNodeOnTransport(t, "vm2", &gatedStore{memory, func(group []store.Transaction) {
		if _, _, ok := writtenJob(slices.Concat(group...), "job"); !ok {
			return
		}
		if attempts++; attempts != 2 {
			return
		}
		if err := nodes[0].Cancel(t.Context(), "job"); !errors.Is(err, ErrNotFound) {
			t.Errorf("cancellation between two attempts: %v, want %v", err, ErrNotFound)
		}
	}}, workers)
	if err := inserting.Submit(t.Context(), testJob("job")); err != nil {
		t.Errorf("submission that was canceled meanwhile: %v", err)
	}
	if state, err := nodes[0].Status(t.Context(), "job"); err != nil || state != jobs.Canceled {
		t.Errorf("state: %v, %v; want %v", state, err, jobs.Canceled)
	}
	checkNeverStarted(t, nodes[0], workers, "job")
}

// TestCancellationFindsInsert checks that a cancellation that finds no job, and whose own write finds
// one, cancels it.
func TestCancellationFindsInsert(t *testing.T) {
	workers := newFakeWorkers(time.Hour)
	memory, nodes, _ := startCell(t, workers, "vm1")
	inserts, executed := lateInserts(memory, "job", noFault), false
	memory.setFault(func(changes []store.Change) storeFault {
		fault := inserts(changes)
		if _, _, ok := writtenJob(changes, "job"); ok && fault != writeLate && !executed {
			executed = true
			for _, late := range memory.late {
				_, _ = memory.apply(late)
			}
		}
		return fault
	})
	submitWithoutAnswer(t, nodes[0], memory, testJob("job"))
	if err := nodes[0].Cancel(t.Context(), "job"); err != nil {
		t.Errorf("cancellation of a job that was stored meanwhile: %v", err)
	}
	eventually(t, "the job is shown as canceled", func() bool {
		state, err := nodes[0].Status(t.Context(), "job")
		return err == nil && state == jobs.Canceled
	})
}

// countWithdrawals returns the number of tombstones of withdrawn jobs.
func countWithdrawals(t *testing.T, memory *memoryStore) int {
	t.Helper()
	page, err := memory.Scan(t.Context(), JobsTable, "", "")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, row := range page.Rows {
		if strings.HasSuffix(row.Key, cancelSuffix) {
			continue
		}
		if job, err := jobs.Decode[jobs.Job](row.Value); err == nil && job.Withdrawn {
			count++
		}
	}
	return count
}

// TestWithdrawalsAreRemoved guards against tombstones that stay in the store for good, and against
// removing what has replaced one.
func TestWithdrawalsAreRemoved(t *testing.T) {
	const count = removalBatch + 10
	memory, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), "vm1")
	for i := range count {
		if err := nodes[0].Cancel(t.Context(), jobs.ID(fmt.Sprint("job-", i))); !errors.Is(err, ErrNotFound) {
			t.Fatalf("cancellation of an unknown job: %v, want %v", err, ErrNotFound)
		}
	}
	w := nodes[0].leader().withdrawals
	eventually(t, "the leader knows the tombstones", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.queue) == count
	})
	if early := w.due(time.Now().Add(withdrawalRetention - time.Second)); len(early) > 0 {
		t.Errorf("%d tombstones would be removed early", len(early))
	}
	if err := nodes[0].Submit(t.Context(), testJob("job-7")); err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	for i := range w.queue {
		w.queue[i].removeAt = time.Now()
	}
	w.mu.Unlock()
	eventually(t, "the tombstones are removed", func() bool { return countWithdrawals(t, memory) == 0 })
	if state, err := nodes[0].Status(t.Context(), "job-7"); err != nil || state != jobs.Canceled {
		t.Errorf("state of the job that replaced its tombstone: %v, %v; want %v", state, err, jobs.Canceled)
	}
	eventually(t, "the leader has forgotten the tombstones", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.queue) == 0 && len(w.versions) == 0
	})
}

// TestNewLeaderRemovesWithdrawals guards against tombstones that stay for good because the leader that
// knew them is gone.
func TestNewLeaderRemovesWithdrawals(t *testing.T) {
	_, nodes, stops := startCell(t, newFakeWorkers(time.Millisecond), "vm1", "vm2")
	leading, other := 0, 1
	if nodes[0].leader() == nil {
		leading, other = 1, 0
	}
	if err := nodes[other].Cancel(t.Context(), "job"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("cancellation of an unknown job: %v, want %v", err, ErrNotFound)
	}
	stops[leading]()
	eventually(t, "the other VM leads", leads(nodes[other]))
	w := nodes[other].leader().withdrawals
	eventually(t, "the new leader knows the tombstone", func() bool {
		return len(w.due(time.Now().Add(withdrawalRetention))) == 1
	})
}

// TestWithdrawalsAreBounded guards against callers that fill the store, and use up its rate, with
// cancellations of IDs that nobody submits. What is beyond the bound is not acknowledged.
func TestWithdrawalsAreBounded(t *testing.T) {
	const count = 2 * withdrawalBurst
	memory, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), "vm1")
	began, withdrawn := time.Now(), 0
	for i := range count {
		switch err := nodes[0].Cancel(t.Context(), jobs.ID(fmt.Sprint("job-", i))); {
		case errors.Is(err, ErrNotFound):
			withdrawn++
		case !errors.Is(err, ErrTooManyWithdrawals):
			t.Fatalf("cancellation of an unknown job: %v", err)
		}
	}
	limit := withdrawalBurst + int(withdrawalsPerSecond*time.Since(began).Seconds()) + 1
	if got := countWithdrawals(t, memory); got != withdrawn || withdrawn < withdrawalBurst || withdrawn > limit {
		t.Errorf("%d cancellations acknowledged, %d tombstones stored, want the same and %d to %d", withdrawn, got, withdrawalBurst, limit)
	}
	if err := nodes[0].Submit(t.Context(), testJob("known")); err != nil {
		t.Fatal(err)
	}
	if err := nodes[0].Cancel(t.Context(), "known"); err != nil {
		t.Errorf("cancellation of a known job beyond the bound: %v", err)
	}
	if err := nodes[0].Cancel(t.Context(), "job-0"); !errors.Is(err, ErrNotFound) {
		t.Errorf("repeated cancellation beyond the bound: %v, want %v", err, ErrNotFound)
	}
}

// TestWithdrawalBindsItsOrganization guards against a cancellation that stops another organization's
// job of the same ID, and against one whose own organization's job runs.
func TestWithdrawalBindsItsOrganization(t *testing.T) {
	a, b := callerOf(t, "ka"), callerOf(t, "kb")
	jobOf := func(organization string) jobs.Job {
		job := testJob("job")
		job.Organization = organization
		return job
	}
	cases := map[string]struct {
		organization string
		want         jobs.State
	}{
		"own job":                     {"a", jobs.Canceled},
		"job of another organization": {"b", jobs.Done},
		"job without organization":    {"", jobs.Done},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			workers := newFakeWorkers(time.Millisecond)
			_, nodes, _ := startCell(t, workers, "vm1")
			if err := nodes[0].CancelFor(t.Context(), a, "job"); !errors.Is(err, ErrNotFound) {
				t.Fatalf("cancellation: %v, want %v", err, ErrNotFound)
			}
			if err := nodes[0].CancelFor(t.Context(), a, "job"); !errors.Is(err, ErrNotFound) {
				t.Errorf("repeated cancellation: %v, want %v", err, ErrNotFound)
			}
			if err := nodes[0].CancelFor(t.Context(), b, "job"); !errors.Is(err, ErrForbidden) {
				t.Errorf("cancellation by another organization: %v, want %v", err, ErrForbidden)
			}
			if err := nodes[0].Submit(t.Context(), jobOf(c.organization)); err != nil {
				t.Fatalf("submission: %v", err)
			}
			eventually(t, "the job has its final state", func() bool {
				state, err := nodes[0].Status(t.Context(), "job")
				return err == nil && state == c.want
			})
		})
	}
}
