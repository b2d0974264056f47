package oper

import (
	"context"
	"fmt"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

// defaultHistory is the number of versions that the history returns if the call sets no limit.
const defaultHistory = 20

// handler implements the operators' API.
type handler struct {
	service *Service
}

var _ api.Handler = (*handler)(nil)

// GetPolicy returns the policy version in force on this VM, or ErrNoPolicy.
func (h *handler) GetPolicy(context.Context) (*api.PolicyVersion, error) {
	v := h.service.opts.Policy.Current()
	if v == nil {
		return nil, ErrNoPolicy
	}
	return policyVersion(v), nil
}

// ApplyPolicy writes a new policy version, puts it in force here and sends it to the other VMs.
func (h *handler) ApplyPolicy(ctx context.Context, req *api.PolicyApply) (api.ApplyPolicyRes, error) {
	v, err := h.service.policies.apply(ctx, policyChange{
		expectedVersion: req.ExpectedVersion,
		author:          author(req.Author, operatorName(ctx)),
		reason:          req.Reason,
		text:            req.Document,
	})
	if err != nil {
		return conflictResponse(err)
	}
	h.service.syncer.activate(v)
	return policyVersion(v), nil
}

// author returns the author to record: the name of the token's operator, after the claimed name if
// the call gives a different one.
func author(claimed, tokenName string) string {
	if claimed == "" || claimed == tokenName {
		return tokenName
	}
	return fmt.Sprintf("%s (token of %s)", claimed, tokenName)
}

// GetPolicyHistory returns the accepted versions, newest first, or only the one that the call names.
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

// history reads one version or the newest ones. The error is a *NotFoundError or wraps
// ErrTablesUnavailable.
func (h *handler) history(ctx context.Context, params api.GetPolicyHistoryParams) ([]*policy.Version, error) {
	number, given := params.Version.Get()
	if !given {
		return h.service.policies.history(ctx, params.Limit.Or(defaultHistory))
	}
	v, err := h.service.policies.readVersion(ctx, number)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	if v == nil {
		return nil, &NotFoundError{Resource: fmt.Sprintf("policy version %d", number)}
	}
	return []*policy.Version{v}, nil
}

// Drain starts a graceful shutdown of this VM and returns at once.
func (h *handler) Drain(context.Context) error {
	h.service.opts.Drain()
	return nil
}

func policyVersion(v *policy.Version) *api.PolicyVersion {
	return &api.PolicyVersion{Version: v.Number, Author: v.Author, Reason: v.Reason, AppliedAt: v.AppliedAt, Document: v.Text}
}
