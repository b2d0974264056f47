package engine

import (
	"testing"

	"tanagerstack.org/core/jobs"
)

// TestCancellationBeforeJob guards against starting a job whose cancellation reached the leader before
// the job did.
func TestCancellationBeforeJob(t *testing.T) {
	finished := jobs.Job{ID: "job", FinalState: jobs.Done}
	cases := map[string]struct {
		job  jobs.Job
		want jobs.State
	}{
		"job":          {testJob("job", 2), jobs.Canceled},
		"finished job": {finished, jobs.Done},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.apply(JobCanceled{ID: "job"})
			commands := e.apply(JobAccepted{Job: c.job})
			if starts := commandsOfType[Start](append(commands, e.runPass(0)...)); len(starts) > 0 {
				t.Errorf("%d tasks of a canceled job are started", len(starts))
			}
			if status := e.Status("job"); status.State != c.want || !status.Known {
				t.Errorf("status %+v, want %v", status, c.want)
			}
			if len(e.canceledEarly) > 0 {
				t.Errorf("%d cancellations are still kept", len(e.canceledEarly))
			}
		})
	}
}
