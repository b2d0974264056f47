package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/roster"
)

// TestLedgerAgainstAPlainSum applies random operations to a ledger and to a plain map of charges.
// It guards against capacity that is freed without sufficient proof, and free capacity that
// differs from the capacity less the sum of the charges.
func TestLedgerAgainstAPlainSum(t *testing.T) {
	const skew = time.Second
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		capacity := roster.Resources{Millicores: 50, MemoryBytes: 50, Accelerators: 2}
		l.SetWorker("worker", "rack", capacity)
		charges := map[Task]Charge{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			key := Task{Job: "job", Index: rapid.IntRange(0, 4).Draw(t, "task")}
			switch rapid.SampledFrom([]string{"charge", "release", "capacity"}).Draw(t, "step") {
			case "charge":
				c := Charge{
					Task: key, State: rapid.SampledFrom([]State{Reserved, Unconfirmed, Running}).Draw(t, "state"),
					Amount:        roster.Resources{Millicores: rapid.Int64Range(1, 20).Draw(t, "amount")},
					LeaseDeadline: now.Add(2 * time.Second),
				}
				l.Charge("worker", c)
				charges[key] = c
			case "release":
				p := rapid.SampledFrom([]Proof{NothingSent{}, WorkerReport{}, LeaseExpired{Now: now, Skew: skew}}).Draw(t, "proof")
				release(t, &l, charges, key, p, now, skew)
			case "capacity":
				capacity.Millicores = rapid.Int64Range(10, 90).Draw(t, "capacity")
				l.SetWorker("worker", "rack", capacity)
			}
			free := capacity
			for _, c := range charges {
				free = Difference(free, c.Amount)
			}
			if got := l.Worker("worker").Free; got != free {
				t.Fatalf("free %+v, want %+v as the capacity less the sum of the charges", got, free)
			}
		}
	})
}

// TestFitCount guards against tasks that count as fitting where more is in use than there is.
func TestFitCount(t *testing.T) {
	task := roster.Resources{Millicores: 1000, MemoryBytes: 1000, Accelerators: 1}
	cases := map[string]struct {
		demand, free roster.Resources
		want         int
	}{
		"several":                        {task, roster.Resources{Millicores: 2999, MemoryBytes: 9000, Accelerators: 9}, 2},
		"no more than the limit":         {task, roster.Resources{Millicores: 9000, MemoryBytes: 9000, Accelerators: 9}, 4},
		"none free":                      {task, roster.Resources{}, 0},
		"over by a part of a task":       {task, roster.Resources{Millicores: -1, MemoryBytes: 9000, Accelerators: 9}, 0},
		"over by several tasks":          {task, roster.Resources{Millicores: -5000, MemoryBytes: 9000, Accelerators: 9}, 0},
		"memory over":                    {task, roster.Resources{Millicores: 9000, MemoryBytes: -1, Accelerators: 9}, 0},
		"accelerators over":              {task, roster.Resources{Millicores: 9000, MemoryBytes: 9000, Accelerators: -1}, 0},
		"no demand where none is free":   {roster.Resources{MemoryBytes: 1000}, roster.Resources{MemoryBytes: 9000}, 4},
		"no demand where more is in use": {roster.Resources{MemoryBytes: 1000}, roster.Resources{Millicores: -1, MemoryBytes: 9000}, 0},
		"no demand at all":               {roster.Resources{}, roster.Resources{}, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := FitCount(c.demand, c.free, 4); got != c.want {
				t.Errorf("%d fit, want %d", got, c.want)
			}
		})
	}
}

func release(t *rapid.T, l *Ledger, charges map[Task]Charge, key Task, p Proof, now time.Time, skew time.Duration) {
	c, charged := charges[key]
	wantReleased := !charged
	switch p.(type) {
	case NothingSent:
		wantReleased = wantReleased || c.State == Reserved
	case WorkerReport:
		wantReleased = true
	case LeaseExpired:
		wantReleased = wantReleased || (c.State != Reserved && now.After(c.LeaseDeadline.Add(skew)))
	}
	if got := l.Release("worker", key, p); got != wantReleased {
		t.Fatalf("release of %+v by %T: %v, want %v", c, p, got, wantReleased)
	}
	if wantReleased {
		delete(charges, key)
	}
}
