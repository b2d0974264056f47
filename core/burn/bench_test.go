package burn_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"tanagerstack.org/core/burn"
)

// BenchmarkSlopeSeries reports the memory of a series after six hours with one request
// every two seconds. make slopes runs it.
func BenchmarkSlopeSeries(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var retained uint64
			for b.Loop() {
				before := heapBytes()
				recorder := burn.NewRecorder(burn.Options{MaxSeries: 2 * count})
				useSeries(recorder, count)
				retained = heapBytes() - before
				runtime.KeepAlive(recorder)
			}
			b.ReportMetric(float64(retained)/float64(count), "held-B/series")
		})
	}
}

func useSeries(recorder *burn.Recorder, count int) {
	random := rand.New(rand.NewSource(1))
	start := time.Unix(1_800_000_000, 0)
	for at := start; at.Before(start.Add(burn.LongestWindow)); at = at.Add(2 * time.Second) {
		for i := range count {
			wait := time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
			recorder.Observe(burn.Sample{Caller: fmt.Sprint(i), Class: "hold", ArrivedAt: at, StartedAt: at.Add(wait), EndedAt: at.Add(2 * wait), NotAfter: at.Add(time.Second)})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkObserve reports the cost of one sample.
func BenchmarkObserve(b *testing.B) {
	recorder := burn.NewRecorder(burn.Options{})
	at := time.Unix(1_800_000_000, 0)
	sample := burn.Sample{Caller: "hosts", Class: "hold", ArrivedAt: at, StartedAt: at.Add(time.Millisecond), EndedAt: at.Add(time.Second), NotAfter: at.Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		recorder.Observe(sample)
	}
}
