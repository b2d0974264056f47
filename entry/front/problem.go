package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/guard"
)

// acceptedValues describes the valid values of a header or path parameter, for errors
// found by the generated code.
func acceptedValues(parameter string) string {
	switch parameter {
	case "X-Request-Id":
		return "1 to 120 characters"
	case "X-Idempotent":
		return "true or false"
	case "X-Not-After":
		return "an instant such as 2026-12-04T08:00:00Z"
	default:
		return "a value as the API document describes it"
	}
}

// problemOf converts an outcome other than Completed into a problem document.
func problemOf(o Outcome, id string) *caller.ProblemStatusCode {
	switch o := o.(type) {
	case Refused:
		p := problem(o.Status, o.Reason, o.Detail)
		p.Response.Outcome.SetTo(caller.ProblemOutcomeRefused)
		p.Response.RequestID.SetTo(id)
		setField(p, o.Field, o.Accepted)
		if !o.RetryAt.IsZero() {
			p.Response.RetryAt.SetTo(o.RetryAt.UTC())
		}
		return p
	case Unknown:
		p := problem(http.StatusGatewayTimeout, "unknown-outcome", o.Detail)
		p.Response.Outcome.SetTo(caller.ProblemOutcomeUnknown)
		p.Response.RequestID.SetTo(id)
		return p
	default:
		return problem(http.StatusInternalServerError, "internal", "unexpected outcome")
	}
}

// OverloadRefusal returns the answer of a VM that has no room for a request. The request has not
// run.
func OverloadRefusal() guard.Refusal {
	p := problem(http.StatusServiceUnavailable, "overloaded", "this entry VM has no memory for the request, which has not run")
	p.Response.Outcome.SetTo(caller.ProblemOutcomeRefused)
	encoder := jx.Encoder{}
	p.Response.Encode(&encoder)
	return guard.Refusal{ContentType: "application/problem+json", Body: encoder.String()}
}

func problem(status int, reason, detail string) *caller.ProblemStatusCode {
	return &caller.ProblemStatusCode{StatusCode: status, Response: caller.Problem{
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Reason: caller.NewOptString(reason),
	}}
}

func setField(p *caller.ProblemStatusCode, field, accepted string) {
	if field != "" {
		p.Response.Field.SetTo(field)
	}
	if accepted != "" {
		p.Response.Accepted.SetTo(accepted)
	}
}

// problemOfError converts an error of the generated server into a problem document. Such
// errors occur before a request is sent to a target, so all are refusals.
func problemOfError(err error) *caller.ProblemStatusCode {
	p := problem(http.StatusInternalServerError, "internal", err.Error())
	var security *ogenerrors.SecurityError
	var parameter *ogenerrors.DecodeParamError
	var contentType *validate.InvalidContentTypeError
	var request *ogenerrors.DecodeRequestError
	switch {
	case errors.Is(err, errNoPolicy):
		p = problem(http.StatusServiceUnavailable, "no-policy", errNoPolicy.Error())
		p.Response.RetryAt.SetTo(time.Now().Add(time.Second).UTC())
	case errors.As(err, &security):
		p = problem(http.StatusUnauthorized, "unauthorized", "a bearer token of a caller in the policy is required")
	case errors.As(err, &parameter):
		p = problem(http.StatusBadRequest, "bad-parameter", parameter.Error())
		setField(p, parameter.Name, acceptedValues(parameter.Name))
	case errors.As(err, &contentType):
		p = problem(http.StatusUnsupportedMediaType, "bad-content-type", contentType.Error())
		setField(p, "Content-Type", "application/octet-stream for requests, application/json for jobs")
	case errors.As(err, &request):
		p = problem(http.StatusBadRequest, "bad-body", request.Error())
		field := bodyField(err)
		setField(p, field, acceptedInBody(field))
	}
	p.Response.Outcome.SetTo(caller.ProblemOutcomeRefused)
	return p
}

// bodyField returns the name of the invalid field of a JSON body, or "body" if it is not
// known. The generated decoder reports an unknown field only in its error text.
func bodyField(err error) string {
	var invalid *validate.Error
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		return invalid.Fields[0].Name
	}
	if _, rest, found := strings.Cut(err.Error(), `unexpected field "`); found {
		name, _, _ := strings.Cut(rest, `"`)
		return name
	}
	return "body"
}

// acceptedInBody describes the valid values of a field of a job.
func acceptedInBody(field string) string {
	switch field {
	case "body":
		return "a JSON object as the API document describes it"
	case "kind":
		return "service, batch or gang"
	case "tasks":
		return "1 to 5000"
	case "name", "key", "work":
		return "text"
	case "command":
		return "a list of texts"
	case "resources":
		return "an object with millicores, memory-bytes and accelerators"
	case "expected-run":
		return "a duration such as 90s"
	case "not-after":
		return "an instant such as 2026-12-24T18:00:00Z"
	default:
		return "name, key, kind, work, urgent, tasks, resources, expected-run, not-after and command are the fields of a job"
	}
}

// handleError handles errors of the generated server. It aborts the connection if the
// response has already started.
func handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	if !errors.As(err, &params) && !errors.As(err, &request) {
		// The response has started. Aborting the connection lets the caller detect
		// that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	writeProblem(w, problemOfError(err))
	_ = r.Body.Close()
}

func writeProblem(w http.ResponseWriter, p *caller.ProblemStatusCode) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.StatusCode)
	var e jx.Encoder
	p.Response.Encode(&e)
	_, _ = e.WriteTo(w)
}

// methodNotAllowed responds to a request whose path does not support its method.
func methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	p := problem(http.StatusMethodNotAllowed, "bad-method", r.URL.Path+" has no method "+r.Method)
	setField(p, "method", allowed)
	p.Response.Outcome.SetTo(caller.ProblemOutcomeRefused)
	w.Header().Set("Allow", allowed)
	writeProblem(w, p)
}

// notFound responds to a request for an unknown path.
func notFound(w http.ResponseWriter, r *http.Request) {
	p := problem(http.StatusNotFound, "unknown-path", "the API has no path "+r.URL.Path)
	setField(p, "path", "/v1/services/{service}/requests, /v1/jobs, /v1/jobs/{id}")
	p.Response.Outcome.SetTo(caller.ProblemOutcomeRefused)
	writeProblem(w, p)
}
