package cell

import (
	"context"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// TestLostStartIsSentAgain checks that a start without an answer is sent again as the
// same run, and that each task still runs once.
func TestLostStartIsSentAgain(t *testing.T) {
	workers := newFakeWorkers(10 * time.Millisecond)
	workers.losesFirst = true
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
		if starts != 1 || workers.tried[task] != 2 {
			t.Errorf("task %s ran %d times after %d orders, want once after two", task, starts, workers.tried[task])
		}
	}
}

// TestSettledStart checks what is known of a start that was sent twice: a worker that
// refuses the second order may have carried out the first.
func TestSettledStart(t *testing.T) {
	cases := map[string]struct{ second, want engine.StartOutcome }{
		"accepted":    {engine.StartAccepted, engine.StartAccepted},
		"no answer":   {engine.StartUnknown, engine.StartUnknown},
		"old":         {engine.StartAlreadyEnded, engine.StartUnknown},
		"no room":     {engine.StartNoCapacity, engine.StartUnknown},
		"no ticket":   {engine.StartInvalidTicket, engine.StartUnknown},
		"unhealthy":   {engine.StartUnhealthy, engine.StartUnknown},
		"fenced":      {engine.StartFenced, engine.StartUnknown},
		"other life":  {engine.StartOtherIncarnation, engine.StartUnknown},
		"late":        {engine.StartLeaseExpired, engine.StartUnknown},
		"not decoded": {engine.StartInvalid, engine.StartUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := settledStart(c.second); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// unansweredWorkers count the starts that they do not answer. Each takes some time,
// however soon its caller gives up.
type unansweredWorkers struct {
	Workers
	takes  time.Duration
	starts int
}

func (u *unansweredWorkers) Start(context.Context, engine.Start) (engine.StartOutcome, error) {
	u.starts++
	time.Sleep(u.takes)
	return engine.StartUnknown, context.DeadlineExceeded
}

// TestStartIsNotRepeatedAfterStandingStill has a VM stand still between a start that got
// no answer and its repetition.
func TestStartIsNotRepeatedAfterStandingStill(t *testing.T) {
	cases := map[string]struct {
		takes time.Duration
		want  int
	}{
		"no answer in time": {time.Millisecond, 2},
		"stood still":       {orderHold + startRepeat, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workers := &unansweredWorkers{takes: c.takes}
			outcome, repeated, _ := directWay{workers}.start(t.Context(), engine.Start{})
			if outcome != engine.StartUnknown || workers.starts != c.want || repeated != (c.want > 1) {
				t.Errorf("%s after %d starts, repeated: %v; want %d starts", outcome, workers.starts, repeated, c.want)
			}
		})
	}
}
