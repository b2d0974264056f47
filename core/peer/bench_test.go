package peer

import (
	"context"
	"testing"
	"time"
)

// BenchmarkCall measures one call between two nodes in the same process, and the bytes that it
// sends and receives.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, "a", "b")
	a, _ := f.node("a", nil)
	_, to := f.node("b", echoMux())
	message := note{Text: "a heartbeat is about this long, with its names, addresses, numbers and marks", At: time.Now()}
	if _, err := Call[note](context.Background(), a, to, message); err != nil {
		b.Fatal(err)
	}
	before := a.Bytes()
	for b.Loop() {
		if _, err := Call[note](context.Background(), a, to, message); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(a.Bytes()-before)/float64(b.N), "bytes/call")
}
