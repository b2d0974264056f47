package burn_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/policy"
)

func ExampleReport() {
	doc, err := policy.Decode(policy.SampleText())
	if err != nil {
		fmt.Println(err)
		return
	}
	recorder := burn.NewRecorder(burn.Options{})
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 100 {
		sample := burn.Sample{Caller: "hosts", Class: "hold", ArrivedAt: start, StartedAt: start.Add(time.Millisecond), EndedAt: start.Add(time.Second), NotAfter: start.Add(2 * time.Second)}
		if i == 0 {
			sample.StartedAt = start.Add(500 * time.Millisecond)
		}
		recorder.Observe(sample)
	}
	for _, row := range burn.Report(recorder.Snapshot(start.Add(time.Second), false), doc) {
		fmt.Printf("%s %s: %d of %d bad, burn rate %.1f\n", row.Class, row.Objective, row.Bad, row.Total, row.Rates[0])
	}
	// Output:
	// hold waiting: 1 of 100 bad, burn rate 1.0
	// hold truthful: 0 of 100 bad, burn rate 0.0
	// hold completion: 0 of 100 bad, burn rate 0.0
}

// TestReportAgainstNaive compares the report of the merged snapshots of two recorders
// with a reference count over all samples.
func TestReportAgainstNaive(t *testing.T) {
	doc, err := policy.Decode(policy.SampleText())
	if err != nil {
		t.Fatal(err)
	}
	limit := time.Duration(doc.Classes["hold"].Objectives.WaitingUnder)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		now := start
		recorders := []*burn.Recorder{burn.NewRecorder(burn.Options{}), burn.NewRecorder(burn.Options{})}
		var samples []burn.Sample
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "gap")))
			s := drawSample(t, now, limit)
			samples = append(samples, s)
			rapid.SampledFrom(recorders).Draw(t, "recorder").Observe(s)
		}
		merged := burn.Merge(recorders[0].Snapshot(now, true), recorders[1].Snapshot(now, true))
		for _, row := range burn.Report(merged, doc) {
			total, bad := referenceCount(samples, row.Objective, now, limit)
			if row.Total != total || row.Bad != bad {
				t.Fatalf("%s: counted %d of %d bad, want %d of %d", row.Objective, row.Bad, row.Total, bad, total)
			}
		}
	})
}

func drawSample(t *rapid.T, now time.Time, limit time.Duration) burn.Sample {
	s := burn.Sample{Caller: "hosts", Class: "hold", EndedAt: now, Outcome: burn.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	s.NotAfter = now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "late")) * time.Second)
	s.StartedAt = now.Add(-time.Second)
	// The waiting times differ from the objective by more than the error of the
	// histogram.
	s.ArrivedAt = s.StartedAt.Add(-limit * time.Duration(rapid.SampledFrom([]int{1, 9, 11, 100}).Draw(t, "wait")) / 10)
	if s.Outcome == burn.Refused {
		s.StartedAt = time.Time{}
	}
	return s
}

// referenceCount counts the samples of an objective in the longest window. As in the
// recorder, the half hour in which the window begins is left out.
func referenceCount(samples []burn.Sample, objective burn.Objective, now time.Time, limit time.Duration) (total, bad int64) {
	oldest := now.Unix()/1800 - int64(burn.LongestWindow/(30*time.Minute))
	for _, s := range samples {
		if s.EndedAt.Unix()/1800 <= oldest {
			continue
		}
		counts, isBad := true, s.Outcome == burn.Ambiguous
		switch objective {
		case burn.Waiting:
			counts, isBad = !s.StartedAt.IsZero(), s.StartedAt.Sub(s.ArrivedAt) > limit
		case burn.Completion:
			counts = s.Outcome != burn.Refused
			isBad = s.Outcome != burn.Completed || s.EndedAt.After(s.NotAfter)
		}
		if counts {
			total++
			if isBad {
				bad++
			}
		}
	}
	return total, bad
}

// TestPredictSpendsEachTokenOnce checks that two classes of a caller with the same limits
// share one token bucket: a constant load above the rate is refused except for the
// burst and the rate.
func TestPredictSpendsEachTokenOnce(t *testing.T) {
	doc, err := policy.Decode(policy.SampleText())
	if err != nil {
		t.Fatal(err)
	}
	doc.Defaults.RequestsPerSecond, doc.Defaults.Burst = 5, 20
	recorder := burn.NewRecorder(burn.Options{})
	start := time.Unix(1_800_000_000, 0)
	const seconds, perSecond = 50, 10
	for i := range seconds * perSecond {
		at := start.Add(time.Duration(i) * time.Second / perSecond)
		class := []string{"hold", "report"}[i%2]
		recorder.Observe(burn.Sample{Caller: "hosts", Class: class, ArrivedAt: at, EndedAt: at, NotAfter: at.Add(time.Second)})
	}
	var refused int64
	for _, f := range burn.Predict(recorder.Snapshot(start.Add(time.Minute), true), doc, start) {
		refused += f.Refused()
	}
	const want = seconds*perSecond - (20 + 5*seconds)
	if refused != want {
		t.Errorf("%d requests refused, want %d", refused, want)
	}
}
