package cell

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

const (
	// pollWait is how long a worker may hold back the answer to a poll until a run ends.
	pollWait = time.Second
	// commitWait bounds the time between polls of a worker whose results wait to be committed.
	// A worker that lists unacknowledged results answers polls at once.
	commitWait = 200 * time.Millisecond
	// pollRetryInterval is the wait after a poll that failed.
	pollRetryInterval = 150 * time.Millisecond
	// adviceMargin is added to twice the expected duration of an advice request to bound it.
	adviceMargin = time.Second
)

// startCall sends one start command.
type startCall struct {
	leader  *leader
	command engine.Start
}

func (c *startCall) run() {
	began := time.Now()
	outcome, repeated, err := c.leader.dispatch.start(c.leader.ctx, c.command)
	observeSince(c.leader.node.metrics.start, began)
	c.leader.node.metrics.starts.WithLabelValues(outcome.String()).Inc()
	if err != nil {
		c.leader.node.opts.Logger.Warn("start failed", "task", c.command.Task, "run", c.command.Run, "worker", c.command.Worker, "outcome", outcome, "error", err)
	}
	c.leader.apply(engine.StartAnswered{Worker: c.command.Worker, Task: c.command.Task, Run: c.command.Run, Outcome: outcome, Repeated: repeated})
}

// stopCall sends one stop command.
type stopCall struct {
	leader  *leader
	command engine.Stop
}

func (c *stopCall) run() {
	err := c.leader.dispatch.stop(c.leader.ctx, c.command)
	c.leader.node.metrics.stops.WithLabelValues(outcomeOf(err)).Inc()
	if err != nil {
		c.leader.node.opts.Logger.Warn("stop failed", "task", c.command.Task, "run", c.command.Run, "worker", c.command.Worker, "error", err)
	}
	c.leader.apply(engine.StopAnswered{Worker: c.command.Worker, Task: c.command.Task, Run: c.command.Run, Confirmed: err == nil})
}

// adviceCall sends one advice request, through the VM that the engine chose as its proxy.
type adviceCall struct {
	leader  *leader
	request engine.AdviceRequest
}

func (c *adviceCall) run() {
	ctx, cancel := context.WithTimeout(c.leader.ctx, 2*c.request.Cost+adviceMargin)
	defer cancel()
	began := time.Now()
	answer, err := c.leader.requestAdvice(ctx, c.request)
	observeSince(c.leader.node.metrics.advice, began)
	c.leader.node.metrics.adviceRequests.WithLabelValues(outcomeOf(err)).Inc()
	event := engine.AdviceAnswered{Step: c.request.Step, Proxy: c.request.Proxy, Workers: c.request.Workers, Cost: c.request.Cost, Elapsed: time.Since(began)}
	if err != nil {
		c.leader.node.opts.Logger.Warn("advice request failed", "step", c.request.Step, "helper", c.request.Proxy, "error", err)
		event.Failed = true
		event.Overloaded = errors.Is(err, ErrOverloaded)
	}
	c.leader.node.noteUnreadable("ticket", c.request.Step.String(), answer.Skipped, nil)
	event.Tickets, event.Valid = answer.Tickets, answer.ValidFor
	c.leader.apply(event)
}

// poller polls one worker repeatedly.
type poller struct {
	leader *leader
	worker string
	// reached is true while the last poll succeeded.
	reached bool
}

func (k *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		request, ok := k.nextRequest()
		if !ok {
			return
		}
		if request.AcksPending {
			k.leader.records.waitForCommit(ctx, commitWait)
			request, ok = k.nextRequest()
		}
		if !ok {
			return
		}
		k.poll(ctx, request)
	}
}

// nextRequest returns the next poll request. It returns false and removes the poller if the
// worker needs no more polls.
func (k *poller) nextRequest() (engine.PollRequest, bool) {
	k.leader.mu.Lock()
	defer k.leader.mu.Unlock()
	request, ok := k.leader.engine.NextPoll(time.Now(), k.worker)
	if !ok {
		delete(k.leader.pollers, k.worker)
		k.leader.dispatch.forgetWorker(k.worker)
	}
	return request, ok
}

func (k *poller) poll(ctx context.Context, request engine.PollRequest) {
	wait := pollWait
	if request.LeaseUntil == 0 || request.AcksPending || request.Recheck {
		wait = 0
	}
	sent := time.Now()
	report, err := k.leader.dispatch.poll(ctx, request, wait)
	k.leader.node.metrics.polls.WithLabelValues(outcomeOf(err)).Inc()
	if err == nil {
		k.noteReached(true, nil)
		k.leader.node.noteUnreadable("run", k.worker, report.Skipped, nil)
		k.leader.apply(engine.WorkerPolled{Worker: k.worker, Sent: sent, Fence: request.Fence, Report: report})
		return
	}
	if ctx.Err() != nil {
		return
	}
	k.noteReached(false, err)
	k.leader.apply(engine.PollFailed{Worker: k.worker, Superseded: errors.Is(err, ErrSuperseded), Fence: request.Fence})
	store.Sleep(ctx, pollRetryInterval)
}

// noteReached logs whether the worker was lost or reached, if that has changed.
func (k *poller) noteReached(reached bool, err error) {
	if reached == k.reached {
		return
	}
	k.reached = reached
	if reached {
		k.leader.node.opts.Logger.Info("worker reached", "worker", k.worker)
		return
	}
	k.leader.node.opts.Logger.Warn("worker lost", "worker", k.worker, "error", err)
}
