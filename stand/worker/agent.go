package worker

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// endedRetention is how long an ended task stays listed.
const endedRetention = time.Minute

// agent is the fake agent of one worker.
type agent struct {
	name     string
	domain   string
	capacity api.Resources
	usageLag time.Duration
	record   *record
	injector *faults.Injector

	mu          sync.Mutex
	epoch       int64
	tasks       map[string]*task
	usageReport api.Usage
}

// checkCommand returns an error for a command that is meant for another failure domain or has an
// older epoch than the newest seen. Otherwise it stores the epoch. The caller holds mu.
func (a *agent) checkCommand(domain string, epoch int64) error {
	if domain != a.domain {
		a.record.countRejection()
		return reply.New(http.StatusConflict, "wrong-domain", "worker %s belongs to %s, not %s", a.name, a.domain, domain)
	}
	if epoch < a.epoch {
		a.record.countRejection()
		return reply.New(http.StatusConflict, "stale-epoch", "epoch %d is older than %d", epoch, a.epoch)
	}
	a.epoch = epoch
	return nil
}

// advance updates all tasks to time now and deletes those that ended more than endedRetention ago.
// The caller holds mu.
func (a *agent) advance(now time.Time) {
	for id, t := range a.tasks {
		if t.advance(now) {
			continue
		}
		if now.Sub(t.state.EndedAt.Or(now)) > endedRetention {
			delete(a.tasks, id)
		}
	}
}

// start starts a task, or returns the reason for the refusal. Starting an attempt again that is
// already listed succeeds without effect. The caller holds mu and has called advance.
func (a *agent) start(s *api.TaskStart, now time.Time) api.StartResult {
	if existing, found := a.tasks[s.TaskID]; found {
		if existing.state.Attempt == s.Attempt {
			return api.StartResult{TaskID: s.TaskID, Started: true}
		}
		if existing.state.Attempt > s.Attempt {
			return a.refuse(s, "older-attempt")
		}
		if existing.running() {
			return a.refuse(s, "already-running")
		}
	}
	if !now.Before(s.LeaseDeadline) {
		return a.refuse(s, "lease-deadline-passed")
	}
	if !fits(a.declaredResources(), s.Resources, a.capacity) {
		a.record.countOverload()
		return api.StartResult{TaskID: s.TaskID, Reason: api.NewOptString("no-capacity")}
	}
	t := newTask(s, now)
	if _, failing := a.injector.Active(faultapi.FaultKindFailAll, a.name); failing {
		t.command.Fail = true
		t.command.RunFor = defaultFailureDelay
	}
	a.tasks[s.TaskID] = t
	a.record.recordStart(s.TaskID, a.name, now, t.endTime())
	return api.StartResult{TaskID: s.TaskID, Started: true}
}

func (a *agent) refuse(s *api.TaskStart, reason string) api.StartResult {
	a.record.countRejection()
	return api.StartResult{TaskID: s.TaskID, Reason: api.NewOptString(reason)}
}

// applyToRunning calls change for each of the given tasks that is running, and records its new end.
// The caller holds mu and has called advance.
func (a *agent) applyToRunning(ids []string, change func(*task)) {
	for _, id := range ids {
		t, found := a.tasks[id]
		if !found || !t.running() {
			continue
		}
		change(t)
		until := t.endTime()
		if !t.running() {
			until = t.state.EndedAt.Or(until)
		}
		a.record.recordEnd(id, a.name, until)
	}
}

// declaredResources returns the sum of the declared resources of running tasks. The caller holds mu.
func (a *agent) declaredResources() api.Resources {
	var sum api.Resources
	for _, t := range a.tasks {
		if t.running() {
			sum = add(sum, t.state.Resources)
		}
	}
	return sum
}

// list returns all tasks, sorted by ID. The caller holds mu.
func (a *agent) list() *api.TaskList {
	states := make([]api.TaskState, 0, len(a.tasks))
	for _, t := range a.tasks {
		states = append(states, t.state)
	}
	slices.SortFunc(states, func(x, y api.TaskState) int { return strings.Compare(x.TaskID, y.TaskID) })
	return &api.TaskList{Epoch: a.epoch, Tasks: states}
}

// refreshUsage rebuilds the usage report if it is at least usageLag old. The caller holds mu.
func (a *agent) refreshUsage(now time.Time) {
	if !a.usageReport.AsOf.IsZero() && now.Sub(a.usageReport.AsOf) < a.usageLag {
		return
	}
	a.usageReport = api.Usage{AsOf: now, Capacity: a.capacity, Tasks: []api.TaskUsage{}}
	for id, t := range a.tasks {
		if !t.running() {
			continue
		}
		used := t.currentUsage()
		a.usageReport.Used = add(a.usageReport.Used, used)
		a.usageReport.Tasks = append(a.usageReport.Tasks,
			api.TaskUsage{TaskID: id, Millicores: used.Millicores, MemoryBytes: used.MemoryBytes})
	}
}

func add(x, y api.Resources) api.Resources {
	return api.Resources{
		Millicores:   x.Millicores + y.Millicores,
		MemoryBytes:  x.MemoryBytes + y.MemoryBytes,
		Accelerators: x.Accelerators + y.Accelerators,
	}
}

// fits reports whether used and additional together fit in capacity.
func fits(used, additional, capacity api.Resources) bool {
	sum := add(used, additional)
	return sum.Millicores <= capacity.Millicores &&
		sum.MemoryBytes <= capacity.MemoryBytes &&
		sum.Accelerators <= capacity.Accelerators
}
