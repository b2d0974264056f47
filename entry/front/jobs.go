package front

import (
	"errors"
	"net/http"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/entry/sched"
)

// problemOfJob converts an error of a job call into a problem document. It returns nil
// if the error does not come from a job call.
func problemOfJob(err error) *caller.ProblemStatusCode {
	var refused *sched.RefusedError
	switch {
	case errors.Is(err, errNoJobs):
		return problem(http.StatusServiceUnavailable, "no-jobs", err.Error())
	case errors.Is(err, sched.ErrNotFound):
		return problem(http.StatusNotFound, "no-such-job", err.Error())
	case errors.Is(err, sched.ErrUnconfirmed):
		return withOutcome(problem(http.StatusGatewayTimeout, "unconfirmed", err.Error()), caller.ProblemOutcomeUnknown)
	case errors.As(err, &refused):
		return problemOfRefusedJob(refused)
	default:
		return nil
	}
}

func problemOfRefusedJob(refused *sched.RefusedError) *caller.ProblemStatusCode {
	p := problem(statusOfRefusedJob(refused.Reason), refused.Reason, refused.Detail)
	setField(p, refused.Field, refused.Accepted)
	if !refused.RetryAt.IsZero() {
		p.Response.RetryAt = caller.NewOptDateTime(refused.RetryAt)
	}
	return withOutcome(p, caller.ProblemOutcomeRefused)
}

func statusOfRefusedJob(reason string) int {
	switch reason {
	case sched.ReasonNoPolicy, sched.ReasonStoreDown:
		return http.StatusServiceUnavailable
	case sched.ReasonOverQuota, sched.ReasonTooManyJobs:
		return http.StatusTooManyRequests
	default:
		return http.StatusUnprocessableEntity
	}
}

func withOutcome(p *caller.ProblemStatusCode, outcome caller.ProblemOutcome) *caller.ProblemStatusCode {
	p.Response.Outcome = caller.NewOptProblemOutcome(outcome)
	return p
}
