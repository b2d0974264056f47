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

// The size of a simulation: the time with load and faults, the time to settle afterwards, the time that
// each deadly task adds, which takes a worker away maxCrashes times, the time that tight caps add, under
// which all jobs share 7 of the 16 processors, and the number of jobs.
const (
	simLoadTime   = 12 * time.Second
	simSettleTime = 60 * time.Second
	simDeadlyTime = maxCrashes * 10 * time.Second
	simTightTime  = 80 * time.Second
	simJobCount   = 30
)

// simulate runs one simulation and returns its final state, with the violations found.
func simulate(seed uint64, faults simFaults, unsafe unsafeOptions) *simulation {
	sim := newSimulation(seed, faults, unsafe)
	sim.startLeader()
	r := rand.New(rand.NewPCG(seed, 11))
	caps := rand.New(rand.NewPCG(seed, 13))
	if faults.capChanges > 0 {
		sim.planCaps(caps)
	}
	for i := range simJobCount {
		job := randomJob(r, i, faults.advice)
		if faults.capChanges > 0 || faults.nameOrganizations {
			job.Organization = simOrganizations[caps.IntN(len(simOrganizations))]
			if faults.tightCaps {
				job.Organization = simOrganizations[1]
			}
		}
		if i < faults.deadly {
			sim.deadly[jobs.TaskID{StepID: jobs.StepID{Job: job.ID}}] = true
		}
		sim.after(randomBelow(r, simLoadTime), func() { sim.accept(job) })
		if r.IntN(12) == 0 {
			sim.after(randomBelow(r, simLoadTime), func() { sim.cancel(job.ID) })
		}
	}
	for range faults.crashes {
		id := fmt.Sprintf("w%d", r.IntN(4))
		sim.after(randomBelow(r, simLoadTime), func() { sim.crash(id, 500*time.Millisecond+randomBelow(r, 6*time.Second)) })
	}
	for range faults.disconnects {
		s := sim.workers[fmt.Sprintf("w%d", r.IntN(4))]
		sim.after(randomBelow(r, simLoadTime), func() {
			s.disconnected = true
			sim.after(time.Second+randomBelow(r, 9*time.Second), func() { s.disconnected = false })
		})
	}
	for range faults.splits {
		sim.after(randomBelow(r, simLoadTime), func() { sim.split(2*time.Second + randomBelow(r, 12*time.Second)) })
	}
	for range faults.takeovers {
		sim.after(randomBelow(r, simLoadTime), sim.startLeader)
	}
	for range faults.resizes {
		s := sim.workers[fmt.Sprintf("w%d", r.IntN(4))]
		sim.after(randomBelow(r, simLoadTime), func() { sim.resize(s, time.Second+randomBelow(r, 9*time.Second)) })
	}
	outages := rand.New(rand.NewPCG(seed, 17))
	for range faults.directoryOutages {
		sim.after(randomBelow(outages, simLoadTime), func() {
			sim.directoryAway++
			sim.after(time.Second+randomBelow(outages, 9*time.Second), func() {
				sim.directoryAway--
				sim.directoryBack = sim.now
			})
		})
	}
	sim.run(simLoadTime)
	sim.faults = simFaults{keepOldLeaders: faults.keepOldLeaders, advice: faults.advice, slowStore: faults.slowStore, slowPolls: faults.slowPolls, newIDs: faults.newIDs, durations: faults.durations, health: faults.health, misled: faults.misled}
	settled := simLoadTime + simSettleTime + time.Duration(faults.deadly)*simDeadlyTime
	if faults.tightCaps {
		settled += simTightTime
	}
	sim.run(settled)
	sim.checkFailedJobs()
	return sim
}

// randomJob returns a random job of one to three steps.
func randomJob(r *rand.Rand, serial int, advice bool) jobs.Job {
	job := testJob(jobs.ID(fmt.Sprintf("job%03d", serial)), 1+r.IntN(5))
	job.Steps[0].Estimate = 200*time.Millisecond + randomBelow(r, 2*time.Second)
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
	if serial%10 == 9 {
		job.Steps[0].Estimate += testLease // outlasts the lease of a lost worker
		return job
	}
	for i := 1; i < 1+r.IntN(3); i++ {
		step := job.Steps[0]
		step.Count, step.Gang = 1+r.IntN(3), false
		step.After = []int{i - 1}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// TestWorldHolds simulates random loads with faults of all kinds. It guards against tasks that
// run twice, before the steps they depend on, more often than their attempts or their crashes allow,
// beyond a worker's capacity, or beyond the cap of their organization, and against jobs that fail without cause, or do not finish once the
// faults are over.
func TestWorldHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := simFaults{
			loseCommand:    rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose-command"),
			loseAnswer:     rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose-answer"),
			lateCommand:    rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late-command"),
			latePoll:       rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late-poll"),
			failTask:       rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "fail-task"),
			crashes:        rapid.IntRange(0, 3).Draw(t, "crashes"),
			disconnects:    rapid.IntRange(0, 3).Draw(t, "disconnects"),
			takeovers:      rapid.IntRange(0, 3).Draw(t, "takeovers"),
			keepOldLeaders: rapid.Bool().Draw(t, "keep-old-leaders"),
			advice:         rapid.Bool().Draw(t, "advice"),
			slowPolls:      rapid.Bool().Draw(t, "slow-polls"),
			slowStore:      rapid.Bool().Draw(t, "slow-store"),
			slowFeed:       rapid.Bool().Draw(t, "slow-feed"),
			splits:         rapid.IntRange(0, 2).Draw(t, "splits"),
			resizes:        rapid.IntRange(0, 6).Draw(t, "resizes"),
			slowDirectory:  rapid.Bool().Draw(t, "slow-directory"),
			deadly:         rapid.IntRange(0, 3).Draw(t, "deadly"),
			newIDs:         rapid.Bool().Draw(t, "new-ids"),
			capChanges:     rapid.IntRange(0, 8).Draw(t, "cap-changes"),
			tightCaps:      rapid.Bool().Draw(t, "tight-caps"),
			health:         rapid.SampledFrom([]Health{HealthBasic, HealthGraded}).Draw(t, "health"),
			durations:      rapid.SampledFrom([]Durations{DurationsEstimates, DurationsLearned, DurationsNoise}).Draw(t, "durations"),
			misled:         rapid.Bool().Draw(t, "misled"),
		}
		faults.directoryOutages = rapid.IntRange(0, 2).Draw(t, "directory-outages")
		sim := simulate(seed, faults, unsafeOptions{})
		for _, v := range sim.violations {
			t.Errorf("%s\n%s", v, sim.linesAbout(jobNamedIn(v)))
		}
		for _, id := range sim.unfinished() {
			t.Errorf("%s did not finish\n%s", id, sim.linesAbout(string(id)))
		}
		if sim.starts == 0 {
			t.Error("nothing was started")
		}
	})
}

// TestProtections checks that the simulation detects a violation if a safety measure is off.
func TestProtections(t *testing.T) {
	const seeds = 60
	cases := map[string]struct {
		unsafe unsafeOptions
		faults simFaults
	}{
		"inherited jobs wait for previous workers": {
			unsafeOptions{skipPreviousWorkers: true}, simFaults{disconnects: 4, takeovers: 3},
		},
		"results are acknowledged after their commit": {
			unsafeOptions{ackEarly: true}, simFaults{takeovers: 6, slowStore: true},
		},
		"unanswered starts count as runs": {
			unsafeOptions{forgetUnanswered: true}, simFaults{loseAnswer: 0.1, lateCommand: 0.1},
		},
		"lost workers keep their runs until the lease expires": {
			unsafeOptions{forgetLost: true}, simFaults{disconnects: 4},
		},
		"jobs stored during a takeover wait as well": {
			unsafeOptions{skipOverlap: true}, simFaults{takeovers: 6, keepOldLeaders: true, slowPolls: true},
		},
		"results and runs of unknown jobs are kept": {
			unsafeOptions{forgetOrphans: true}, simFaults{takeovers: 6, keepOldLeaders: true, slowPolls: true, slowFeed: true},
		},
		"leases expire, and work starts, only while no other VM can lead": {
			// A split keeps the directory away as well, which also stops starts.
			unsafeOptions{skipConfirmation: true, trustOldEntries: true}, simFaults{splits: 2},
		},
		"a capacity that has shrunk counts": {
			unsafeOptions{keepCapacity: true}, simFaults{resizes: 6},
		},
		"an entry that may be old does not count": {
			unsafeOptions{trustOldEntries: true}, simFaults{resizes: 6, directoryOutages: 3},
		},
		"failures are counted across leaders": {
			unsafeOptions{forgetFailures: true}, simFaults{failTask: 0.5, takeovers: 3},
		},
		"caps limit what organizations have running": {
			unsafeOptions{ignoreCaps: true}, simFaults{capChanges: 3},
		},
		"what earlier leaders may have running counts against caps": {
			unsafeOptions{forgetEarlierUsage: true}, simFaults{capChanges: 1, tightCaps: true, splits: 2, disconnects: 2},
		},
		"crashes are counted across leaders": {
			unsafeOptions{forgetCrashes: true}, simFaults{deadly: 3, takeovers: 6},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if sim := simulate(seed, c.faults, c.unsafe); len(sim.violations) > 0 {
					t.Logf("seed %d: %s", seed, sim.violations[0])
					return
				}
			}
			t.Errorf("no violation in %d simulations with the safety measure off", seeds)
		})
	}
}

// jobNamedIn returns the ID of the job that a violation names.
func jobNamedIn(violation string) string {
	if i := strings.Index(violation, "job"); i >= 0 {
		return violation[i:min(len(violation), i+6)]
	}
	return violation
}
