package front

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/trace"
)

// Jobs accepts, reports and cancels jobs.
type Jobs interface {
	Submit(ctx context.Context, callerName string, spec *caller.JobSpec) (*caller.Job, error)
	Get(ctx context.Context, callerName, id string) (*caller.Job, error)
	Cancel(ctx context.Context, callerName, id string) (*caller.Job, error)
}

// api implements the generated handler.
type api struct{ front *Front }

var _ caller.Handler = api{}

// SendRequest runs a service request through the chain.
func (a api) SendRequest(ctx context.Context, req caller.SendRequestReq, params caller.SendRequestParams) (*caller.SendRequestOKHeaders, error) {
	f := a.front
	r := &Request{
		Caller:     callerName(ctx),
		Service:    params.Service,
		ID:         params.XRequestID,
		Class:      params.XClass.Value,
		Idempotent: params.XIdempotent.Value,
		origin:     fromCaller,
		ArrivedAt:  f.now(),
		NotAfter:   params.XNotAfter.Value,
		input:      req.Data,
		inputBytes: inputBytes(ctx),
	}
	outcome := f.serve(ctx, r)
	if completed, ok := outcome.(Completed); ok {
		return &caller.SendRequestOKHeaders{
			XRequestID: r.ID,
			Response:   caller.SendRequestOK{Data: bytes.NewReader(completed.Body)},
		}, nil
	}
	return nil, problemOf(outcome, r.ID)
}

// serve runs a request and records its outcome.
func (f *Front) serve(ctx context.Context, r *Request) Outcome {
	if !f.gate.enter() {
		return f.drainingRefusal()
	}
	defer f.gate.leave()
	outcome := f.callerChain(ctx, r)
	f.record(r, outcome)
	return outcome
}

// record notes the outcome for the metrics, the burn report and explanations.
func (f *Front) record(r *Request, outcome Outcome) {
	now := f.now()
	sample := burn.Sample{
		Caller:    r.Caller,
		Class:     r.Class,
		ArrivedAt: r.ArrivedAt,
		StartedAt: r.startedAt,
		EndedAt:   now,
		NotAfter:  r.NotAfter,
		BodyBytes: int64(len(r.Body)),
	}
	decision := trace.Decision{At: now, Step: "answer", Exception: r.exception}
	switch o := outcome.(type) {
	case Completed:
		f.metrics.completed.Add(1)
		sample.Outcome, decision.Verdict = burn.Completed, "completed"
		decision.Detail = "after " + now.Sub(r.ArrivedAt).String()
	case Refused:
		f.metrics.refused.Add(1)
		sample.Outcome, decision.Verdict = burn.Refused, "refused"
		decision.Rule, decision.Detail = o.Rule, o.Reason+": "+o.Detail
	case Unknown:
		f.metrics.unknown.Add(1)
		sample.Outcome, decision.Verdict = burn.Ambiguous, "unknown"
		decision.Detail = o.Detail
	}
	if r.joined {
		decision.Detail = "outcome of the first request with this identifier; " + decision.Detail
	}
	if f.opts.Burn != nil {
		f.opts.Burn.Observe(sample)
	}
	if f.opts.Trace != nil {
		f.opts.Trace.Add(r.ID, decision)
	}
}

// SubmitJob accepts a job.
func (a api) SubmitJob(ctx context.Context, spec *caller.JobSpec) (*caller.Job, error) {
	if !a.front.gate.enter() {
		return nil, problemOf(a.front.drainingRefusal(), spec.Name)
	}
	defer a.front.gate.leave()
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Submit(ctx, callerName(ctx), spec)
}

// GetJob reports a job.
func (a api) GetJob(ctx context.Context, params caller.GetJobParams) (*caller.Job, error) {
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Get(ctx, callerName(ctx), params.ID)
}

// CancelJob cancels a job.
func (a api) CancelJob(ctx context.Context, params caller.CancelJobParams) (*caller.Job, error) {
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Cancel(ctx, callerName(ctx), params.ID)
}

// NewError turns errors into problem documents.
func (a api) NewError(_ context.Context, err error) *caller.ProblemStatusCode {
	if p := problemOfJob(err); p != nil {
		return p
	}
	return problemOfError(err)
}

func (a api) jobs() (Jobs, error) {
	if a.front.opts.Jobs == nil {
		return nil, errNoJobs
	}
	return a.front.opts.Jobs, nil
}

// errNoJobs means that this entry VM has no scheduler.
var errNoJobs = errors.New("this entry VM takes no jobs")

// bodyLengthKey is the context key of the declared length of a body.
type bodyLengthKey struct{}

// inputBytes returns the declared length of the body, or -1.
func inputBytes(ctx context.Context) int64 {
	length, ok := ctx.Value(bodyLengthKey{}).(int64)
	if !ok {
		return -1
	}
	return length
}

// boundReading wraps the generated server: a body must arrive within one longest
// window, and its declared length goes to the limits filter. Connections end
// with the drain.
func (f *Front) boundReading(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		longest := f.claims.longestWindow()
		if longest > 0 {
			// Not all writers have deadlines; those of tests do without.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(longest))
		}
		if f.gate.isDraining() {
			// The caller's next request goes to another entry VM.
			w.Header().Set("Connection", "close")
		}
		ctx := context.WithValue(r.Context(), bodyLengthKey{}, r.ContentLength)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
