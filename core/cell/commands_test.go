package cell

import (
	"context"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// TestLostStartIsSentAgain checks that a start command without an answer is sent again for the
// same run, and that each task still runs once.
func TestLostStartIsSentAgain(t *testing.T) {
	workers := newFakeWorkers(10 * time.Millisecond)
	workers.dropsFirstStart = true
	_, nodes, _ := startCell(t, workers, "a")
	job := testJob("job")
	if err := nodes[0].Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is done", func() bool {
		state, err := nodes[0].Status(t.Context(), "job")
		return err == nil && state == jobs.Done
	})
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for task, starts := range workers.starts {
		if starts != 1 || workers.attempts[task] != 2 {
			t.Errorf("task %s ran %d times after %d commands, want once after two", task, starts, workers.attempts[task])
		}
	}
}

// TestSettledStart checks the outcome of a start command that was sent twice: a worker that
// refuses the second command may have executed the first.
func TestSettledStart(t *testing.T) {
	cases := map[string]struct{ second, want engine.StartOutcome }{
		"accepted":          {engine.StartAccepted, engine.StartAccepted},
		"no answer":         {engine.StartUnknown, engine.StartUnknown},
		"already ended":     {engine.StartAlreadyEnded, engine.StartUnknown},
		"no capacity":       {engine.StartNoCapacity, engine.StartUnknown},
		"invalid ticket":    {engine.StartInvalidTicket, engine.StartUnknown},
		"unhealthy":         {engine.StartUnhealthy, engine.StartUnknown},
		"fenced":            {engine.StartFenced, engine.StartUnknown},
		"other incarnation": {engine.StartOtherIncarnation, engine.StartUnknown},
		"lease expired":     {engine.StartLeaseExpired, engine.StartUnknown},
		"invalid command":   {engine.StartInvalid, engine.StartUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := outcomeAfterRetry(c.second); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// silentWorkers counts the start commands that it does not answer. Each call blocks for
// startTime, even if its context ends sooner.
type silentWorkers struct {
	Workers
	startTime time.Duration
	starts    int
}

func (u *silentWorkers) Start(context.Context, engine.Start) (engine.StartOutcome, error) {
	u.starts++
	time.Sleep(u.startTime)
	return engine.StartUnknown, context.DeadlineExceeded
}

// TestStartIsNotRepeatedAfterStandingStill checks that a start command that got no answer is
// not repeated if the VM was suspended in the meantime.
func TestStartIsNotRepeatedAfterStandingStill(t *testing.T) {
	cases := map[string]struct {
		takes time.Duration
		want  int
	}{
		"no answer in time": {time.Millisecond, 2},
		"VM suspended":      {maxCommandAge + startRetryAfter, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workers := &silentWorkers{startTime: c.takes}
			outcome, repeated, _ := directPath{workers}.start(t.Context(), engine.Start{})
			if outcome != engine.StartUnknown || workers.starts != c.want || repeated != (c.want > 1) {
				t.Errorf("outcome %s after %d starts, repeated: %v; want %d starts", outcome, workers.starts, repeated, c.want)
			}
		})
	}
}
