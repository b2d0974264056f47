package intake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

var testTime = time.Unix(1_800_000_000, 0)

// testSnapshot is a full cell: 10 processors become free for new jobs in each second from the fourth on.
func testSnapshot() *Snapshot {
	s := &Snapshot{At: testTime, Organizations: []Organization{{Name: "large", Jobs: 0.5, PerSecond: 0.25}, {Name: "none", PerSecond: 0}}}
	q := Queue{Name: "queue", Priority: 1, Short: ShortEstimate, Long: LongEstimate}
	for k, at := range Horizons {
		q.Free[k] = max(0, int64((at-3*time.Second).Seconds()*10_000))
	}
	s.Queues = append(s.Queues, q)
	return s
}

func testRequest() Request {
	return Request{Queue: "queue", Priority: 1, Millicores: 10_000, TaskMillicores: 10_000, CriticalPath: time.Second, Objective: 3 * time.Second}
}

// noChance makes a request excess for which no capacity is left.
func noChance(s *Snapshot, r *Request) {
	s.Queues[0].ExcessFree = make([]int64, len(Horizons))
	r.Organization = "large"
}

// TestDecide checks who is refused, and that whatever the snapshot does not tell is accepted: a refusal
// must not rest on a guess.
func TestDecide(t *testing.T) {
	all := Rules{TooLate: true, Excess: true}
	cases := map[string]struct {
		change func(s *Snapshot, r *Request)
		after  time.Duration
		rules  Rules
		want   Reason
		atMost time.Duration
		least  time.Duration
	}{
		"in time":                         {rules: all},
		"too late":                        {change: func(_ *Snapshot, r *Request) { r.Objective = 1500 * time.Millisecond }, rules: all, want: TooLate, least: 3 * time.Second, atMost: 6 * time.Second},
		"too late, rule off":              {change: func(_ *Snapshot, r *Request) { r.Objective = 1500 * time.Millisecond }},
		"wait has passed":                 {change: func(_ *Snapshot, r *Request) { r.Objective = 1500 * time.Millisecond }, after: 1500 * time.Millisecond, rules: all},
		"snapshot too old":                {change: func(_ *Snapshot, r *Request) { r.Objective = time.Millisecond }, after: MaxAge + 1, rules: all},
		"unknown queue":                   {change: func(_ *Snapshot, r *Request) { r.Queue, r.Objective = "other", time.Millisecond }, rules: all},
		"beyond the horizon":              {change: func(_ *Snapshot, r *Request) { r.Millicores, r.Objective = 1<<40, time.Millisecond }, rules: all},
		"recurring":                       {change: func(_ *Snapshot, r *Request) { r.Recurring, r.Objective = true, time.Millisecond }, rules: all},
		"service":                         {change: func(_ *Snapshot, r *Request) { r.Service, r.Objective = true, time.Millisecond }, rules: all},
		"excess, others endangered":       {change: func(_ *Snapshot, r *Request) { r.Organization = "large" }, rules: all, want: Excess, least: 3 * time.Second, atMost: 6 * time.Second},
		"excess, nobody endangered":       {change: func(_ *Snapshot, r *Request) { r.Organization, r.Objective = "large", time.Minute }, rules: all},
		"weight of zero":                  {change: func(_ *Snapshot, r *Request) { r.Organization = "none" }, rules: all, want: Excess, least: 30 * time.Second, atMost: time.Minute},
		"organization far from its limit": {change: func(_ *Snapshot, r *Request) { r.Organization = "small" }, rules: all},
		"no chance":                       {change: noChance, rules: Rules{NoChance: true}, want: NoChance, least: 3 * time.Second, atMost: 9 * time.Second},
		"no chance, rule off":             {change: noChance},
		"no chance, but owed":             {change: func(s *Snapshot, r *Request) { noChance(s, r); r.Organization = "small" }, rules: Rules{NoChance: true}},
		"no chance, owed by now":          {change: func(s *Snapshot, r *Request) { noChance(s, r); s.Organizations[0].Growth = 2 }, after: time.Second, rules: Rules{NoChance: true}},
		"no chance, others take the rest": {change: func(s *Snapshot, r *Request) { noChance(s, r); s.Organizations[0].PerSecond = 2 }, after: time.Second, rules: Rules{NoChance: true}, want: NoChance, least: time.Second, atMost: 5 * time.Second},
		"gang of which a task has room": {change: func(s *Snapshot, r *Request) {
			noChance(s, r)
			r.TaskMillicores, s.Queues[0].ExcessFree[0] = 1000, 1000
		}, rules: Rules{NoChance: true}},
		"no chance, weight of zero":       {change: func(s *Snapshot, r *Request) { noChance(s, r); r.Organization = "none" }, rules: Rules{NoChance: true}, want: NoChance, least: 30 * time.Second, atMost: time.Minute},
		"excess in time for a late end":   {change: func(s *Snapshot, r *Request) { noChance(s, r); s.Queues[0].ExcessFree[6] = 10_000 }, rules: Rules{NoChance: true}},
		"excess too late":                 {change: func(s *Snapshot, r *Request) { noChance(s, r); s.Queues[0].ExcessFree[7] = 10_000 }, rules: Rules{NoChance: true}, want: NoChance, least: 3 * time.Second, atMost: 9 * time.Second},
		"excess of use after the horizon": {change: func(s *Snapshot, r *Request) { noChance(s, r); r.Objective = time.Minute }, rules: Rules{NoChance: true}},
		"excess, nothing predicted":       {change: func(s *Snapshot, r *Request) { noChance(s, r); s.Queues[0].ExcessFree = nil }, rules: Rules{NoChance: true}},
		"gang wider than the cap":         {change: func(_ *Snapshot, r *Request) { r.ExceedsCap = true }, after: time.Hour, want: GangExceedsCap},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, spread := range []float64{0, 0.999} {
				s, r := testSnapshot(), testRequest()
				r.Spread = spread
				if c.change != nil {
					c.change(s, &r)
				}
				d := s.Decide(testTime.Add(c.after), r, c.rules)
				if d.Reason != c.want || d.RetryAfter < c.least || d.RetryAfter > c.atMost {
					t.Errorf("got %+v, want %q with a time to come back from %s to %s", d, c.want, c.least, c.atMost)
				}
			}
		})
	}
}

// TestNoSnapshotAccepts checks that a VM without a snapshot accepts, and still refuses a gang that is
// wider than the cap, for which it needs no leader.
func TestNoSnapshotAccepts(t *testing.T) {
	var none *Snapshot
	job := &jobs.Job{Queue: jobs.Queue{Name: "queue"}, Steps: []jobs.Step{{Count: 3, Gang: true, PerTask: roster.Resources{Millicores: 1000}}}}
	for limit, want := range map[int64]Reason{0: "", 2999: GangExceedsCap, 3000: ""} {
		r := none.NewRequest(job, roster.Resources{Millicores: limit}, 0.5)
		none.NoteAccepted(testTime, r)
		if d := none.Decide(testTime, r, Rules{TooLate: true, Excess: true}); d.Reason != want {
			t.Errorf("cap of %d millicores: got %+v, want %q", limit, d, want)
		}
	}
}

// TestAcceptedJobsCount checks that a VM counts what it accepted since the snapshot, for its queue and
// less urgent ones only: otherwise a burst within one heartbeat passes as a whole.
func TestAcceptedJobsCount(t *testing.T) {
	s, r := testSnapshot(), testRequest()
	start := func() time.Duration { return s.Decide(testTime, r, Rules{TooLate: true}).Start }
	before := start()
	urgent, less := r, r
	urgent.Priority, less.Priority = 0, 2
	s.NoteAccepted(testTime, less)
	if got := start(); got != before {
		t.Errorf("start after %s with a less urgent job ahead, want %s", got, before)
	}
	s.NoteAccepted(testTime, urgent)
	if got := start(); got != before+time.Second {
		t.Errorf("start after %s with an urgent job ahead, want %s", got, before+time.Second)
	}
}

// TestAcceptedExcessTakesNothing guards against a VM that takes accepted excess from what the organization may
// still submit, as the leader does not: its later jobs would be refused although they are owed.
func TestAcceptedExcessTakesNothing(t *testing.T) {
	s, r := testSnapshot(), testRequest()
	r.Organization = "large"
	for range 5 {
		s.NoteAccepted(testTime, r)
	}
	if _, excess, _ := s.excess(testTime.Add(MaxAge), r.Organization); excess {
		t.Error("a job is excess when the organization may submit one again")
	}
	s.NoteAccepted(testTime.Add(MaxAge), r)
	if _, excess, _ := s.excess(testTime.Add(MaxAge), r.Organization); !excess {
		t.Error("an accepted job that is not excess takes nothing")
	}
}

// TestCloneSharesNothing guards against snapshots of several VMs that take accepted jobs off each other.
func TestCloneSharesNothing(t *testing.T) {
	s, r := testSnapshot(), testRequest()
	noChance(s, &r)
	s.Clone().NoteAccepted(testTime, r)
	if got := s.Queues[0].ExcessFree[0]; got != 0 {
		t.Errorf("the free capacity became %d, want 0", got)
	}
}

// TestShortestPathIsOptimistic checks that a job is judged by the time that few such jobs fall below, and its
// objective by the predicted one: otherwise the objective shrinks with the path, and jobs in time are refused.
func TestShortestPathIsOptimistic(t *testing.T) {
	s := testSnapshot()
	s.Queues[0].LeastShare = 0.5
	job := &jobs.Job{Queue: jobs.Queue{Name: "queue", Stretch: 2}, Steps: []jobs.Step{{Count: 1, Estimate: 4 * time.Second}}}
	if r := s.NewRequest(job, roster.Resources{}, 0); r.CriticalPath != 2*time.Second || r.Objective != 8*time.Second {
		t.Errorf("got a path of %s and an objective of %s, want 2s and 8s", r.CriticalPath, r.Objective)
	}
}

// TestEstimatesAreCorrected checks that the critical path follows the leader's predictions between and
// beyond the two estimates of the snapshot, and that nothing overflows.
func TestEstimatesAreCorrected(t *testing.T) {
	q := &Queue{Short: time.Second, Long: 16 * time.Second}
	for estimate, want := range map[time.Duration]time.Duration{0: 0, ShortEstimate: time.Second, 2 * time.Second: 4 * time.Second, time.Minute: 2 * time.Minute} {
		if got := q.predict(estimate); (got - want).Abs() > time.Millisecond {
			t.Errorf("estimate %s predicts %s, want %s", estimate, got, want)
		}
	}
	if got := (&Queue{Short: 1, Long: time.Hour}).predict(jobs.MaxObjective); got < 0 || got > maxPrediction {
		t.Errorf("got %s, want at most %s", got, maxPrediction)
	}
}

// largeSnapshot is the snapshot of a cell with 20 organizations, all near their limits.
func largeSnapshot() *Snapshot {
	s := testSnapshot()
	s.Organizations = nil
	for i := range 3 {
		q := s.Queues[0]
		q.Name, q.PermittedShare = fmt.Sprintf("queue-with-a-name-%d", i), 0.3
		for k := range q.Free {
			q.Free[k] = 11_200_000 - int64(k)
		}
		q.ExcessFree, q.LeastShare = slices.Clone(q.Free[:]), 0.4321
		s.Queues = append(s.Queues, q)
	}
	for i := range 20 {
		s.Organizations = append(s.Organizations, Organization{Name: fmt.Sprintf("organization-%016d", i), Jobs: 0.123, PerSecond: 12.3, Growth: 1.23})
	}
	return s
}

// TestSnapshotIsCompact checks the bound of the design page: the snapshot goes to each VM 2.5 times a second.
func TestSnapshotIsCompact(t *testing.T) {
	data, err := cbor.Marshal(largeSnapshot())
	t.Logf("%d bytes", len(data))
	if err != nil || len(data) > 4096 {
		t.Errorf("got %d bytes, %v, want at most 4096", len(data), err)
	}
}

// BenchmarkDecide measures a decision with its request, for a job of four steps. It must stay below 20 µs.
func BenchmarkDecide(b *testing.B) {
	s := largeSnapshot()
	job := &jobs.Job{Queue: jobs.Queue{Name: "queue-with-a-name-2", Stretch: 2}, Organization: "organization-0000000000000019"}
	for i := range 4 {
		step := jobs.Step{Count: 20, Estimate: time.Second, PerTask: roster.Resources{Millicores: 4000}}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	s.Queues[3].Long = 9 * time.Second
	b.ReportAllocs()
	for b.Loop() {
		r := s.NewRequest(job, roster.Resources{Millicores: 1_000_000}, 0.5)
		if d := s.Decide(testTime, r, Rules{TooLate: true, Excess: true, NoChance: true}); d.Reason == GangExceedsCap {
			b.Fatal(d)
		}
	}
}
