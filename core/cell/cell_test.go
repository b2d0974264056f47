package cell

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestSubmitOutcomes checks that the answer to a submission is correct when the store fails or
// answers are lost: a refused job is not stored, and an accepted job is.
func TestSubmitOutcomes(t *testing.T) {
	first := func(fault storeFault) func([]store.Change) storeFault {
		calls := 0
		return func([]store.Change) storeFault {
			calls++
			if calls == 1 {
				return fault
			}
			return noFault
		}
	}
	always := func(fault storeFault) func([]store.Change) storeFault {
		return func([]store.Change) storeFault { return fault }
	}
	cases := map[string]struct {
		fault  func([]store.Change) storeFault
		before *jobs.Job
		want   error
		stored bool
	}{
		"accepted":                        {fault: always(noFault), stored: true},
		"accepted before":                 {fault: always(noFault), before: &jobs.Job{ID: "job", Spec: jobs.NewSpec("earlier")}, stored: true},
		"refused before":                  {fault: always(noFault), before: &jobs.Job{ID: "job", Refused: true}, stored: true},
		"store down":                      {fault: always(storeDown), want: ErrRefused},
		"answer lost, write done":         {fault: first(answerLost), stored: true},
		"answer lost, write not done":     {fault: first(writeLost), stored: true},
		"store down after an answer lost": {fault: afterFirst(answerLost, storeDown), want: ErrOutcomeUnknown, stored: true},
		"store down after a write lost":   {fault: afterFirst(writeLost, storeDown), want: ErrOutcomeUnknown},
		"all writes lost, nothing stored": {fault: always(writeLost), want: ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			if c.before != nil {
				memory.putJob(t, *c.before)
			}
			client, err := store.New(store.Options{Transport: memory})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			node := New(Options{Name: "vm", Store: client, Logger: testLogger{t}})
			memory.setFault(c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if err := node.Submit(ctx, testJob("job")); !errors.Is(err, c.want) || err != nil && c.want == nil {
				t.Errorf("Submit: %v, want %v", err, c.want)
			}
			row, _ := memory.Read(t.Context(), JobsTable, "job")
			job, decodeErr := jobs.Decode[jobs.Job](row.Value)
			if got := row.Version != store.Absent && decodeErr == nil && !job.Refused; got != c.stored {
				t.Errorf("job stored: %v, want %v", got, c.stored)
			}
		})
	}
}

// afterFirst returns one fault for the first commit and another for the rest.
func afterFirst(first, rest storeFault) func([]store.Change) storeFault {
	calls := 0
	return func([]store.Change) storeFault {
		calls++
		if calls == 1 {
			return first
		}
		return rest
	}
}

// startCell starts VMs on a store with one worker, an invalid worker entry and a config, and
// waits until one VM leads.
func startCell(t *testing.T, workers *fakeWorkers, names ...string) (*memoryStore, []*Node, []func()) {
	t.Helper()
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	memory.put(t, "workers", "stranger", "???")
	var nodes []*Node
	var stops []func()
	for _, name := range names {
		node, stop := testNode(t, name, memory, workers)
		nodes, stops = append(nodes, node), append(stops, stop)
	}
	eventually(t, "one leader", func() bool { return countLeaders(nodes) == 1 })
	return memory, nodes, stops
}

func countLeaders(nodes []*Node) int {
	count := 0
	for _, node := range nodes {
		if node.leader() != nil {
			count++
		}
	}
	return count
}

// TestJobRunsToItsEnd submits a job at a follower and checks its state at each VM until it is
// done.
func TestJobRunsToItsEnd(t *testing.T) {
	workers := newFakeWorkers(50 * time.Millisecond)
	_, nodes, _ := startCell(t, workers, "vm1", "vm2")
	follower := nodes[0]
	if follower.leader() != nil {
		follower = nodes[1]
	}
	if err := follower.Submit(t.Context(), testJob("job")); err != nil {
		t.Fatal(err)
	}
	for _, node := range nodes {
		eventually(t, "the job is done at "+node.opts.Name, func() bool {
			state, err := node.Status(t.Context(), "job")
			return err == nil && state == jobs.Done
		})
	}
	for task, count := range workers.starts {
		if count != 1 {
			t.Errorf("task %s was started %d times", task, count)
		}
	}
	if len(workers.starts) != 2 {
		t.Errorf("%d tasks were started, want 2", len(workers.starts))
	}
	if _, err := follower.Status(t.Context(), "unknown"); !errors.Is(err, ErrNotFound) {
		t.Errorf("state of an unknown job: %v, want %v", err, ErrNotFound)
	}
}

// TestShutdownHandsOverLeadership checks that a VM that shuts down hands its leadership to
// another at once, and that running tasks are not started again.
func TestShutdownHandsOverLeadership(t *testing.T) {
	workers := newFakeWorkers(700 * time.Millisecond)
	memory, nodes, stops := startCell(t, workers, "vm1", "vm2")
	old, next := 0, 1
	if nodes[0].leader() == nil {
		old, next = 1, 0
	}
	if err := nodes[next].Submit(t.Context(), testJob("job")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the tasks run", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return len(workers.starts) == 2
	})
	stops[old]()
	eventually(t, "the other VM leads", leads(nodes[next]))
	eventually(t, "the job is done", func() bool {
		state, err := nodes[next].Status(t.Context(), "job")
		return err == nil && state == jobs.Done
	})
	for task, count := range workers.starts {
		if count != 1 {
			t.Errorf("task %s was started %d times", task, count)
		}
	}
	row, _ := memory.Read(t.Context(), progressTable, "job")
	if p, err := jobs.Decode[jobs.Progress](row.Value); err != nil || p.State != jobs.Done {
		t.Errorf("stored progress %+v, error %v", p, err)
	}
}

// TestReplacedLeaderStops checks that a leader stops once another one holds the leader row,
// even if the row is its only notice.
func TestReplacedLeaderStops(t *testing.T) {
	workers := newFakeWorkers(50 * time.Millisecond)
	memory, nodes, _ := startCell(t, workers, "vm1")
	before := nodes[0].leader()
	memory.put(t, LeaderTable, LeaderKey, `{"epoch":7,"holder":"other","instance":"x","address":"127.0.0.1:9"}`)
	eventually(t, "the leader stops", func() bool { return nodes[0].leader() != before })
	if before.ctx.Err() == nil {
		t.Error("the replaced leader still executes commands")
	}
}

// TestConfigNeverGoesBack checks that an older or invalid configuration changes nothing.
func TestConfigNeverGoesBack(t *testing.T) {
	memory, nodes, _ := startCell(t, newFakeWorkers(0), "vm1")
	version := func() int64 { return nodes[0].Config().Version }
	memory.put(t, "config", "config", "5")
	eventually(t, "version 5", func() bool { return version() == 5 })
	memory.put(t, "config", "config", "3")
	memory.put(t, "config", "config", "not a config")
	memory.put(t, "config", "config", "6")
	eventually(t, "version 6", func() bool {
		if version() < 5 {
			t.Fatalf("version went back to %d", version())
		}
		return version() == 6
	})
}

// TestCancel checks the reported state of a canceled job, and that its tasks are stopped.
func TestCancel(t *testing.T) {
	workers := newFakeWorkers(time.Hour)
	_, nodes, _ := startCell(t, workers, "vm1", "vm2")
	if err := nodes[0].Cancel(t.Context(), "unknown"); !errors.Is(err, ErrNotFound) {
		t.Errorf("cancel of an unknown job: %v, want %v", err, ErrNotFound)
	}
	if err := nodes[0].Submit(t.Context(), testJob("job")); err != nil {
		t.Fatal(err)
	}
	running := func() int {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return len(workers.running)
	}
	eventually(t, "the tasks run", func() bool { return running() == 2 })
	if err := nodes[1].Cancel(t.Context(), "job"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the tasks have stopped", func() bool { return running() == 0 })
	eventually(t, "the job is reported as canceled", func() bool {
		state, err := nodes[1].Status(t.Context(), "job")
		return err == nil && state == jobs.Canceled
	})
}

// TestJobsAreReadOnce checks that a new leader scans the stored jobs once. They are most of
// what it reads, and on a slow link a second scan would block everything else.
func TestJobsAreReadOnce(t *testing.T) {
	memory, nodes, _ := startCell(t, newFakeWorkers(10*time.Millisecond), "a")
	eventually(t, "the jobs are loaded", func() bool { return nodes[0].leader().pending() != nil })
	for _, id := range []jobs.ID{"first", "second"} {
		if err := nodes[0].Submit(t.Context(), testJob(id)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the job is done", func() bool {
			state, err := nodes[0].Status(t.Context(), id)
			return err == nil && state == jobs.Done
		})
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if got := memory.scans[JobsTable]; got != 1 {
		t.Errorf("the jobs were scanned %d times, want once", got)
	}
}

// TestOversizedJobIsInvalid guards against refusing other callers because of a job whose row the
// store never accepts, and against telling its caller to try again.
func TestOversizedJobIsInvalid(t *testing.T) {
	memory := newMemoryStore()
	memory.maxValue = 65_536
	memory.put(t, "config", "config", "1")
	node, _ := testNode(t, "vm", memory, newFakeWorkers(time.Millisecond))
	job := testJob("large")
	for range jobs.MaxSteps {
		step := testJob("large").Steps[0]
		for before := range len(job.Steps) {
			step.After = append(step.After, before)
		}
		job.Steps = append(job.Steps, step)
	}
	if err := node.Submit(t.Context(), job); !errors.Is(err, jobs.ErrInvalid) || errors.Is(err, ErrRefused) {
		t.Errorf("submission of a job of %d steps: %v, want %v", len(job.Steps), err, jobs.ErrInvalid)
	}
}

// TestCanceledJobStaysCanceledWithoutLeader guards against telling the caller of a canceled job that it
// runs, while no leader answers.
func TestCanceledJobStaysCanceledWithoutLeader(t *testing.T) {
	cases := map[string]struct {
		progress *jobs.Progress
		want     jobs.State
	}{
		"nothing started": {nil, jobs.Canceled},
		"running":         {&jobs.Progress{State: jobs.Running, Started: true}, jobs.Canceled},
		"done before":     {&jobs.Progress{State: jobs.Done, Started: true}, jobs.Done},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			memory.putJob(t, testJob("job"))
			if c.progress != nil {
				data, err := jobs.Encode(*c.progress)
				if err != nil {
					t.Fatal(err)
				}
				memory.put(t, progressTable, "job", string(data))
			}
			node := idleElector(t).node
			node.opts.Store = testClient(t, memory)
			if err := node.Cancel(t.Context(), "job"); err != nil {
				t.Fatal(err)
			}
			if state, err := node.Status(t.Context(), "job"); err != nil || state != c.want {
				t.Errorf("state: %v, %v; want %v", state, err, c.want)
			}
		})
	}
}
