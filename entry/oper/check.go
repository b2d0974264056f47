package oper

import (
	"context"
	"fmt"
	"maps"
	"slices"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/policy"
)

// CheckPolicy reports what a document would change without applying it: its warnings, its
// differences from the policy in force, and for each caller and class the least number of
// requests of the last hour that it would have refused.
func (h *handler) CheckPolicy(ctx context.Context, req *api.PolicyApply) (*api.PolicyCheck, error) {
	doc, err := policy.Decode(req.Document)
	if err != nil {
		return nil, err
	}
	o := h.service
	now := o.opts.Now()
	merged := o.collectBurn(ctx, true)
	out := &api.PolicyCheck{Warnings: doc.Lint(now), Refusals: []api.RefusalForecast{}, Missing: merged.missing}
	out.Warnings = append(out.Warnings, o.domainWarnings(doc)...)
	before := make(map[[2]string]int64)
	if v := o.opts.Policy.Current(); v != nil {
		out.CurrentVersion = api.NewOptInt64(v.Number)
		out.Difference = optional(policy.Diff(v.Text, req.Document))
		for _, f := range burn.Predict(merged.snapshot, v.Document, now) {
			before[[2]string{f.Caller, f.Class}] = f.Refused()
		}
	}
	for _, f := range burn.Predict(merged.snapshot, doc, now) {
		out.Refusals = append(out.Refusals, refusalForecast(f, before[[2]string{f.Caller, f.Class}]))
	}
	if out.Warnings == nil {
		out.Warnings = []string{}
	}
	return out, nil
}

// refusalForecast converts f. The number of requests that the policy in force would have refused is
// refusedBefore.
func refusalForecast(f burn.Forecast, refusedBefore int64) api.RefusalForecast {
	out := api.RefusalForecast{Caller: f.Caller, Class: f.Class, Requests: f.Requests, Refused: f.Refused(), RefusedBefore: api.NewOptInt64(refusedBefore)}
	if f.OverRate > 0 {
		out.Limits = append(out.Limits, "requests-per-second")
	}
	if f.OverBodyBytes > 0 {
		out.Limits = append(out.Limits, "body-bytes")
	}
	if f.OverWindow > 0 {
		out.Limits = append(out.Limits, "window")
	}
	return out
}

// domainWarnings returns a warning for each caller whose home failure domain has no known entry VM.
func (o *Service) domainWarnings(doc *policy.Document) []string {
	domains := make(map[string]bool)
	for _, vm := range o.fleet() {
		domains[vm.Domain] = true
	}
	var warnings []string
	for _, name := range slices.Sorted(maps.Keys(doc.Callers)) {
		if caller := doc.Callers[name]; !domains[caller.Domain] {
			warnings = append(warnings, fmt.Sprintf("caller %s has its home in %s, where no entry VM is known", name, caller.Domain))
		}
	}
	return warnings
}
