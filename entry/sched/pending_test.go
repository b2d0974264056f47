package sched

import (
	"errors"
	"testing"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/policy"
)

func TestCallerAtItsLimitOfJobsIsRefused(t *testing.T) {
	r := newRig(t, 1)
	s, _ := r.scheduler("entry-1")
	document := *r.policy.Current().Document
	document.Defaults = policy.Limits{PendingJobs: 1, JobTasks: 1}
	document.Exceptions = []policy.Exception{{Name: "host-archive", Caller: "host", Limits: policy.Limits{PendingJobs: 2, JobTasks: 2}}}
	r.policy.SetIfNewer(&policy.Version{Number: 2, Document: &document})

	first := jobSpec(caller.JobSpecKindService, 2, 1000, "run", "1h")
	first.Key = caller.NewOptString("first")
	accepted := r.submit(s, first)
	r.await(s, accepted.ID, inState(caller.JobStateRunning))
	second := r.submit(s, jobSpec(caller.JobSpecKindService, 1, 1000, "run", "1h"))
	r.await(s, second.ID, inState(caller.JobStateRunning))

	var refused *RefusedError
	if _, err := s.Submit(t.Context(), "host", jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1s")); !errors.As(err, &refused) {
		t.Fatalf("a third job was not refused: %v", err)
	}
	if refused.Reason != ReasonTooManyJobs || refused.Accepted != "up to 2 that have not ended (exception host-archive)" || !refused.RetryAt.After(time.Now()) {
		t.Errorf("refused with %+v", refused)
	}
	if again := r.submit(s, first); again.ID != accepted.ID {
		t.Errorf("a repeat of an accepted job gave %s, want %s", again.ID, accepted.ID)
	}
	if _, err := s.Cancel(t.Context(), "host", second.ID); err != nil {
		t.Fatal(err)
	}
	r.await(s, second.ID, inState(caller.JobStateCancelled))
	r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1s"))
}
