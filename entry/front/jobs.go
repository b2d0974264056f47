package front

import (
	"errors"
	"net/http"

	"tanagerstack.org/core/api/caller"
)

// problemOfJob turns an error of the scheduler into a problem document, or
// returns nil if it is of another kind.
func problemOfJob(err error) *caller.ProblemStatusCode {
	if errors.Is(err, errNoJobs) {
		return problem(http.StatusServiceUnavailable, "no-jobs", err.Error())
	}
	return nil
}
