package oper

import (
	"context"
	"fmt"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

// defaultHistory is how many versions the history has if the call names no limit.
const defaultHistory = 20

// handler serves the calls of the operators' API.
type handler struct {
	operators *Operators
}

var _ api.Handler = (*handler)(nil)

// GetPolicy returns the version in force on this VM.
func (h *handler) GetPolicy(context.Context) (*api.PolicyVersion, error) {
	v := h.operators.opts.Policy.Current()
	if v == nil {
		return nil, ErrNoPolicy
	}
	return policyVersion(v), nil
}

// ApplyPolicy writes a new version and spreads it.
func (h *handler) ApplyPolicy(ctx context.Context, req *api.PolicyApply) (api.ApplyPolicyRes, error) {
	v, err := h.operators.changer.apply(ctx, change{
		expected: req.ExpectedVersion,
		author:   author(req.Author, operatorName(ctx)),
		reason:   req.Reason,
		text:     req.Document,
	})
	if err != nil {
		return conflictResponse(err)
	}
	h.operators.spreader.offer(v)
	return policyVersion(v), nil
}

// author joins who the caller says that they are with whose token they have.
func author(claimed, tokenName string) string {
	if claimed == "" || claimed == tokenName {
		return tokenName
	}
	return fmt.Sprintf("%s (token of %s)", claimed, tokenName)
}

// GetPolicyHistory returns accepted versions.
func (h *handler) GetPolicyHistory(ctx context.Context, params api.GetPolicyHistoryParams) (*api.PolicyHistory, error) {
	versions, err := h.history(ctx, params)
	if err != nil {
		return nil, err
	}
	out := &api.PolicyHistory{Versions: make([]api.PolicyVersion, 0, len(versions))}
	for _, v := range versions {
		out.Versions = append(out.Versions, *policyVersion(v))
	}
	return out, nil
}

func (h *handler) history(ctx context.Context, params api.GetPolicyHistoryParams) ([]*policy.Version, error) {
	number, one := params.Version.Get()
	if !one {
		return h.operators.changer.history(ctx, params.Limit.Or(defaultHistory))
	}
	v, err := h.operators.changer.readVersion(ctx, number)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	if v == nil {
		return nil, &NotFoundError{What: fmt.Sprintf("policy version %d", number)}
	}
	return []*policy.Version{v}, nil
}

// Drain begins to take this VM out of service.
func (h *handler) Drain(context.Context) error {
	h.operators.opts.Drain()
	return nil
}

func policyVersion(v *policy.Version) *api.PolicyVersion {
	return &api.PolicyVersion{Version: v.Number, Author: v.Author, Reason: v.Reason, AppliedAt: v.AppliedAt, Document: v.Text}
}
