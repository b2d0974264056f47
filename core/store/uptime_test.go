package store

import (
	"testing"
	"time"
)

// TestUptime checks which failures end the time for which a service has answered.
func TestUptime(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type event struct {
		after    time.Duration
		answered bool
	}
	cases := map[string]struct {
		events []event
		want   time.Duration
	}{
		"first answer":                       {[]event{{time.Second, true}}, time.Second},
		"no calls for long":                  {[]event{{0, true}, {time.Hour, true}}, 0},
		"one call fails, others do not":      {[]event{{0, true}, {time.Second, false}, {time.Second, true}}, time.Second},
		"one call fails between two answers": {[]event{{0, true}, {100 * time.Millisecond, false}, {maxAnswerGap, true}}, 0},
		"outage":                             {[]event{{0, true}, {100 * time.Millisecond, false}, {time.Minute, true}, {time.Hour, true}}, time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var u uptime
			for _, e := range c.events {
				if e.answered {
					u.answered(start.Add(e.after))
				} else {
					u.unanswered()
				}
			}
			if got := u.since.Sub(start); got != c.want {
				t.Errorf("answers since %s, want %s", got, c.want)
			}
		})
	}
}
