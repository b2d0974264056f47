package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// advisedJob returns a job of one step of a queue with advice.
func advisedJob(id jobs.ID, count int) jobs.Job {
	job := testJob(id, count)
	job.Queue.Name = "advised"
	job.Queue.Advice = &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
	return job
}

// TestUnfitStepsLeaveTheAdviserToOthers guards against steps that fit on no set of workers and keep the
// adviser, or the places of steps with tickets, from others of their queue.
func TestUnfitStepsLeaveTheAdviserToOthers(t *testing.T) {
	cases := map[string]func(*jobs.Step){
		"gangs with a member too many":   func(s *jobs.Step) { s.Gang, s.Count = true, 9 },
		"tasks larger than any worker":   func(s *jobs.Step) { s.PerTask.Millicores = 4001 },
		"tasks with an unknown label":    func(s *jobs.Step) { s.RequiredLabel = "unknown" },
		"a gang with a bound per worker": func(s *jobs.Step) { s.Gang, s.Count, s.MaxPerWorker = true, 3, 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"), testWorker("w2"))
			e.apply(AdviceProxiesChanged{Names: []string{"vm1", "vm2", "vm3"}})
			for i := range maxTicketedSteps + 1 {
				unfit := advisedJob(jobs.ID(fmt.Sprintf("unfit%02d", i)), 1)
				change(&unfit.Steps[0])
				e.apply(JobAccepted{Job: unfit})
				if i > 0 {
					e.apply(AdviceAnswered{Step: jobs.StepID{Job: unfit.ID}, Workers: []string{"w1"}, Tickets: []Ticket{{Worker: "w1", Value: "t"}}, Valid: 2 * time.Second})
				}
			}
			other := advisedJob("other", 1)
			other.Queue.Priority = 1
			e.apply(JobAccepted{Job: other})
			var asked []jobs.ID
			for _, request := range commandsOfType[AdviceRequest](e.runPass(time.Millisecond)) {
				asked = append(asked, request.Step.Job)
			}
			if !slices.Equal(asked, []jobs.ID{"other"}) {
				t.Errorf("the adviser is asked about %v, want only the step that fits", asked)
			}
		})
	}
}

// TestStepFitsAgainWithCapacity guards against a gang that is left out for good once it did not fit.
func TestStepFitsAgainWithCapacity(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	gang := testJob("gang", 6)
	gang.Steps[0].Gang, gang.Queue.Slack = true, time.Hour
	e.apply(JobAccepted{Job: gang})
	if got := e.startAll(0); len(got) > 0 {
		t.Fatalf("started %v, want nothing", got)
	}
	e.addWorker("w2")
	if got := e.startAll(gangRetryDelay); got["w1"]+got["w2"] != 6 {
		t.Errorf("started %v with another worker, want the gang", got)
	}
}
