package front

import (
	"context"
	"net/http"
	"time"
)

// windowFilter checks the end of the window that the caller set. If the caller set none, the
// window is the default of the class, but at most the longest that the limits allow.
type windowFilter struct {
	now       func() time.Time
	clockSkew time.Duration
}

// Apply implements Filter.
func (f windowFilter) Apply(ctx context.Context, r *Request, next Next) Outcome {
	now := f.now()
	document := r.version.Document
	limits, exception := document.Limits(r.Caller, r.Class, r.Service, now)
	r.exception = exception
	longest := time.Duration(limits.Window)
	if r.NotAfter.IsZero() {
		window := min(time.Duration(document.Classes[r.Class].Window), longest)
		r.NotAfter = r.ArrivedAt.Add(window)
		return next(ctx, r)
	}
	accepted := "after " + now.UTC().Format(time.RFC3339Nano) + " and at most " + longest.String() + " later"
	if !r.NotAfter.After(now) {
		refused := invalid("x-not-after", accepted, "the window ended at %s", r.NotAfter.UTC().Format(time.RFC3339Nano))
		refused.Status = http.StatusBadRequest
		return refused
	}
	if r.NotAfter.After(now.Add(longest + f.clockSkew)) {
		refused := invalid("x-not-after", accepted, "the window ends in %s", r.NotAfter.Sub(now))
		refused.Rule = "window"
		return refused
	}
	return next(ctx, r)
}
