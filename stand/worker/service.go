package worker

import (
	"context"
	"time"

	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/reply"
)

// StartTasks starts tasks that fit, unless the command came too late.
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

// RenewTasks extends the leases of running tasks; a lapsed task stays lapsed.
func (a *agent) RenewTasks(_ context.Context, req *api.RenewRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) {
		if req.LeaseDeadline.After(t.state.LeaseDeadline) {
			t.state.LeaseDeadline = req.LeaseDeadline
		}
	})
}

// StopTasks stops running tasks, after a checkpoint if asked for.
func (a *agent) StopTasks(_ context.Context, req *api.StopRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) { t.stop(t.workUpdatedAt, req.Checkpoint) })
}

// ThrottleTasks limits the processor share of running tasks.
func (a *agent) ThrottleTasks(_ context.Context, req *api.ThrottleRequest) (*api.TaskList, error) {
	return a.command(req.Domain, req.Epoch, req.TaskIDs, func(t *task) { t.setThrottle(req.Millicores) })
}

// ListTasks lists running tasks and those ended lately.
func (a *agent) ListTasks(context.Context) (*api.TaskList, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(time.Now())
	return a.list(), nil
}

// GetUsage reports usage as it was up to a lag ago.
func (a *agent) GetUsage(context.Context) (*api.Usage, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.advance(now)
	a.refreshUsage(now)
	report := a.usageReport
	return &report, nil
}

// NewError turns an error into a problem document.
func (a *agent) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}

// command applies a lease holder's command to the named running tasks and lists all tasks.
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
