package policy_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/policy"
)

func ExampleDocument_Limits() {
	doc, err := policy.Decode(policy.DefaultText())
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	limits, exception := doc.Limits("network", "hold", "booking", now)
	fmt.Println(limits.RequestsPerSecond, time.Duration(limits.Window), exception)
	limits, exception = doc.Limits("hosts", "hold", "booking", now)
	fmt.Println(limits.RequestsPerSecond, time.Duration(limits.Window), exception == "")
	// Output:
	// 500 10s network-onboarding
	// 2000 10s true
}

// TestDecodeNamesEveryFault changes the sample document and demands the paths
// of all faults in one error.
func TestDecodeNamesEveryFault(t *testing.T) {
	tests := map[string]struct {
		replace []string
		fields  []string
	}{
		"unknown fields": {
			replace: []string{"burst: 400", "bursts: 400", "ratio: 0.1", "ratios: 0.1"},
			fields:  []string{"defaults.bursts", "retry.ratios", "defaults.burst"},
		},
		"wrong case":    {replace: []string{"burst: 400", "Burst: 400"}, fields: []string{"defaults.Burst"}},
		"wrong kinds":   {replace: []string{"burst: 400", "burst: many", "window: 10s", "window: 10"}, fields: []string{"defaults.burst", "defaults.window"}},
		"out of range":  {replace: []string{"burst: 400", "burst: -1", "attempts: 5", "attempts: 0"}, fields: []string{"defaults.burst", "jobs.attempts"}},
		"unknown names": {replace: []string{"class: report", "class: reports", "caller: network", "caller: networks"}, fields: []string{"services.inspection.class", "exceptions[0].caller"}},
		"no reason":     {replace: []string{"reason: The", "reason: '' #"}, fields: []string{"exceptions[0].reason"}},
		"placeholder":   {replace: []string{"reason: The", "reason: 'TBD, will write this later' #"}, fields: []string{"exceptions[0].reason"}},
		"duplicate key": {replace: []string{"retry: {", "retry: {ratio: 0.2, "}, fields: []string{`key "ratio" already set`}},
		"plain token":   {replace: []string{"4971f044841dd8bb722ac816dc58684fc897cf331e8585b6fb3f8deea323e4fb", "secret"}, fields: []string{"callers.network.token-sha256"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := policy.Decode(strings.NewReplacer(tt.replace...).Replace(policy.DefaultText()))
			var invalid *policy.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want an InvalidError", err)
			}
			for _, field := range tt.fields {
				if !strings.Contains(err.Error(), field) {
					t.Errorf("error does not name %s: %v", field, err)
				}
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("error repeats a token: %v", err)
			}
		})
	}
}

func TestLint(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	base, err := policy.Decode(policy.DefaultText())
	if err != nil {
		t.Fatal(err)
	}
	strict := policy.Limits{Burst: 7}
	many := make([]policy.Exception, policy.MaxExceptions+1)
	for i := range many {
		many[i] = policy.Exception{Name: fmt.Sprintf("e%d", i), Caller: fmt.Sprintf("c%d", i), Limits: strict}
	}
	tests := map[string]struct {
		exceptions []policy.Exception
		want       string
	}{
		"too many":  {exceptions: many, want: "more than 20"},
		"ended":     {exceptions: []policy.Exception{{Name: "a", Until: now, Limits: strict}}, want: "ended"},
		"no effect": {exceptions: []policy.Exception{{Name: "a", Limits: policy.Limits{Burst: base.Defaults.Burst}}}, want: "no effect"},
		"shadowed":  {exceptions: []policy.Exception{{Name: "a", Caller: "x", Limits: strict}, {Name: "b", Caller: "x", Class: "y", Limits: strict}}, want: "b never applies"},
		"outlives":  {exceptions: []policy.Exception{{Name: "a", Caller: "x", Until: now.Add(time.Hour), Limits: strict}, {Name: "b", Caller: "x", Limits: strict}}},
		"narrower":  {exceptions: []policy.Exception{{Name: "a", Caller: "x", Class: "y", Limits: strict}, {Name: "b", Caller: "x", Limits: strict}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := *base
			doc.Exceptions = tt.exceptions
			got := strings.Join(doc.Lint(now), "\n")
			if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("got warnings %q, want %q", got, tt.want)
			}
		})
	}
}
