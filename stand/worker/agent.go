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

// endedKept is how long an ended task stays listed.
const endedRetention = time.Minute

// agent is one worker.
type agent struct {
	name     string
	domain   string
	capacity api.Resources
	usageLag time.Duration
	record   *record
	faults   *faults.Injector

	mu          sync.Mutex
	epoch       int64
	tasks       map[string]*task
	usageReport api.Usage
}

// observe rejects commands for another domain or of an old epoch. The caller holds mu.
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

// advance brings all tasks to the instant now and forgets those that ended long
// ago. The caller holds mu.
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

// start starts one task, or says why not. The caller holds mu and has advanced.
func (a *agent) start(s *api.TaskStart, now time.Time) api.StartResult {
	if known, found := a.tasks[s.TaskID]; found {
		if known.state.Attempt == s.Attempt {
			return api.StartResult{TaskID: s.TaskID, Started: true}
		}
		if known.state.Attempt > s.Attempt {
			return a.refuse(s, "older-attempt")
		}
		if known.running() {
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
	if _, failing := a.faults.Active(faultapi.FaultKindFailAll, a.name); failing {
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

// change applies change to each named running task. The caller holds mu and has advanced.
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

// declared returns the declared resources of the running tasks. The caller holds mu.
func (a *agent) declaredResources() api.Resources {
	var sum api.Resources
	for _, t := range a.tasks {
		if t.running() {
			sum = add(sum, t.state.Resources)
		}
	}
	return sum
}

// list returns all tasks in the order of their IDs. The caller holds mu.
func (a *agent) list() *api.TaskList {
	states := make([]api.TaskState, 0, len(a.tasks))
	for _, t := range a.tasks {
		states = append(states, t.state)
	}
	slices.SortFunc(states, func(x, y api.TaskState) int { return strings.Compare(x.TaskID, y.TaskID) })
	return &api.TaskList{Epoch: a.epoch, Tasks: states}
}

// measure renews the usage report once the lag has passed. The caller holds mu.
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

// fits reports whether more fits next to used.
func fits(used, more, capacity api.Resources) bool {
	sum := add(used, more)
	return sum.Millicores <= capacity.Millicores &&
		sum.MemoryBytes <= capacity.MemoryBytes &&
		sum.Accelerators <= capacity.Accelerators
}
