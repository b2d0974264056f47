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

// Jobs submits, looks up and cancels jobs on behalf of callers.
type Jobs interface {
	Submit(ctx context.Context, callerName string, spec *caller.JobSpec) (*caller.Job, error)
	Get(ctx context.Context, callerName, id string) (*caller.Job, error)
	Cancel(ctx context.Context, callerName, id string) (*caller.Job, error)
}

// api implements the handler interface generated from the callers' API document.
type api struct{ front *Front }

var _ caller.Handler = api{}

// SendRequest passes a service request through the filter chain.
func (a api) SendRequest(ctx context.Context, req caller.SendRequestReq, params caller.SendRequestParams) (*caller.SendRequestOKHeaders, error) {
	f := a.front
	r := &Request{
		Caller:        callerName(ctx),
		Service:       params.Service,
		ID:            params.XRequestID,
		Class:         params.XClass.Value,
		Idempotent:    params.XIdempotent.Value,
		origin:        fromCaller,
		ArrivedAt:     f.now(),
		NotAfter:      params.XNotAfter.Value,
		bodyReader:    req.Data,
		declaredBytes: declaredBodyLength(ctx),
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

// serve runs a request from a caller and records its outcome. It refuses the
// request if this VM is draining.
func (f *Front) serve(ctx context.Context, r *Request) Outcome {
	if !f.inFlight.begin() {
		return f.drainingRefusal()
	}
	defer f.inFlight.end()
	outcome := f.callerChain(ctx, r)
	f.record(r, outcome)
	return outcome
}

// record adds the outcome to the metrics, the burn-rate recorder and the decision trace.
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
	if r.duplicate {
		decision.Detail = "outcome of the first request with this identifier; " + decision.Detail
	}
	if f.opts.Burn != nil {
		f.opts.Burn.Observe(sample)
	}
	if f.opts.Trace != nil {
		f.opts.Trace.Add(r.ID, decision)
	}
}

// SubmitJob submits a job, or refuses it if this VM is draining.
func (a api) SubmitJob(ctx context.Context, spec *caller.JobSpec) (*caller.Job, error) {
	if !a.front.inFlight.begin() {
		return nil, problemOf(a.front.drainingRefusal(), spec.Name)
	}
	defer a.front.inFlight.end()
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Submit(ctx, callerName(ctx), spec)
}

// GetJob returns the state of a job.
func (a api) GetJob(ctx context.Context, params caller.GetJobParams) (*caller.Job, error) {
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Get(ctx, callerName(ctx), params.ID)
}

// CancelJob requests the cancellation of a job.
func (a api) CancelJob(ctx context.Context, params caller.CancelJobParams) (*caller.Job, error) {
	jobs, err := a.jobs()
	if err != nil {
		return nil, err
	}
	return jobs.Cancel(ctx, callerName(ctx), params.ID)
}

// NewError converts an error of a handler into a problem document.
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

// errNoJobs means that no scheduler is configured on this entry VM.
var errNoJobs = errors.New("this entry VM takes no jobs")

// bodyLengthKey is the context key of a request's Content-Length.
type bodyLengthKey struct{}

// declaredBodyLength returns the Content-Length of the request, or -1 if unknown.
func declaredBodyLength(ctx context.Context) int64 {
	length, ok := ctx.Value(bodyLengthKey{}).(int64)
	if !ok {
		return -1
	}
	return length
}

// limitReading wraps the generated server. It sets a read deadline of the longest
// window that the policy allows, passes the Content-Length to the limits filter,
// and closes connections after the response while this VM is draining.
func (f *Front) limitReading(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		longest := f.claims.longestWindow()
		if longest > 0 {
			// Response writers in tests do not support read deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(longest))
		}
		if f.inFlight.isDraining() {
			// Makes the caller open its next connection to another entry VM.
			w.Header().Set("Connection", "close")
		}
		ctx := context.WithValue(r.Context(), bodyLengthKey{}, r.ContentLength)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
