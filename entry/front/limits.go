package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerstack.org/core/admit"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
)

// limitsFilter enforces the limits of each caller and reads the body.
type limitsFilter struct {
	gate   *admit.Gate
	roster func() *roster.View
	burn   *burn.Recorder
	now    func() time.Time
}

// Apply implements Filter.
func (f limitsFilter) Apply(ctx context.Context, r *Request, next Next) Outcome {
	now := f.now()
	limits, _ := r.version.Document.Limits(r.Caller, r.Class, r.Service, now)
	if limits.BodyBytes > 0 && r.declaredBytes > limits.BodyBytes {
		return f.oversized(r, limits)
	}
	bounds := admit.CallerLimits{
		RequestsPerSecond: limits.RequestsPerSecond / float64(liveVMs(f.roster())),
		Burst:             limits.Burst,
		Concurrent:        limits.Concurrent,
	}
	if refusal := f.gate.Enter(now, r.Caller, bounds); refusal != nil {
		f.recordLimitHit(r.Caller, refusal.Rule)
		return Refused{
			Status:  http.StatusTooManyRequests,
			Reason:  refusal.Reason,
			Detail:  refusal.Detail,
			Rule:    refusal.Rule,
			RetryAt: refusal.RetryAt,
		}
	}
	defer f.gate.Leave(r.Caller)
	if refused := f.readBody(r, limits); refused != nil {
		return *refused
	}
	return next(ctx, r)
}

// readBody reads the complete body into r.Body. It refuses the request if the body is
// truncated or exceeds the limit. A limit of 0 means no limit.
func (f limitsFilter) readBody(r *Request, limits policy.Limits) *Refused {
	input := r.bodyReader
	if limits.BodyBytes > 0 {
		input = io.LimitReader(input, limits.BodyBytes+1)
	}
	body, err := io.ReadAll(input)
	if err != nil {
		refused := invalid("body", "a whole body", "reading the body: %s", bodyError(err))
		return &refused
	}
	if limits.BodyBytes > 0 && int64(len(body)) > limits.BodyBytes {
		refused := f.oversized(r, limits)
		return &refused
	}
	r.Body, r.bodyReader = body, nil
	return nil
}

func (f limitsFilter) oversized(r *Request, limits policy.Limits) Refused {
	f.recordLimitHit(r.Caller, "body-bytes")
	return Refused{
		Status:   http.StatusRequestEntityTooLarge,
		Reason:   "body-too-large",
		Detail:   fmt.Sprintf("the body is larger than %d bytes", limits.BodyBytes),
		Field:    "body",
		Accepted: fmt.Sprintf("0 to %d bytes", limits.BodyBytes),
		Rule:     "body-bytes",
	}
}

func (f limitsFilter) recordLimitHit(caller, rule string) {
	if f.burn != nil {
		f.burn.RecordLimitHit(caller, rule)
	}
}

// bodyError returns the text of a read error for the caller.
func bodyError(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "it ended early"
	}
	return err.Error()
}

// liveVMs returns the number of live entry VMs, among which the callers' request rates
// are divided. It is at least 1.
func liveVMs(view *roster.View) int {
	live := 0
	if view != nil {
		for i := range view.VMs {
			if view.VMs[i].State == roster.Live {
				live++
			}
		}
	}
	return max(1, live)
}
