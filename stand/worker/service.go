package worker

import (
	"context"
	"time"

	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/reply"
)

// StartTasks starts the tasks that fit in the free capacity. It refuses all of them if the request
// arrives after its start-before time.
func (a *agent) StartTasks(_ context.Context, req *api.StartRequest) (*api.StartReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkCommand(req.Domain, req.Epoch); err != nil {
		return nil, err
	}
	now := time.Now()
	a.advance(now)
	results := make([]api.StartResult, 0, len(req.Tasks))
	for i := range req.Tasks {
		if now.After(req.StartBefore) {
			results = append(results, a.refuse(&req.Tasks[i], "start-before-passed"))
			continue
		}
		results = append(results, a.start(&req.Tasks[i], now))
	}
	return &api.StartReply{Results: results}, nil
}

// RenewTasks extends the leases of running tasks. An expired task is not revived, and a lease is
// never shortened.
func (a *agent) RenewTasks(_ context.Context, req *api.RenewRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) {
		if req.LeaseDeadline.After(t.state.LeaseDeadline) {
			t.state.LeaseDeadline = req.LeaseDeadline
		}
	})
}

// StopTasks stops running tasks and saves a checkpoint of each if requested.
func (a *agent) StopTasks(_ context.Context, req *api.StopRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) { t.stop(t.workUpdatedAt, req.Checkpoint) })
}

// ThrottleTasks limits the processor usage of running tasks, in millicores. Zero removes the limit.
func (a *agent) ThrottleTasks(_ context.Context, req *api.ThrottleRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) { t.setThrottle(req.Millicores) })
}

// ListTasks returns the running tasks and those that ended within endedRetention.
func (a *agent) ListTasks(context.Context) (*api.TaskList, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(time.Now())
	return a.list(), nil
}

// GetUsage returns a usage report that is less than usageLag old.
func (a *agent) GetUsage(context.Context) (*api.Usage, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.advance(now)
	a.refreshUsage(now)
	report := a.usageReport
	return &report, nil
}

// NewError converts an error to an RFC 9457 problem document.
func (a *agent) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}

// command applies a request of a lease holder to the given tasks that are running, and returns all
// tasks.
func (a *agent) command(domain string, epoch int64, ids []string, change func(*task)) (*api.TaskList, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkCommand(domain, epoch); err != nil {
		return nil, err
	}
	a.advance(time.Now())
	a.applyToRunning(ids, change)
	return a.list(), nil
}
