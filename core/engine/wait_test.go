package engine

import (
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
)

// waitLogger keeps the reasons of the lines about waiting jobs.
type waitLogger struct{ reasons []string }

func (l *waitLogger) Info(message string, keysAndValues ...any) {
	if message == "job waits" {
		l.reasons = append(l.reasons, keysAndValues[slices.Index(keysAndValues, any("reason"))+1].(string))
	}
}

// TestWaitsAreLoggedOnce guards against waits without a logged reason, wrong reasons, and a line for
// each pass.
func TestWaitsAreLoggedOnce(t *testing.T) {
	cases := map[string]struct {
		limit  int64
		change func(*testEngine, *jobs.Job)
		want   []string
	}{
		"cap":      {3, func(*testEngine, *jobs.Job) {}, []string{"cap"}},
		"capacity": {0, func(_ *testEngine, j *jobs.Job) { j.Steps[0].Count = 5 }, []string{"capacity"}},
		"share":    {0, func(_ *testEngine, j *jobs.Job) { j.Steps[0].Count = 5; j.Organization = "south" }, []string{"share"}},
		"advice": {0, func(_ *testEngine, j *jobs.Job) {
			j.Queue.Advice = &jobs.AdviceSettings{RequestTime: time.Second, TicketValidity: time.Second}
		}, []string{"advice"}},
		"earlier-runs":     {0, func(e *testEngine, _ *jobs.Job) { e.previousWorkers["gone"] = nil }, []string{"earlier-runs"}},
		"nothing to log":   {0, func(_ *testEngine, j *jobs.Job) { j.Steps[0].Count = 1 }, nil},
		"no organizations": {0, func(e *testEngine, j *jobs.Job) { j.Steps[0].Count = 5; e.config = &jobs.Config{Version: 9} }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			logger := &waitLogger{}
			e := newTestEngine(t, Options{Logger: logger, PreviousLeasesUntil: testStart.Add(time.Hour)}, testWorker("w1"))
			e.setOrganizations(t, orgs.Organization{Name: "north", Weight: 10, Cap: capOf(c.limit)}, orgs.Organization{Name: "south"})
			job := orgJob("job", 4)
			c.change(e, &job)
			e.apply(JobAccepted{Job: job, Inherited: true})
			for range 30 {
				e.runPass(50 * time.Millisecond)
				e.pollAll(nil)
			}
			if !slices.Equal(logger.reasons, c.want) {
				t.Errorf("logged reasons %q, want %q", logger.reasons, c.want)
			}
		})
	}
}
