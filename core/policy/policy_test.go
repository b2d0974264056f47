package policy_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/policy"
)

func ExampleDocument_Limits() {
	doc, err := policy.Decode(policy.SampleText())
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

// TestDecodeNamesEveryFault changes the sample document and checks that one error names
// the paths of all faults.
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
			_, err := policy.Decode(strings.NewReplacer(tt.replace...).Replace(policy.SampleText()))
			var invalid *policy.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want an InvalidError", err)
			}
			for _, field := range tt.fields {
				if !strings.Contains(err.Error(), field) {
					t.Errorf("error does not contain %s: %v", field, err)
				}
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("error contains the token: %v", err)
			}
		})
	}
}

func TestLint(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	base, err := policy.Decode(policy.SampleText())
	if err != nil {
		t.Fatal(err)
	}
	strict := policy.Limits{Burst: 7}
	many := make([]policy.Exception, policy.ExceptionsWarningLimit+1)
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

// referenceLimits is the reference model of Limits: it finds the first exception that
// applies and copies the fields that it sets.
func referenceLimits(doc *policy.Document, caller, class, service string, now time.Time) (policy.Limits, string) {
	for _, e := range doc.Exceptions {
		wrongCaller := e.Caller != "" && e.Caller != caller
		wrongClass := e.Class != "" && e.Class != class
		wrongService := e.Service != "" && e.Service != service
		ended := !e.Until.IsZero() && (now.Equal(e.Until) || now.After(e.Until))
		if wrongCaller || wrongClass || wrongService || ended {
			continue
		}
		limits := reflect.ValueOf(doc.Defaults)
		merged := reflect.New(limits.Type()).Elem()
		merged.Set(limits)
		for i := range merged.NumField() {
			if set := reflect.ValueOf(e.Limits).Field(i); !set.IsZero() {
				merged.Field(i).Set(set)
			}
		}
		return merged.Interface().(policy.Limits), e.Name
	}
	return doc.Defaults, ""
}

// TestLimitsAgainstNaive compares Limits with referenceLimits and checks that an exception
// never applies if Lint reports that it never applies or has ended.
func TestLimitsAgainstNaive(t *testing.T) {
	names := []string{"", "a", "b"}
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	drawExceptions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) policy.Exception {
		e := policy.Exception{Caller: rapid.SampledFrom(names).Draw(t, "caller"), Class: rapid.SampledFrom(names).Draw(t, "class"), Service: rapid.SampledFrom(names).Draw(t, "service")}
		if end := rapid.IntRange(-2, 3).Draw(t, "end"); end > -2 {
			e.Until = start.Add(time.Duration(end) * time.Second)
		}
		limit := rapid.IntRange(0, 3)
		e.Limits = policy.Limits{Burst: limit.Draw(t, "burst"), JobTasks: limit.Draw(t, "tasks"), Window: policy.Duration(limit.Draw(t, "window")), BodyBytes: int64(limit.Draw(t, "bytes")),
			RequestsPerSecond: float64(limit.Draw(t, "rate")), Concurrent: limit.Draw(t, "concurrent"), PendingJobs: limit.Draw(t, "pending")}
		return e
	}), 0, 6)
	rapid.Check(t, func(t *rapid.T) {
		doc := &policy.Document{Defaults: policy.Limits{Burst: 2, JobTasks: 2, Window: 2, BodyBytes: 2, RequestsPerSecond: 2, Concurrent: 2, PendingJobs: 2}}
		doc.Exceptions = drawExceptions.Draw(t, "exceptions")
		for i := range doc.Exceptions {
			doc.Exceptions[i].Name = fmt.Sprintf("e%d", i)
		}
		now := start.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "now")) * time.Second)
		lint := strings.Join(doc.Lint(now), "\n")
		for _, caller := range names {
			for _, class := range names {
				for _, service := range names {
					got, name := doc.Limits(caller, class, service, now)
					want, wantName := referenceLimits(doc, caller, class, service, now)
					if got != want || name != wantName {
						t.Fatalf("limits %+v by exception %q, want %+v by %q", got, name, want, wantName)
					}
					if name != "" && (strings.Contains(lint, name+" never") || strings.Contains(lint, name+" ended")) {
						t.Fatalf("exception %s applies although Lint reports: %s", name, lint)
					}
				}
			}
		}
	})
}

// FuzzDecode checks that Decode returns either a document or faults for any text, that a
// valid document is unchanged after its row is encoded and decoded, and that nothing
// panics.
func FuzzDecode(f *testing.F) {
	f.Add(policy.SampleText())
	f.Add("defaults: [1]\nclasses: {a: {window: 1}}\nexceptions: {}")
	f.Add("a: &a [*a, *a]\n? [b]\n: c")
	f.Add("exceptions:\n- until: 2026-12-31\n  limits: {window: 1e400s, burst: 99999999999999999999}")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := policy.Decode(text)
		var invalid *policy.InvalidError
		if err != nil {
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Fatalf("error %v has no faults", err)
			}
			return
		}
		row, err := policy.EncodeRow(&policy.Version{Number: 1, Text: text})
		if err != nil {
			t.Fatal(err)
		}
		v, err := policy.DecodeRow(row)
		if err != nil || !reflect.DeepEqual(v.Document, doc) {
			t.Fatalf("the document differs after encoding and decoding its row, or an error: %v", err)
		}
	})
}
