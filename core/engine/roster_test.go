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
			b := newBench(t, Options{PreviousRoster: c.former, PreviousLeasesUntil: start.Add(time.Hour)}, testWorker("w1"))
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
	b.look("w1", Report{Running: []ActiveRun{{Task: order.Task, Run: order.Run, Percent: 50}}})
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

// TestLeftWorkerIsNotUsedAfterTakeover has a leader start whose predecessor used two
// workers, of which one has left or leaves since. It looks at that one, and starts
// nothing there.
func TestLeftWorkerIsNotUsedAfterTakeover(t *testing.T) {
	leaving := testWorker("w2")
	leaving.Leaving = true
	cases := map[string]struct {
		listed []Worker
		want   int
	}{
		"both are there":   {[]Worker{testWorker("w1"), testWorker("w2")}, 2},
		"one leaves":       {[]Worker{testWorker("w1"), leaving}, 1},
		"one has left":     {[]Worker{testWorker("w1")}, 1},
		"nobody is listed": {nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			former := Roster{Workers: []string{"w1", "w2"}, Lost: map[string][]jobs.ID{}}
			b := newBench(t, Options{PreviousRoster: former, PreviousLeasesUntil: start.Add(time.Hour)})
			b.apply(WorkersListed{Workers: c.listed})
			for _, w := range c.listed {
				b.look(w.ID, Report{})
			}
			for _, id := range []jobs.ID{"job1", "job2"} {
				job := testJob(id, 1)
				job.Steps[0].PerTask = testWorker("w1").Capacity
				b.apply(JobAccepted{Job: job})
			}
			roster, _ := b.WantedRoster(b.now)
			b.RosterRecorded(roster)
			starts := only[Start](b.pass(0))
			if len(starts) != c.want {
				t.Fatalf("%d starts, want %d", len(starts), c.want)
			}
			for _, s := range starts {
				if c.want < 2 && s.Worker != "w1" {
					t.Errorf("started on %s, which has left", s.Worker)
				}
			}
		})
	}
}
