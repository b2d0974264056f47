package cell

import (
	"context"
	"time"

	"tanagerstack.org/core/engine"
)

const (
	// startTimeout bounds a start command, and stopTimeout a stop command. A worker in another
	// region answers within a thirtieth of that time.
	startTimeout = 900 * time.Millisecond
	// startRetryAfter is how long a start command may stay unanswered before it is sent again.
	// Without a retry, a gang would wait in vain for a member whose start was lost.
	startRetryAfter = 300 * time.Millisecond
	stopTimeout     = 900 * time.Millisecond
	// pollMargin is how long after its wait a poll may take to be answered.
	pollMargin = 600 * time.Millisecond
)

// workerPath sends commands to workers. directPath sends them from this VM, relayLink through a
// relay.
type workerPath interface {
	// start returns the outcome of a start command. repeated is true if the command may reach
	// the worker once more after start returns.
	start(ctx context.Context, command engine.Start) (outcome engine.StartOutcome, repeated bool, err error)
	// stop returns nil once the worker has confirmed the command. The error may be
	// ErrSuperseded.
	stop(ctx context.Context, command engine.Stop) error
	// poll returns the worker's report. The error may be ErrSuperseded.
	poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error)
}

// directPath sends commands from this VM.
type directPath struct{ workers Workers }

// start sends a command, and once more if there is no answer, unless the VM was suspended in
// the meantime: the state that the command is based on may have changed.
func (d directPath) start(ctx context.Context, command engine.Start) (engine.StartOutcome, bool, error) {
	began := time.Now()
	outcome, err := d.tryStart(ctx, command, startRetryAfter)
	if outcome != engine.StartUnknown || isStale(began) {
		return outcome, false, err
	}
	outcome, err = d.tryStart(ctx, command, startTimeout-startRetryAfter)
	return outcomeAfterRetry(outcome), true, err
}

// isStale reports whether more than maxCommandAge has passed since an instant.
func isStale(since time.Time) bool { return elapsed(since, time.Now()) > maxCommandAge }

// elapsed returns the time between two instants, by the monotonic or the wall clock, whichever has
// advanced more: the monotonic clock may stand still while the VM is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

func (d directPath) tryStart(ctx context.Context, command engine.Start, timeout time.Duration) (engine.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.workers.Start(ctx, command)
}

// outcomeAfterRetry returns the outcome of a start command whose first attempt got no answer. A
// worker that refuses the second attempt may have executed the first, or may still do so.
func outcomeAfterRetry(second engine.StartOutcome) engine.StartOutcome {
	if second == engine.StartAccepted {
		return second
	}
	return engine.StartUnknown
}

func (d directPath) stop(ctx context.Context, command engine.Stop) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return d.workers.Stop(ctx, command)
}

func (d directPath) poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	return d.workers.Poll(ctx, request, wait)
}
