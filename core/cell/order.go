package cell

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

const (
	// lookWait is how long a worker holds a look back until a run ends.
	lookWait = time.Second
	// uncertainPause is the wait between looks while ends wait for their commit:
	// a worker answers at once while it lists any.
	uncertainPause = 200 * time.Millisecond
	// lookRetry is the wait after a look that failed.
	lookRetry = 150 * time.Millisecond
	// askMargin is how long after its cost a question may be answered.
	askMargin = time.Second
)

// startCall sends one start.
type startCall struct {
	leader *leader
	order  engine.Start
}

func (c *startCall) run() {
	began := time.Now()
	outcome, repeated, err := c.leader.dispatch.start(c.leader.ctx, c.order)
	observe(c.leader.node.metrics.start, began)
	c.leader.node.metrics.starts.WithLabelValues(outcome.String()).Inc()
	if err != nil {
		c.leader.node.opts.Logger.Warn("start failed", "task", c.order.Task, "run", c.order.Run, "worker", c.order.Worker, "outcome", outcome, "error", err)
	}
	c.leader.apply(engine.StartAnswered{Worker: c.order.Worker, Task: c.order.Task, Run: c.order.Run, Outcome: outcome, Repeated: repeated})
}

// stopCall sends one stop.
type stopCall struct {
	leader *leader
	order  engine.Stop
}

func (c *stopCall) run() {
	err := c.leader.dispatch.stop(c.leader.ctx, c.order)
	c.leader.node.metrics.stops.WithLabelValues(outcomeOf(err)).Inc()
	if err != nil {
		c.leader.node.opts.Logger.Warn("stop failed", "task", c.order.Task, "run", c.order.Run, "worker", c.order.Worker, "error", err)
	}
	c.leader.apply(engine.StopAnswered{Worker: c.order.Worker, Task: c.order.Task, Run: c.order.Run, Confirmed: err == nil})
}

// askCall passes one question to the adviser, through the VM that is to ask it.
type askCall struct {
	leader *leader
	ask    engine.AdviceRequest
}

func (c *askCall) run() {
	ctx, cancel := context.WithTimeout(c.leader.ctx, 2*c.ask.Cost+askMargin)
	defer cancel()
	began := time.Now()
	answer, err := c.leader.askThrough(ctx, c.ask)
	observe(c.leader.node.metrics.question, began)
	c.leader.node.metrics.questions.WithLabelValues(outcomeOf(err)).Inc()
	event := engine.AdviceAnswered{Step: c.ask.Step, Proxy: c.ask.Proxy, Workers: c.ask.Workers, Cost: c.ask.Cost, Elapsed: time.Since(began)}
	if err != nil {
		c.leader.node.opts.Logger.Warn("advice failed", "step", c.ask.Step, "helper", c.ask.Proxy, "error", err)
		event.Failed = true
		event.Overloaded = errors.Is(err, ErrOverloaded)
	}
	event.Tickets, event.Valid = answer.Tickets, answer.ValidFor
	c.leader.apply(event)
}

// looker looks at one worker again and again.
type looker struct {
	leader *leader
	worker string
	// looked says that a look of this loop succeeded.
	looked bool
}

func (k *looker) run(ctx context.Context) {
	for ctx.Err() == nil {
		order, ok := k.order()
		if !ok {
			return
		}
		if order.AcksPending {
			k.leader.records.wait(ctx, uncertainPause)
			order, ok = k.order()
		}
		if !ok {
			return
		}
		k.look(ctx, order)
	}
}

// order returns the next look, and ends the loop for a worker that needs none.
func (k *looker) order() (engine.PollRequest, bool) {
	k.leader.mu.Lock()
	defer k.leader.mu.Unlock()
	order, ok := k.leader.engine.NextPoll(time.Now(), k.worker)
	if !ok {
		delete(k.leader.looks, k.worker)
		k.leader.dispatch.forget(k.worker)
	}
	return order, ok
}

func (k *looker) look(ctx context.Context, order engine.PollRequest) {
	wait := lookWait
	if order.LeaseUntil == 0 || order.AcksPending {
		wait = 0
	}
	sent := time.Now()
	report, err := k.leader.dispatch.look(ctx, order, wait)
	k.leader.node.metrics.looks.WithLabelValues(outcomeOf(err)).Inc()
	if err == nil {
		k.noteReached(true, nil)
		k.leader.apply(engine.WorkerPolled{Worker: k.worker, Sent: sent, Report: report})
		return
	}
	if ctx.Err() != nil {
		return
	}
	k.noteReached(false, err)
	k.leader.apply(engine.PollFailed{Worker: k.worker, Superseded: errors.Is(err, ErrSuperseded), Fence: order.Fence})
	store.Sleep(ctx, lookRetry)
}

// noteReached logs a worker that was lost or regained.
func (k *looker) noteReached(reached bool, err error) {
	if reached == k.looked {
		return
	}
	k.looked = reached
	if reached {
		k.leader.node.opts.Logger.Info("worker reached", "worker", k.worker)
		return
	}
	k.leader.node.opts.Logger.Warn("worker lost", "worker", k.worker, "error", err)
}
