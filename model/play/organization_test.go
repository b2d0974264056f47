package play

import (
	"testing"
	"time"
)

// TestSurgeRaisesOneOrganization checks that a surge multiplies the jobs of its organization and leaves
// the number of jobs of the others unchanged: otherwise the model would show the isolation of the
// others under another load than the one without the surge.
func TestSurgeRaisesOneOrganization(t *testing.T) {
	scenario := loadScenario(t, "counter", 1)
	scenario.Bursts = nil
	surge := scenario.Organizations.Surges[0]
	counts := func() (surging, others float64) {
		for _, p := range scenario.draw(3, 1) {
			if p.arrivalOffset < time.Duration(surge.At) || p.arrivalOffset >= time.Duration(surge.At+surge.For) {
				continue
			}
			if p.Organization == organizationName(surge.Organization) {
				surging++
			} else {
				others++
			}
		}
		return surging, others
	}
	surging, others := counts()
	scenario.Organizations.Surges = nil
	usual, usualOthers := counts()
	if ratio := surging / usual; ratio < 0.8*surge.Factor || ratio > 1.25*surge.Factor {
		t.Errorf("the organization sent %.0f jobs instead of %.0f, want about %g times as many", surging, usual, surge.Factor)
	}
	if ratio := others / usualOthers; ratio < 0.85 || ratio > 1.15 {
		t.Errorf("the others sent %.0f jobs instead of %.0f, want about as many", others, usualOthers)
	}
}

// TestCheckpointShortensNextRun checks that a run that begins from a checkpoint takes the rest of the
// work and the time to resume. A model without that would hide what preemption costs and saves.
func TestCheckpointShortensNextRun(t *testing.T) {
	scenario := loadScenario(t, "counter", 0.1)
	w := &worker{sim: &simulation{scenario: scenario, now: startTime}}
	job := &simJob{}
	job.Steps = append(job.Steps, scenario.draw(1, 1)[0].Steps[0])
	job.Steps[0].SavesCheckpoints = true
	first := &run{job: job, worker: w, active: true, startedAt: startTime, duration: 4 * time.Second}
	if got := first.checkpoint(startTime.Add(900 * time.Millisecond)); got != "" {
		t.Errorf("got checkpoint %q before the first interval", got)
	}
	second := &run{job: job, worker: w, duration: 4 * time.Second}
	second.resume(first.checkpoint(startTime.Add(3500 * time.Millisecond)))
	if want := time.Second + time.Duration(scenario.Workers.ResumeTime); second.duration.Round(time.Millisecond) != want {
		t.Errorf("the resumed run takes %s, want %s", second.duration, want)
	}
}
