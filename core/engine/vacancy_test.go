package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestIsolatedTasksLeaveTheAdviserToOthers guards against tasks that wait for a worker without other
// work and keep the adviser, or the places of steps with tickets, from others of their queue.
func TestIsolatedTasksLeaveTheAdviserToOthers(t *testing.T) {
	cases := map[string]func(*jobs.Step){
		"single tasks": func(*jobs.Step) {},
		"several":      func(s *jobs.Step) { s.Count = 3 },
		"gangs":        func(s *jobs.Step) { s.Gang, s.Count = true, 3 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			workers := []string{"w1", "w2"}
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
			e.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2", "vm3"}})
			load := testJob("load", 2)
			load.Steps[0].MaxPerWorker = 1
			e.apply(JobAccepted{Job: load})
			if got := e.startAll(0); got["w1"] != 1 || got["w2"] != 1 {
				t.Fatalf("started %v, want one task on each worker", got)
			}
			for i := range maxTicketedSteps + 1 {
				suspect := advisedJob(jobs.ID(fmt.Sprintf("suspect%02d", i)), 1)
				change(&suspect.Steps[0])
				var crashes []jobs.Failure
				for task := range suspect.Steps[0].Count {
					crashes = append(crashes, jobs.Failure{Task: task, Run: 1}, jobs.Failure{Task: task, Run: 2})
				}
				e.apply(JobAccepted{Job: suspect, Progress: jobs.Progress{Steps: []jobs.StepProgress{{Crashes: crashes}}}})
				tickets := []Ticket{{Worker: "w1", Value: "t"}, {Worker: "w2", Value: "t"}}
				e.apply(AdviceAnswered{Step: jobs.StepID{Job: suspect.ID}, Workers: workers, Tickets: tickets, Valid: 2 * time.Second})
			}
			other := advisedJob("other", 1)
			other.Queue.Priority = 1
			e.apply(JobAccepted{Job: other})
			var asked []jobs.ID
			for _, request := range commandsOfType[AdviceRequest](e.runPass(time.Millisecond)) {
				asked = append(asked, request.Step.Job)
			}
			if !slices.Equal(asked, []jobs.ID{"other"}) {
				t.Errorf("the adviser is asked about %v, want only the task that may start", asked)
			}
		})
	}
}
