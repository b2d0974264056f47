package oper

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"k8s.io/klog/v2"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

// conflictResponse returns the response for a *VersionConflictError, and other errors unchanged.
func conflictResponse(err error) (api.ApplyPolicyRes, error) {
	var conflict *VersionConflictError
	if !errors.As(err, &conflict) {
		return nil, err
	}
	return &api.PolicyConflict{Current: *policyVersion(conflict.Current), Difference: conflict.Difference}, nil
}

// NewError converts the error of a call to a problem document.
func (h *handler) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	p := problem(err)
	return &api.ProblemStatusCode{StatusCode: p.Status, Response: p}
}

// problem returns the problem document for err. It logs errors that have no status of their own.
func problem(err error) api.Problem {
	var (
		invalid  *policy.InvalidError
		field    *FieldError
		missing  *NotFoundError
		security *ogenerrors.SecurityError
	)
	switch {
	case errors.As(err, &security):
		return newProblem(http.StatusUnauthorized, "no-access", errInvalidToken.Error()+": send it as Authorization: Bearer TOKEN")
	case errors.As(err, &invalid):
		return invalidProblem(invalid)
	case errors.As(err, &field):
		p := newProblem(http.StatusBadRequest, "invalid-field", field.Detail)
		p.Field, p.Accepted = api.NewOptString(field.Field), api.NewOptString(field.Accepted)
		return p
	case errors.As(err, &missing):
		return newProblem(http.StatusNotFound, "not-found", missing.Error())
	case errors.Is(err, ErrNoPolicy):
		return newProblem(http.StatusServiceUnavailable, "no-policy", err.Error())
	case errors.Is(err, ErrTablesUnavailable):
		p := newProblem(http.StatusServiceUnavailable, "tables-unavailable", err.Error())
		p.Outcome = api.NewOptProblemOutcome(api.ProblemOutcomeRefused)
		return p
	case errors.Is(err, ErrUnconfirmed):
		p := newProblem(http.StatusServiceUnavailable, "unconfirmed", err.Error())
		p.Outcome = api.NewOptProblemOutcome(api.ProblemOutcomeUnknown)
		return p
	default:
		klog.ErrorS(err, "operator call failed")
		return newProblem(http.StatusInternalServerError, "internal", err.Error())
	}
}

func newProblem(status int, reason, detail string) api.Problem {
	return api.Problem{Title: http.StatusText(status), Status: status, Detail: detail, Reason: api.NewOptString(reason)}
}

// invalidProblem lists all faults of a policy document. The first one also sets Field and Accepted
// of the problem itself.
func invalidProblem(e *policy.InvalidError) api.Problem {
	p := newProblem(http.StatusBadRequest, "invalid-policy", e.Error())
	for _, fault := range e.Faults {
		p.Faults = append(p.Faults, api.Fault{Field: optional(fault.Field), Detail: fault.Detail, Accepted: optional(fault.Accepted)})
	}
	if len(e.Faults) > 0 {
		p.Field, p.Accepted = p.Faults[0].Field, p.Faults[0].Accepted
	}
	return p
}

// optional returns an unset value for an empty text.
func optional(text string) api.OptString {
	if text == "" {
		return api.OptString{}
	}
	return api.NewOptString(text)
}

// decodeError answers a call whose parameters or body cannot be read.
func (h *handler) decodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeProblem(w, newProblem(status, "malformed", err.Error()))
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, newProblem(http.StatusNotFound, "not-found", r.URL.Path+" does not exist"))
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	p := newProblem(http.StatusMethodNotAllowed, "method-not-allowed", r.Method+" is not allowed here")
	p.Accepted = api.NewOptString(allowed)
	writeProblem(w, p)
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	body, err := json.Marshal(&p)
	if err != nil {
		klog.ErrorS(err, "cannot encode a problem document")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	// A write fails only if the caller has disconnected, so the error is ignored.
	_, _ = w.Write(body)
}
