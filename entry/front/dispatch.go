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

// dispatcher ends the chain: it sends a request to the target whose slot it has.
type dispatcher struct {
	now       func() time.Time
	claims    *claims
	clockSkew time.Duration
	metrics   *metrics
	trace     *trace.Log
	// noteLeaving tells the membership and the pool that a target is leaving.
	noteLeaving func(service, name string)
}

// Dispatch is a Next. It sets r.attempt.
func (d *dispatcher) Dispatch(ctx context.Context, r *Request) Outcome {
	used, err := r.slot.lanes.take()
	if err != nil {
		return d.notSent(r, err)
	}
	outcome := d.over(ctx, r, used)
	r.slot.lanes.put(used)
	d.explain(r)
	return outcome
}

// explain records how an attempt ended.
func (d *dispatcher) explain(r *Request) {
	if d.trace == nil {
		return
	}
	d.trace.Add(r.ID, trace.Decision{
		At:      d.now(),
		Step:    "dispatch",
		Verdict: verdict(r.attempt),
		Detail:  "target " + r.slot.target,
	})
}

// verdict names the end of an attempt.
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

// over sends the request over a lane, once the target is known to live and the
// claim to be safe.
func (d *dispatcher) over(ctx context.Context, r *Request, used *lane) Outcome {
	trusted := provenFor
	if !r.Idempotent {
		trusted = provenForClaim
	}
	state, err := used.prove(ctx, d.now(), trusted)
	if err != nil {
		return d.notSent(r, err)
	}
	if state != nil && state.Leaving {
		return d.leaving(r)
	}
	if outcome := d.claims.secure(ctx, r); outcome != nil {
		r.attempt = route.Unused{}
		return outcome
	}
	started := d.now()
	if r.startedAt.IsZero() {
		r.startedAt = started
	}
	d.metrics.sent.Add(1)
	body, problem, err := used.serve(ctx, r)
	ended := d.now()
	switch {
	case err != nil:
		return d.failed(r, used, err, ended.Sub(started))
	case problem != nil:
		used.provenAt = ended
		return d.rejected(r, problem)
	}
	used.provenAt = ended
	r.attempt = route.Succeeded{Took: ended.Sub(started)}
	return Completed{Body: body}
}

// notSent is the outcome when no byte of the request reached the target.
func (d *dispatcher) notSent(r *Request, err error) Outcome {
	d.metrics.notSent.Add(1)
	r.attempt = route.NotSent{}
	return unavailable("target-unreachable", d.now(), "target %s: %s", r.slot.target, err)
}

// rejected is the outcome when the target says that it did not run the request.
func (d *dispatcher) rejected(r *Request, problem *target.Problem) Outcome {
	if problem.Reason.Value == "leaving" {
		return d.leaving(r)
	}
	r.attempt = route.Rejected{}
	return unavailable("target-refused", d.now(), "target %s: %s", r.slot.target, problem.Detail)
}

func (d *dispatcher) leaving(r *Request) Outcome {
	d.noteLeaving(r.Service, r.slot.target)
	r.attempt = route.Rejected{}
	return unavailable("target-leaving", d.now(), "target %s is leaving", r.slot.target)
}

// failed is the outcome when the request may have reached the target.
func (d *dispatcher) failed(r *Request, used *lane, err error, took time.Duration) Outcome {
	used.provenAt = time.Time{}
	var send *sendError
	if !errors.As(err, &send) {
		send = &sendError{sent: true, err: err}
	}
	switch {
	case !send.sent:
		return d.notSent(r, err)
	case send.answered:
		r.attempt = route.Failed{}
	default:
		d.metrics.lost.Add(1)
		hurried := errors.Is(err, context.DeadlineExceeded) && took < patience*r.slot.expected
		r.attempt = route.Lost{Until: r.NotAfter.Add(d.clockSkew), Inconclusive: hurried}
	}
	return Unknown{Detail: fmt.Sprintf("target %s: %s", r.slot.target, err)}
}
