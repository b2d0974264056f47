package engine

import (
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// TestWasteByCause checks that wasted work is counted under what an operator can act on: the cause of the stop, unless
// the run failed or was lost first. Work that is done is no waste, also if it was being stopped.
func TestWasteByCause(t *testing.T) {
	cases := map[string]struct {
		waste WasteCause
		end   jobs.End
		want  WasteCause
	}{
		"done":                         {noWaste, jobs.EndDone, noWaste},
		"done while being stopped":     {WastePreempted, jobs.EndDone, noWaste},
		"failed":                       {noWaste, jobs.EndFailed, WasteFailed},
		"lost":                         {WasteMoved, jobs.EndExpired, WasteExpired},
		"gang broken":                  {noWaste, jobs.EndGangBroken, WasteGang},
		"gang incomplete":              {noWaste, jobs.EndGangIncomplete, WasteGang},
		"moved":                        {WasteMoved, jobs.EndStopped, WasteMoved},
		"preempted":                    {WastePreempted, jobs.EndStopped, WastePreempted},
		"stopped without a known task": {noWaste, jobs.EndStopped, WasteDuplicate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{})
			e.noteWaste(testStart.Add(2*time.Second), &run{waste: c.waste, demand: roster.Resources{Millicores: 1500}, startSentAt: testStart}, c.end)
			for cause, amount := range e.WastedCoreSeconds() {
				if want := map[bool]float64{true: 3}[cause == c.want]; amount != want {
					t.Errorf("%.1f core-seconds under %s, want %.1f", amount, cause, want)
				}
			}
		})
	}
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: testJob("job", 1)})
	e.startAll(0)
	for _, r := range e.workers["w1"].runs {
		e.stopFor(e.now, r, WasteMoved)
		e.stopFor(e.now, r, WasteCanceled)
		if r.waste != WasteMoved {
			t.Errorf("a run that is stopped twice counts under %s, want the first cause", r.waste)
		}
	}
}
