package policy_test

import (
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/policy"
)

// TestEditExceptions adds and removes an exception in documents that write the list in
// several forms, and checks that the other lines are kept where the form allows it.
func TestEditExceptions(t *testing.T) {
	base := policy.SampleText()
	_, item, _ := strings.Cut(base, "exceptions:\n")
	tests := map[string]struct {
		text       string
		keepsLines bool
	}{
		"block list":        {text: base, keepsLines: true},
		"indented list":     {text: strings.Replace(base, item, "  "+strings.ReplaceAll(strings.TrimSpace(item), "\n", "\n  ")+"\n", 1), keepsLines: true},
		"no list":           {text: strings.Replace(base, "exceptions:\n"+item, "", 1), keepsLines: true},
		"empty list":        {text: strings.Replace(base, "exceptions:\n"+item, "exceptions: []\n", 1)},
		"list at the start": {text: "exceptions:\n" + item + "\n" + strings.Replace(base, "exceptions:\n"+item, "", 1), keepsLines: true},
	}
	e := policy.Exception{
		Name: "archive", Caller: "partners", Class: "master", Author: "alice", Until: time.Date(2026, 12, 24, 8, 0, 0, 0, time.UTC),
		Reason: "The archive: it's \"moved\" until Christmas.", Limits: policy.Limits{Burst: 9, Window: policy.Duration(time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			added, err := policy.AddException(tt.text, e)
			if err != nil {
				t.Fatal(err)
			}
			doc, err := policy.Decode(added)
			if err != nil {
				t.Fatal(err)
			}
			if _, exception := doc.Limits("partners", "master", "", e.Until.Add(-time.Second)); exception != "archive" {
				t.Errorf("exception %q applies, want archive", exception)
			}
			if _, exception := doc.Limits("partners", "master", "", e.Until); exception != "" {
				t.Errorf("exception %q applies after it has ended", exception)
			}
			if keeps := strings.Contains(added, "# Retries of"); keeps != tt.keepsLines {
				t.Errorf("comments are kept: %v, want %v", keeps, tt.keepsLines)
			}
			removed, err := policy.RemoveException(added, "archive")
			if err != nil {
				t.Fatal(err)
			}
			if left := policy.Diff(tt.text, removed); tt.keepsLines && name != "no list" && left != "" {
				t.Errorf("text differs from the original after removal:\n%s", left)
			}
			if _, err := policy.RemoveException(removed, "archive"); err == nil {
				t.Error("removing an exception twice did not fail")
			}
		})
	}
}

func TestDifference(t *testing.T) {
	tests := map[string]struct{ before, after, want string }{
		"equal":   {before: "a\nb\n", after: "a\nb\n"},
		"changed": {before: "a\nb\nc\nd\ne\nf", after: "a\nb\nc\nD\ne\nf", want: " b\n c\n-d\n+D\n e\n f"},
		"added":   {before: "a\nc", after: "a\nb\nc", want: " a\n+b\n c"},
		"removed": {before: "a\nb\nc", after: "a\nc", want: " a\n-b\n c"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := policy.Diff(tt.before, tt.after); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
