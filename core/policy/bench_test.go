package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/policy"
)

// largeText returns the sample document with additional teams, and with two additional
// callers per team.
func largeText(teams int) string {
	var callers, quotas strings.Builder
	for i := range 2 * teams {
		fmt.Fprintf(&callers, "  caller-%d: {token-sha256: \"%064x\", team: team-%d, domain: zurich-a}\n", i, i, i/2)
	}
	for i := range teams {
		fmt.Fprintf(&quotas, "  team-%d: {share: 1, quota: {millicores: 400000, memory-bytes: 1600000000000}}\n", i)
	}
	text := strings.Replace(policy.SampleText(), "callers:\n", "callers:\n"+callers.String(), 1)
	return strings.Replace(text, "teams:\n", "teams:\n"+quotas.String(), 1)
}

// BenchmarkSlopeDecode reports the cost of decoding a document, which each entry VM does
// once per policy change. The sub-benchmarks are named by the number of additional
// teams. make slopes runs it.
func BenchmarkSlopeDecode(b *testing.B) {
	for _, teams := range []int{10, 46, 92, 184} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			text := largeText(teams)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := policy.Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}

// BenchmarkLimits reports the cost of looking up the limits of a request, by number of
// exceptions.
func BenchmarkLimits(b *testing.B) {
	doc, err := policy.Decode(policy.SampleText())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	for _, count := range []int{1, 5, policy.ExceptionsWarningLimit} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			doc.Exceptions = make([]policy.Exception, count)
			for i := range doc.Exceptions {
				doc.Exceptions[i] = policy.Exception{Name: "e", Caller: fmt.Sprint("caller-", i), Limits: policy.Limits{Burst: 1}}
			}
			b.ReportAllocs()
			for b.Loop() {
				doc.Limits("hosts", "hold", "booking", now)
			}
		})
	}
}

// TestLimitsAllocatesNothing checks that Limits, which runs for each request, does not
// allocate.
func TestLimitsAllocatesNothing(t *testing.T) {
	doc, err := policy.Decode(policy.SampleText())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := testing.AllocsPerRun(100, func() { doc.Limits("network", "hold", "booking", now) }); got != 0 {
		t.Errorf("Limits allocates %v times per call, want 0", got)
	}
}
