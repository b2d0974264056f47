package trace_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/trace"
)

func ExampleLog() {
	log := trace.NewLog(trace.Options{VM: "entry-1"})
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	log.Add("request-7", trace.Decision{At: start.Add(time.Millisecond), Step: "route", Verdict: "target-3"})
	log.Add("request-7", trace.Decision{At: start, Step: "admit", Verdict: "accepted", Rule: "rate"})
	for _, d := range log.Find("request-7") {
		fmt.Println(d.VM, d.Step, d.Verdict)
	}
	// Output:
	// entry-1 admit accepted
	// entry-1 route target-3
}

func TestLogIsBounded(t *testing.T) {
	log := trace.NewLog(trace.Options{Entries: 16})
	for i := range 10_000 {
		log.Add("same", trace.Decision{At: time.Unix(int64(i), 0)})
	}
	found := log.Find("same")
	if len(found) != 1 {
		t.Fatalf("a log with one entry per shard kept %d entries", len(found))
	}
	if got := found[0].At.Unix(); got != 9_999 {
		t.Errorf("kept the decision of second %d, want 9999, the newest", got)
	}
}
