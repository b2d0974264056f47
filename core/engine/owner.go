package engine

import "tanagerstack.org/core/jobs"

// Owner returns the organization that a job belongs to, which is empty if it belongs to none, and the
// name of its queue. Both are empty if the engine has not loaded the job.
func (e *Engine) Owner(id jobs.ID) (organization, queue string) {
	j := e.jobs[id]
	if j == nil {
		return "", ""
	}
	return j.Organization, j.Queue.Name
}
