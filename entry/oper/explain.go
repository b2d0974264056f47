package oper

import (
	"context"
	"slices"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/trace"
)

// explainRequest asks a VM for its decisions about a request or job.
type explainRequest struct {
	ID string `cbor:"1,keyasint"`
}

// Kind returns the message kind.
func (explainRequest) Kind() string { return "explain" }

// explainResponse has the decisions that are still in the VM's trace log, oldest first.
type explainResponse struct {
	Decisions []trace.Decision `cbor:"1,keyasint,omitempty"`
}

func (o *Service) handleExplain(_ context.Context, _ peer.Identity, q explainRequest) (explainResponse, error) {
	return explainResponse{Decisions: o.opts.Trace.Find(q.ID)}, nil
}

// Explain returns the decisions of all VMs about a request or job, oldest first by the clocks of the
// VMs that made them. If all VMs answered and none has a decision, the error is a *NotFoundError.
func (h *handler) Explain(ctx context.Context, params api.ExplainParams) (*api.Explanation, error) {
	opts := &h.service.opts
	responses := queryAll[explainResponse](ctx, opts, explainRequest{ID: params.ID})
	decisions := opts.Trace.Find(params.ID)
	for _, response := range responses.byVM {
		decisions = append(decisions, response.Decisions...)
	}
	if len(decisions) == 0 && len(responses.missing) == 0 {
		return nil, &NotFoundError{Resource: "a kept decision about " + params.ID}
	}
	slices.SortStableFunc(decisions, func(a, b trace.Decision) int { return a.At.Compare(b.At) })
	out := &api.Explanation{ID: params.ID, Decisions: make([]api.Decision, 0, len(decisions)), Missing: responses.missing}
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
