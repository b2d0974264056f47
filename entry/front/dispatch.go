package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerstack.org/core/api/target"
	"tanagerstack.org/core/route"
	"tanagerstack.org/core/trace"
)

// dispatcher is the end of the chain. It sends a request to the target in r.slot.
type dispatcher struct {
	now       func() time.Time
	claims    *claims
	clockSkew time.Duration
	metrics   *metrics
	trace     *trace.Log
	// markTargetLeaving reports to the roster and the pool that a target is leaving.
	markTargetLeaving func(service, name string)
}

// Dispatch implements Next. It sets r.attemptResult.
func (d *dispatcher) Dispatch(ctx context.Context, r *Request) Outcome {
	conn, err := r.slot.conns.take()
	if err != nil {
		return d.notSent(r, err)
	}
	outcome := d.sendOver(ctx, r, conn)
	r.slot.conns.put(conn)
	d.traceAttempt(r)
	return outcome
}

// traceAttempt adds the result of an attempt to the decision trace.
func (d *dispatcher) traceAttempt(r *Request) {
	if d.trace == nil {
		return
	}
	d.trace.Add(r.ID, trace.Decision{
		At:      d.now(),
		Step:    "dispatch",
		Verdict: verdict(r.attemptResult),
		Detail:  "target " + r.slot.target,
	})
}

// verdict returns the name of an attempt's result for the decision trace.
func verdict(result route.Result) string {
	switch result.(type) {
	case route.Succeeded:
		return "succeeded"
	case route.Unused:
		return "claim-not-held"
	case route.NotSent:
		return "not-sent"
	case route.Rejected:
		return "not-run"
	case route.Failed:
		return "failed"
	default:
		return "lost"
	}
}

// sendOver sends the request over a connection after verifying that the target
// responds on it and securing the claim.
func (d *dispatcher) sendOver(ctx context.Context, r *Request, conn *targetConn) Outcome {
	maxAge := verifiedFor
	if !r.Idempotent {
		maxAge = verifiedForNonIdempotent
	}
	state, err := conn.verify(ctx, d.now(), maxAge)
	if err != nil {
		return d.notSent(r, err)
	}
	if state != nil && state.Leaving {
		return d.leaving(r)
	}
	if outcome := d.claims.secure(ctx, r); outcome != nil {
		r.attemptResult = route.Unused{}
		return outcome
	}
	started := d.now()
	if r.startedAt.IsZero() {
		r.startedAt = started
	}
	d.metrics.sent.Add(1)
	body, problem, err := conn.send(ctx, r)
	ended := d.now()
	switch {
	case err != nil:
		return d.failed(r, conn, err, ended.Sub(started))
	case problem != nil:
		conn.verifiedAt = ended
		return d.rejected(r, problem)
	}
	conn.verifiedAt = ended
	r.attemptResult = route.Succeeded{Took: ended.Sub(started)}
	return Completed{Body: body}
}

// notSent returns the outcome of an attempt that sent no byte of the request.
func (d *dispatcher) notSent(r *Request, err error) Outcome {
	d.metrics.notSent.Add(1)
	r.attemptResult = route.NotSent{}
	return unavailable("target-unreachable", d.now(), "target %s: %s", r.slot.target, err)
}

// rejected returns the outcome of an attempt whose target reported that it did not
// run the request.
func (d *dispatcher) rejected(r *Request, problem *target.Problem) Outcome {
	if problem.Reason.Value == "leaving" {
		return d.leaving(r)
	}
	r.attemptResult = route.Rejected{}
	return unavailable("target-refused", d.now(), "target %s: %s", r.slot.target, problem.Detail)
}

// leaving returns the outcome of an attempt whose target is leaving.
func (d *dispatcher) leaving(r *Request) Outcome {
	d.markTargetLeaving(r.Service, r.slot.target)
	r.attemptResult = route.Rejected{}
	return unavailable("target-leaving", d.now(), "target %s is leaving", r.slot.target)
}

// failed returns the outcome of an attempt that ended in an error: Refused if no byte
// was sent, Unknown otherwise.
func (d *dispatcher) failed(r *Request, conn *targetConn, err error, took time.Duration) Outcome {
	conn.verifiedAt = time.Time{}
	var send *sendError
	if !errors.As(err, &send) {
		send = &sendError{sent: true, err: err}
	}
	switch {
	case !send.sent:
		return d.notSent(r, err)
	case send.answered:
		r.attemptResult = route.Failed{}
	default:
		d.metrics.lost.Add(1)
		inconclusive := errors.Is(err, context.DeadlineExceeded) && took < minAttemptFactor*r.slot.expected
		r.attemptResult = route.Lost{Until: r.NotAfter.Add(d.clockSkew), Inconclusive: inconclusive}
	}
	return Unknown{Detail: fmt.Sprintf("target %s: %s", r.slot.target, err)}
}
