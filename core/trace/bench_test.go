package trace_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"tanagerstack.org/core/trace"
)

// BenchmarkSlopeLog reports the heap bytes per decision of a full log. It is run by
// make slopes.
func BenchmarkSlopeLog(b *testing.B) {
	for _, entries := range []int{trace.DefaultEntries / 2, trace.DefaultEntries, 2 * trace.DefaultEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var heapGrowth uint64
			for b.Loop() {
				before := heapBytes()
				log := trace.NewLog(trace.Options{VM: "zurich-a-1", Entries: entries})
				for i := range 2 * entries {
					id := fmt.Sprintf("request-%032d", i)
					log.Add(id, trace.Decision{At: time.Unix(int64(i), 0), Step: "route", Verdict: "refused", Rule: "requests-per-second", Detail: "the caller has sent 512.3 requests a second of 500.0; try again in " + id})
				}
				heapGrowth = heapBytes() - before
				runtime.KeepAlive(log)
			}
			b.ReportMetric(float64(heapGrowth)/float64(entries), "held-B/decision")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
