package play

import (
	"strings"
	"testing"

	"tanagerstack.org/core/engine"
)

// TestParseScenarioNamesInvalidFields checks that an invalid scenario is refused with an error that
// names the field.
func TestParseScenarioNamesInvalidFields(t *testing.T) {
	const good = "length: 1s\nvms: 1\nworkers: {count: 1, per-rack: 1, millicores: 1000, speeds: [1], distances: [1ms]}\n" +
		"queues:\n- {name: q, per-second: 1, attempts: 1, worth: 1, width: {mean: 1}, work: {mean: 1}, millicores: {mean: 100}, memory-bytes: {mean: 1}}\n"
	cases := map[string]struct {
		replace, with string
		want          string
	}{
		"valid":                     {"", "", ""},
		"no VMs":                    {"vms: 1", "vms: 0", "vms"},
		"no length":                 {"length: 1s", "length: 0s", "length"},
		"not a duration":            {"length: 1s", "length: soon", "duration"},
		"unknown field":             {"vms: 1", "vms: 1\ncolor: red", "color"},
		"no attempts":               {"attempts: 1", "attempts: 0", "attempts"},
		"burst of an unknown queue": {"vms: 1", "vms: 1\nbursts: [{queue: other, at: 0s, for: 1s, times: 2}]", "other"},
		"no speeds":                 {"speeds: [1]", "speeds: []", "speeds"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseScenario([]byte(strings.Replace(good, c.replace, c.with, 1)))
			switch {
			case c.want == "" && err != nil:
				t.Errorf("valid scenario was refused: %v", err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("got error %v, want one that names %q", err, c.want)
			}
		})
	}
}

// TestSimulateIsDeterministic checks that the same seed gives the same result again.
func TestSimulateIsDeterministic(t *testing.T) {
	scenario := loadScenario(t, "booking", 0.1)
	first, second := Simulate(scenario, engine.Policy{}, 7, 1), Simulate(scenario, engine.Policy{}, 7, 1)
	if first.Earned != second.Earned || first.Starts != second.Starts || first.AdviceRequests != second.AdviceRequests {
		t.Errorf("two runs of seed 7 differ: earned %v and %v, %d and %d starts", first.Earned, second.Earned, first.Starts, second.Starts)
	}
}
