package oper

import (
	"context"
	"slices"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/trace"
)

// explainQuestion asks a VM for its decisions about a request or job.
type explainQuestion struct {
	ID string `cbor:"1,keyasint"`
}

// Kind names the message.
func (explainQuestion) Kind() string { return "explain" }

// explainAnswer has the decisions that are still kept, oldest first.
type explainAnswer struct {
	Decisions []trace.Decision `cbor:"1,keyasint,omitempty"`
}

func (o *Operators) handleExplain(_ context.Context, _ peer.Identity, q explainQuestion) (explainAnswer, error) {
	return explainAnswer{Decisions: o.opts.Trace.Find(q.ID)}, nil
}

// Explain returns the decisions of all VMs about a request or job, oldest first
// by the clocks of the VMs that made them.
func (h *handler) Explain(ctx context.Context, params api.ExplainParams) (*api.Explanation, error) {
	opts := &h.operators.opts
	said := askAll[explainAnswer](ctx, opts, explainQuestion{ID: params.ID})
	decisions := opts.Trace.Find(params.ID)
	for _, answer := range said.by {
		decisions = append(decisions, answer.Decisions...)
	}
	if len(decisions) == 0 && len(said.missing) == 0 {
		return nil, &NotFoundError{What: "a kept decision about " + params.ID}
	}
	slices.SortStableFunc(decisions, func(a, b trace.Decision) int { return a.At.Compare(b.At) })
	out := &api.Explanation{ID: params.ID, Decisions: make([]api.Decision, 0, len(decisions)), Missing: said.missing}
	for i := range decisions {
		out.Decisions = append(out.Decisions, decision(&decisions[i]))
	}
	return out, nil
}

func decision(d *trace.Decision) api.Decision {
	return api.Decision{
		At:        d.At,
		VM:        d.VM,
		Step:      d.Step,
		Verdict:   d.Verdict,
		Rule:      optional(d.Rule),
		Exception: optional(d.Exception),
		Detail:    optional(d.Detail),
	}
}
