package engine

import (
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
)

// TestInheritedJobsWait checks which jobs of an earlier leader wait for a worker
// that has not been looked at.
func TestInheritedJobsWait(t *testing.T) {
	cases := map[string]struct {
		former Roster
		want   int
	}{
		"no former worker":           {Roster{}, 2},
		"one that may run anything":  {Roster{Workers: []string{"gone"}}, 0},
		"one that may run one job":   {Roster{Workers: []string{"gone"}, Lost: map[string][]jobs.ID{"gone": {"job1"}}}, 1},
		"one that runs neither job":  {Roster{Workers: []string{"gone"}, Lost: map[string][]jobs.ID{"gone": {"other"}}}, 2},
		"one that was looked at now": {Roster{Workers: []string{"w1"}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{Former: c.former, FormerUntil: start.Add(time.Hour)}, testWorker("w1"))
			for _, id := range []jobs.ID{"job1", "job2"} {
				b.apply(JobAccepted{Job: testJob(id, 1), Inherited: true})
			}
			if got := len(only[Start](b.pass(0))); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// TestLeavingWorkerIsPutOnRecord checks that a worker that leaves is on record
// with the jobs that may run there, so that others need not wait for it.
func TestLeavingWorkerIsPutOnRecord(t *testing.T) {
	cases := map[string]struct {
		count int
		want  []jobs.ID
	}{
		"with a run":   {1, []jobs.ID{"job1"}},
		"without runs": {0, []jobs.ID{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{}, testWorker("w1"))
			if c.count > 0 {
				b.apply(JobAccepted{Job: testJob("job1", c.count)})
				b.pass(0)
			}
			leaving := testWorker("w1")
			leaving.Leaving = true
			b.apply(WorkerListed{Worker: leaving})
			roster, _ := b.WantedRoster(b.now)
			got, listed := roster.Lost["w1"]
			if !listed || got == nil || !slices.Equal(got, c.want) {
				t.Errorf("on record with %v (%v), want %v", got, listed, c.want)
			}
		})
	}
}

// TestLostWorkerIsPutOnRecord checks that a worker that does not answer is put on
// record with its jobs, and gets work again only once it is off it.
func TestLostWorkerIsPutOnRecord(t *testing.T) {
	b := newBench(t, Options{}, testWorker("w1"))
	b.apply(JobAccepted{Job: testJob("job1", 1)})
	order := only[Start](b.pass(0))[0]
	b.apply(StartAnswered{Worker: "w1", Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	b.now = b.now.Add(lostAfter + time.Millisecond)
	roster, _ := b.WantedRoster(b.now)
	if want := []jobs.ID{"job1"}; !slices.Equal(roster.Lost["w1"], want) {
		t.Fatalf("lost %v, want %v for w1", roster.Lost, want)
	}
	b.RosterSent(roster)
	b.look("w1", Report{Running: []Running{{Task: order.Task, Run: order.Run, Percent: 50}}})
	b.apply(JobAccepted{Job: testJob("job2", 1)})
	if starts := only[Start](b.pass(0)); len(starts) > 0 {
		t.Errorf("started %+v on a worker that is on record as lost", starts)
	}
	roster, urgent := b.WantedRoster(b.now)
	if !urgent || len(roster.Lost) > 0 {
		t.Errorf("wanted %+v, urgent %v; want no lost worker, at once", roster, urgent)
	}
	b.RosterRecorded(roster)
	if starts := only[Start](b.pass(0)); len(starts) != 1 {
		t.Errorf("%d starts once it is off the record, want 1", len(starts))
	}
}
