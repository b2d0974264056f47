package engine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/jobs"
)

// The length of a played day: load and faults, and then time to settle.
const (
	simLoad   = 12 * time.Second
	simSettle = 60 * time.Second
	simJobs   = 30
)

// play plays a day and returns what was broken.
func play(seed uint64, faults simFaults, unsafe unsafeOptions) *world {
	w := newWorld(seed, faults, unsafe)
	w.lead()
	r := rand.New(rand.NewPCG(seed, 11))
	for i := range simJobs {
		job := simJob(r, i, faults.advice)
		w.after(within(r, simLoad), func() { w.accept(job) })
		if r.IntN(12) == 0 {
			w.after(within(r, simLoad), func() { w.cancel(job.ID) })
		}
	}
	for range faults.crashes {
		id := fmt.Sprintf("w%d", r.IntN(4))
		w.after(within(r, simLoad), func() { w.crash(id, 500*time.Millisecond+within(r, 6*time.Second)) })
	}
	for range faults.cuts {
		s := w.workers[fmt.Sprintf("w%d", r.IntN(4))]
		w.after(within(r, simLoad), func() {
			s.cut = true
			w.after(time.Second+within(r, 9*time.Second), func() { s.cut = false })
		})
	}
	for range faults.takeovers {
		w.after(within(r, simLoad), w.lead)
	}
	w.run(simLoad)
	w.faults = simFaults{staleLeader: faults.staleLeader, advice: faults.advice, slowStore: faults.slowStore, slowLooks: faults.slowLooks}
	w.run(simLoad + simSettle)
	return w
}

// simJob draws a job of one to three steps.
func simJob(r *rand.Rand, serial int, advice bool) jobs.Job {
	job := testJob(jobs.ID(fmt.Sprintf("job%03d", serial)), 1+r.IntN(5))
	job.Steps[0].Estimate = 200*time.Millisecond + within(r, 2*time.Second)
	job.Steps[0].SavesCheckpoints = r.IntN(2) == 0
	if r.IntN(4) == 0 {
		job.Steps[0].Gang, job.Steps[0].Count = true, 2+r.IntN(6)
	}
	job.Queue.Attempts = 3
	job.Queue.Name = fmt.Sprintf("queue%d", r.IntN(3))
	job.Queue.Priority = r.IntN(3)
	if advice {
		job.Queue.Advice = &jobs.AdviceSettings{RequestTime: 20 * time.Millisecond, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
	}
	for i := 1; i < 1+r.IntN(3); i++ {
		step := job.Steps[0]
		step.Count, step.Gang = 1+r.IntN(3), false
		step.After = []int{i - 1}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// TestWorldHolds plays drawn days with faults of all kinds: nothing runs twice,
// too early, too often or where there is no room, and once the faults are over
// each job comes to its end.
func TestWorldHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := simFaults{
			loseOrder:   rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose-order"),
			loseAnswer:  rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose-answer"),
			lateOrder:   rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late-order"),
			lateLook:    rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late-look"),
			failTask:    rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "fail-task"),
			crashes:     rapid.IntRange(0, 3).Draw(t, "crashes"),
			cuts:        rapid.IntRange(0, 3).Draw(t, "cuts"),
			takeovers:   rapid.IntRange(0, 3).Draw(t, "takeovers"),
			staleLeader: rapid.Bool().Draw(t, "stale-leader"),
			advice:      rapid.Bool().Draw(t, "advice"),
			slowLooks:   rapid.Bool().Draw(t, "slow-looks"),
			slowStore:   rapid.Bool().Draw(t, "slow-store"),
			slowFeed:    rapid.Bool().Draw(t, "slow-feed"),
		}
		w := play(seed, faults, unsafeOptions{})
		for _, v := range w.violations {
			t.Errorf("%s\n%s", v, w.about(jobIn(v)))
		}
		for _, id := range w.unfinished() {
			t.Errorf("%s did not come to an end\n%s", id, w.about(string(id)))
		}
		if w.starts == 0 {
			t.Error("nothing was started")
		}
	})
}

// TestProtections checks that the world notices when a protection is off.
func TestProtections(t *testing.T) {
	const days = 60
	cases := map[string]struct {
		unsafe unsafeOptions
		faults simFaults
	}{
		"inherited jobs wait for former workers": {
			unsafeOptions{skipFormer: true}, simFaults{cuts: 4, takeovers: 3},
		},
		"ends are confirmed after their commit": {
			unsafeOptions{confirmEarly: true}, simFaults{takeovers: 6, slowStore: true},
		},
		"unanswered starts count": {
			unsafeOptions{forgetUnanswered: true}, simFaults{loseAnswer: 0.1, lateOrder: 0.1},
		},
		"leases are waited out": {
			unsafeOptions{forgetLost: true}, simFaults{cuts: 4},
		},
		"jobs stored during a takeover wait as well": {
			unsafeOptions{skipOverlap: true}, simFaults{takeovers: 6, staleLeader: true, slowLooks: true},
		},
		"ends and runs of unheard jobs are kept": {
			unsafeOptions{forgetOrphans: true}, simFaults{takeovers: 6, staleLeader: true, slowLooks: true, slowFeed: true},
		},
		"failures are counted over leaders": {
			unsafeOptions{forgetFailures: true}, simFaults{failTask: 0.5, takeovers: 3},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(days) {
				if w := play(seed, c.faults, c.unsafe); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Errorf("no violation in %d days with the protection off", days)
		})
	}
}

// jobIn returns the job that a violation names.
func jobIn(violation string) string {
	if i := strings.Index(violation, "job"); i >= 0 {
		return violation[i:min(len(violation), i+6)]
	}
	return violation
}
