package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestEndOfGivenUpRunCounts guards against a task that runs on elsewhere, or starts once more, although
// a run of it that the leader had given up has ended as done.
func TestEndOfGivenUpRunCounts(t *testing.T) {
	for name, listedBefore := range map[string]bool{"listed as running before": true, "not listed before": false} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			first := e.startOne(t, "job")
			e.addWorker("w2")
			e.cutOff(testLease + time.Second)
			e.confirm()
			second := e.cutOff(time.Second)
			if len(second) != 1 {
				t.Fatalf("%d starts once the lease has expired, want 1", len(second))
			}
			if listedBefore {
				e.poll("w1", Report{Running: []ActiveRun{{Task: first.Task, Run: first.Run}}})
			}
			done := Report{Results: []RunResult{{Sequence: 1, Task: first.Task, Run: first.Run, End: jobs.EndDone}}}
			commands := e.poll("w1", done)
			if records := commandsOfType[Record](commands); len(records) != 1 || records[0].Progress.State != jobs.Done {
				t.Errorf("records %+v, want the job as done", records)
			}
			if stops := commandsOfType[Stop](commands); len(stops) != 1 || stops[0].Run != second[0].Run {
				t.Errorf("stops %+v, want one of run %d", stops, second[0].Run)
			}
		})
	}
}
