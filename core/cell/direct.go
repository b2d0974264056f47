package cell

import (
	"context"
	"time"

	"tanagerstack.org/core/engine"
)

const (
	// startTimeout bounds a start, and stopTimeout a stop. A worker in another
	// region answers in a thirtieth of it.
	startTimeout = 900 * time.Millisecond
	// startRepeat is how long a start may go unanswered before it is sent again. The
	// gang that a lost start belongs to would wait for it in vain.
	startRepeat = 300 * time.Millisecond
	stopTimeout = 900 * time.Millisecond
	// lookMargin is how long after its wait the answer to a look may take.
	lookMargin = 600 * time.Millisecond
)

// path carries orders to workers: directWay from this VM, relayLink through another.
type path interface {
	// start returns what became of an order to start, and whether the order may reach
	// the worker once more after this.
	start(ctx context.Context, order engine.Start) (outcome engine.StartOutcome, repeated bool, err error)
	// stop returns nil once the worker has confirmed the order, or ErrSuperseded.
	stop(ctx context.Context, order engine.Stop) error
	// look returns the worker's report. The error may be ErrSuperseded.
	look(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error)
}

// directWay sends orders from this VM.
type directWay struct{ workers Workers }

// start sends an order, and once more if there is no answer, unless this VM stood still
// meanwhile: what the order rests on may have changed.
func (d directWay) start(ctx context.Context, order engine.Start) (engine.StartOutcome, bool, error) {
	began := time.Now()
	outcome, err := d.tryStart(ctx, order, startRepeat)
	if outcome != engine.StartUnknown || isHeld(began) {
		return outcome, false, err
	}
	outcome, err = d.tryStart(ctx, order, startTimeout-startRepeat)
	return settledStart(outcome), true, err
}

// isHeld reports whether an order was held for too long since an instant. The VM may have
// stood still: its steady clock may not have counted that time, the time of day has.
func isHeld(since time.Time) bool {
	return time.Since(since) > orderHold || time.Now().Round(0).Sub(since.Round(0)) > orderHold
}

func (d directWay) tryStart(ctx context.Context, order engine.Start, timeout time.Duration) (engine.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.workers.Start(ctx, order)
}

// settledStart returns what is known of a start whose first sending got no answer. A
// worker that refuses the second may have carried out the first, or may do so yet.
func settledStart(second engine.StartOutcome) engine.StartOutcome {
	if second == engine.StartAccepted {
		return second
	}
	return engine.StartUnknown
}

func (d directWay) stop(ctx context.Context, order engine.Stop) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return d.workers.Stop(ctx, order)
}

func (d directWay) look(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+lookMargin)
	defer cancel()
	return d.workers.Poll(ctx, order, wait)
}
