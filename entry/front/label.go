package front

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/policy"
)

// labelFilter checks that the policy lists the service and class of a request. A
// request without a class gets the default class of its service.
type labelFilter struct {
	policy *policy.ActiveVersion
	now    func() time.Time
}

// Apply implements Filter.
func (f labelFilter) Apply(ctx context.Context, r *Request, next Next) Outcome {
	r.version = f.policy.Current()
	if r.version == nil {
		return unavailable("no-policy", f.now().Add(time.Second), "this entry VM has no policy yet")
	}
	document := r.version.Document
	service, ok := document.Services[r.Service]
	if !ok {
		refused := invalid("service", oneOfKeys(document.Services), "the policy lists no service %q", r.Service)
		refused.Status, refused.Rule = http.StatusNotFound, "services"
		return refused
	}
	if r.Class == "" {
		r.Class = service.Class
	}
	if _, ok := document.Classes[r.Class]; !ok {
		refused := invalid("x-class", oneOfKeys(document.Classes), "the policy lists no class %q", r.Class)
		refused.Rule = "classes"
		return refused
	}
	return next(ctx, r)
}

// oneOfKeys lists the keys of a map in sorted order for an error message.
func oneOfKeys[V any](m map[string]V) string {
	return "one of " + strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}
