package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestUnreadResultIsNotAcknowledged guards against a task that runs again after it has ended as done:
// its worker forgets the result before the leader has read it, since one with a higher number was
// acknowledged.
func TestUnreadResultIsNotAcknowledged(t *testing.T) {
	cases := map[string]struct {
		// unclear is set if the first report has a row of the first result that cannot be decoded.
		unclear bool
		// listed is set if the second report lists the first result.
		listed bool
	}{
		"row not readable at first":  {unclear: true, listed: true},
		"row not readable":           {unclear: true, listed: false},
		"listed after a higher one":  {unclear: false, listed: true},
		"number that is never given": {unclear: false, listed: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			first, second := e.startOne(t, "job1"), e.startOne(t, "job2")
			results := []RunResult{
				{Sequence: 1, Task: first.Task, Run: first.Run, End: jobs.EndDone},
				{Sequence: 2, Task: second.Task, Run: second.Run, End: jobs.EndDone},
			}
			report := Report{Results: results[1:]}
			if c.unclear {
				report.Unclear, report.Skipped = []jobs.TaskID{first.Task}, 1
			}
			e.commitAll(e.answer("w1", testStart, report))
			if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 || !request.AcksPending {
				t.Errorf("results acknowledged up to %d (more to follow: %v) before the first one was read", request.AckedUpTo, request.AcksPending)
			}
			if c.listed {
				report = Report{Results: results}
			}
			e.now = e.now.Add(time.Millisecond)
			e.commitAll(e.answer("w1", testStart, report))
			if done := e.jobs["job1"].state == jobs.Done; done != c.listed {
				t.Errorf("job of the first result done: %v, want %v", done, c.listed)
			}
			if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 2 || request.AcksPending {
				t.Errorf("results acknowledged up to %d (more to follow: %v), want 2", request.AckedUpTo, request.AcksPending)
			}
		})
	}
}

// TestReportInFlightSettlesNoGap checks that a report that answers a poll sent before the gap was
// known does not count as the second one that lacks the result.
func TestReportInFlightSettlesNoGap(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	start := e.startOne(t, "job")
	report := Report{Results: []RunResult{{Sequence: 2, Task: start.Task, Run: start.Run, End: jobs.EndDone}}}
	for range 2 {
		e.commitAll(e.poll("w1", report)) // both polls were sent before the first answer
		if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 0 {
			t.Errorf("results acknowledged up to %d, want 0", request.AckedUpTo)
		}
	}
	e.now = e.now.Add(time.Millisecond)
	e.answer("w1", testStart, report)
	if request, _ := e.NextPoll(e.now, "w1"); request.AckedUpTo != 2 {
		t.Errorf("results acknowledged up to %d, want 2", request.AckedUpTo)
	}
}

// commitAll stores all records among commands.
func (e *testEngine) commitAll(commands []Command) {
	for _, record := range commandsOfType[Record](commands) {
		e.apply(Recorded{IDs: []ProgressID{record.ID}})
	}
}
