package store

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// serviceDelay is how long the table service of the benchmark takes per call.
const serviceDelay = 5 * time.Millisecond

// BenchmarkGroupCommit sends commits at fixed rates, with group commit and with one call per
// commit. It reports the calls per commit and the latency of a commit.
func BenchmarkGroupCommit(b *testing.B) {
	variants := map[string]Options{
		"grouped": {},
		"single":  {GroupSize: 1, GroupWindow: time.Nanosecond, CommitsInFlight: 64},
	}
	for _, rate := range []int{50, 200, 500} {
		for name, options := range variants {
			b.Run(fmt.Sprintf("%d-a-second-%s", rate, name), func(b *testing.B) {
				s := newService(b, func(int64) bool { time.Sleep(serviceDelay); return false })
				client := s.client(b, options)
				times := make([]time.Duration, 0, b.N)
				done := make(chan time.Duration, b.N)
				ticker := time.NewTicker(time.Second / time.Duration(rate))
				defer ticker.Stop()
				for i := range b.N {
					<-ticker.C
					go (&timedWriter{client: client, key: fmt.Sprint(i), done: done}).run()
				}
				for range b.N {
					times = append(times, <-done)
				}
				slices.Sort(times)
				b.ReportMetric(float64(client.Stats().Commits.Load())/float64(b.N), "calls/commit")
				b.ReportMetric(float64(times[len(times)/2])/1e6, "p50-ms")
				b.ReportMetric(float64(times[len(times)*99/100])/1e6, "p99-ms")
			})
		}
	}
}

// timedWriter commits one row and sends the latency on done.
type timedWriter struct {
	client *Client
	key    string
	done   chan<- time.Duration
}

func (w *timedWriter) run() {
	start := time.Now()
	if _, err := w.client.Commit(context.Background(), Put{Table: "t", Key: w.key}); err != nil {
		panic(err)
	}
	w.done <- time.Since(start)
}
