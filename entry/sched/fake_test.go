package sched

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// fakeWorker runs tasks in memory. A task's command is "run DURATION", "fail", or
// "use PERCENT", which runs on and uses that much of its declared processors.
type fakeWorker struct {
	worker.Handler
	name     string
	capacity roster.Resources
	server   *httptest.Server

	mu    sync.Mutex
	epoch int64
	tasks map[string]*worker.TaskState
	ends  map[string]time.Time
	fails map[string]bool
	// down makes all calls fail; tasks go on until their lease lapses.
	down bool
	// failAll makes all tasks fail.
	failAll bool
	// uses and throttled tell of tasks that use more than declared.
	uses      map[string]int64
	throttled map[string]bool
	// overloaded counts starts that the capacity does not carry.
	overloaded int
}

func startFakeWorker(t *testing.T, name string, capacity roster.Resources) *fakeWorker {
	t.Helper()
	w := &fakeWorker{
		name: name, capacity: capacity,
		tasks: map[string]*worker.TaskState{}, ends: map[string]time.Time{}, fails: map[string]bool{},
		uses: map[string]int64{}, throttled: map[string]bool{},
	}
	server, err := worker.NewServer(w)
	if err != nil {
		t.Fatal(err)
	}
	w.server = httptest.NewServer(server)
	t.Cleanup(w.server.Close)
	return w
}

func (w *fakeWorker) member(domain, rack string) roster.Worker {
	address := netip.MustParseAddrPort(strings.TrimPrefix(w.server.URL, "http://"))
	return roster.Worker{Name: w.name, Domain: domain, Rack: rack, Address: address, Capacity: w.capacity, State: roster.Live}
}

func (w *fakeWorker) set(change func(*fakeWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

// fenced rejects a command; the lock must be held.
func (w *fakeWorker) fenced(epoch int64) error {
	w.settle(time.Now())
	if w.down {
		return &worker.ProblemStatusCode{StatusCode: 503}
	}
	if epoch < w.epoch {
		return &worker.ProblemStatusCode{StatusCode: 409}
	}
	w.epoch = epoch
	return nil
}

// settle ends the tasks that have run long enough or whose lease lapsed.
func (w *fakeWorker) settle(now time.Time) {
	for id, task := range w.tasks {
		if task.Phase != worker.TaskStatePhaseRunning {
			continue
		}
		switch {
		case !now.Before(task.LeaseDeadline):
			task.Phase = worker.TaskStatePhaseLapsed
		case !now.Before(w.ends[id]) && w.fails[id]:
			task.Phase = worker.TaskStatePhaseFailed
		case !now.Before(w.ends[id]):
			task.Phase = worker.TaskStatePhaseSucceeded
		}
	}
}

func (w *fakeWorker) running() map[string]worker.Resources {
	running := map[string]worker.Resources{}
	for id, task := range w.tasks {
		if task.Phase == worker.TaskStatePhaseRunning {
			running[id] = task.Resources
		}
	}
	return running
}

// RunningTasks returns what runs now.
func (w *fakeWorker) RunningTasks() map[string]worker.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	return w.running()
}

func (w *fakeWorker) StartTasks(_ context.Context, req *worker.StartRequest) (*worker.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fenced(req.Epoch); err != nil {
		return nil, err
	}
	reply := &worker.StartReply{Results: []worker.StartResult{}}
	for _, start := range req.Tasks {
		result := worker.StartResult{TaskID: start.TaskID}
		if time.Now().Before(req.StartBefore) {
			result.Started = true
			w.start(start)
		} else {
			result.Reason = worker.NewOptString("too late")
		}
		reply.Results = append(reply.Results, result)
	}
	return reply, nil
}

func (w *fakeWorker) start(start worker.TaskStart) {
	used := ledgerResources(start.Resources)
	for _, r := range w.running() {
		used = ledger.Sum(used, ledgerResources(r))
	}
	if !ledger.Fits(used, w.capacity) {
		w.overloaded++
	}
	now := time.Now()
	run := time.Duration(0)
	if start.Command[0] == "run" {
		run, _ = time.ParseDuration(start.Command[1])
	}
	if start.Command[0] == "use" {
		run = time.Hour
		w.uses[start.TaskID], _ = strconv.ParseInt(start.Command[1], 10, 64)
	}
	w.fails[start.TaskID] = start.Command[0] == "fail" || w.failAll
	if w.failAll {
		run = 0
	}
	w.ends[start.TaskID] = now.Add(run)
	w.tasks[start.TaskID] = &worker.TaskState{
		TaskID: start.TaskID, Attempt: start.Attempt, Phase: worker.TaskStatePhaseRunning,
		Resources: start.Resources, LeaseDeadline: start.LeaseDeadline, StartedAt: now,
	}
}

func (w *fakeWorker) RenewTasks(_ context.Context, req *worker.RenewRequest) (*worker.TaskList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fenced(req.Epoch); err != nil {
		return nil, err
	}
	for _, id := range req.TaskIDs {
		if task := w.tasks[id]; task != nil && task.Phase == worker.TaskStatePhaseRunning {
			task.LeaseDeadline = req.LeaseDeadline
		}
	}
	return w.list(), nil
}

func (w *fakeWorker) StopTasks(_ context.Context, req *worker.StopRequest) (*worker.TaskList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fenced(req.Epoch); err != nil {
		return nil, err
	}
	for _, id := range req.TaskIDs {
		if task := w.tasks[id]; task != nil && task.Phase == worker.TaskStatePhaseRunning {
			task.Phase = worker.TaskStatePhaseStopped
			if req.Checkpoint {
				task.Checkpoint = worker.NewOptString("checkpoint-of-" + id)
			}
		}
	}
	return w.list(), nil
}

func (w *fakeWorker) ThrottleTasks(_ context.Context, req *worker.ThrottleRequest) (*worker.TaskList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range req.TaskIDs {
		w.throttled[id] = true
	}
	return w.list(), nil
}

func (w *fakeWorker) GetUsage(context.Context) (*worker.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	usage := &worker.Usage{AsOf: time.Now(), Tasks: []worker.TaskUsage{}}
	for id, r := range w.running() {
		used := worker.TaskUsage{TaskID: id, Millicores: r.Millicores, MemoryBytes: r.MemoryBytes}
		if percent := w.uses[id]; percent > 0 && !w.throttled[id] {
			used.Millicores = r.Millicores * percent / 100
		}
		usage.Tasks = append(usage.Tasks, used)
	}
	return usage, nil
}

func (w *fakeWorker) list() *worker.TaskList {
	list := &worker.TaskList{Epoch: w.epoch, Tasks: []worker.TaskState{}}
	for _, task := range w.tasks {
		list.Tasks = append(list.Tasks, *task)
	}
	return list
}

func (w *fakeWorker) NewError(_ context.Context, err error) *worker.ProblemStatusCode {
	if problem, ok := err.(*worker.ProblemStatusCode); ok { //nolint:errorlint // the handlers return it bare.
		return problem
	}
	return &worker.ProblemStatusCode{StatusCode: 500}
}
