//go:build bench

// The bounds are ratios between measurements of one run. They hold only on a machine that is
// not overloaded, so these tests run with `make bench-requests` and not in CI.

package front

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// report prints a value with its bound, and fails the test if ok is false.
func report(t *testing.T, name string, value, bound float64, ok bool, detail string) {
	t.Helper()
	fmt.Printf("%-44s %10.3f   bound %6.2f   %s\n", name, value, bound, detail)
	if !ok {
		t.Errorf("%s is %.3f, which is outside its bound of %.2f", name, value, bound)
	}
}

// percentile returns the p-th percentile of samples.
func percentile(samples []time.Duration, p float64) time.Duration {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// timed returns the duration of a call.
func timed(call func()) time.Duration {
	started := time.Now()
	call()
	return time.Since(started)
}

// sendDirect sends a request directly to a target, without an entry VM.
func (f *fleet) sendDirect(target *fakeTarget, id string) {
	r, err := http.NewRequest(http.MethodPost, target.server.URL+"/v1/serve/booking", bytes.NewReader([]byte("x")))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("X-Request-Id", id)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

func TestMeasureAddedLatency(t *testing.T) {
	f := newFleetOf(t, 1, 2, 1)
	var through, claimed, direct []time.Duration
	for i := range 3000 {
		direct = append(direct, timed(func() { f.sendDirect(f.targets[0], fmt.Sprint("d", i)) }))
		through = append(through, timed(func() { f.send(f.vms[0], fmt.Sprint("i", i), "x", "X-Idempotent", "true") }))
		claimed = append(claimed, timed(func() { f.send(f.vms[0], fmt.Sprint("n", i), "x") }))
	}
	for _, p := range []float64{50, 99} {
		base := percentile(direct, p)
		fmt.Printf("added latency p%.0f: direct %s, idempotent +%s, non-idempotent +%s (no target stated)\n",
			p, base, percentile(through, p)-base, percentile(claimed, p)-base)
	}
}

// sendSteadily sends requests of one caller one after another for the given time. It returns
// their latencies.
func (f *fleet) sendSteadily(prefix string, length time.Duration) []time.Duration {
	var samples []time.Duration
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		samples = append(samples, timed(func() {
			if got := f.send(f.vms[0], fmt.Sprint(prefix, i), "x", "X-Idempotent", "true"); got.status != http.StatusOK {
				f.t.Errorf("the steady caller got %+v, want status 200", got)
			}
		}))
	}
	return samples
}

func TestMeasureFloodingNeighbor(t *testing.T) {
	f := newFleetOf(t, 1, 4, 1)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 50 * time.Millisecond })
	}
	var alone, flooded []time.Duration
	for round := range 3 {
		alone = append(alone, f.sendSteadily(fmt.Sprint("alone", round, "-"), 1500*time.Millisecond)...)
		stop := f.flood(fmt.Sprint("f", round, "-"), 100)
		flooded = append(flooded, f.sendSteadily(fmt.Sprint("flooded", round, "-"), 1500*time.Millisecond)...)
		stop()
	}
	without, with := percentile(alone, 99), percentile(flooded, 99)
	ratio := float64(with) / float64(without)
	report(t, "p99 with a flooding neighbor / without", ratio, 1.5, ratio <= 1.5, fmt.Sprintf("%s / %s", with, without))
}

// flood sends requests of another caller with atOnce requests in flight, more than there are
// slots. It returns after 300 ms, when the slots are taken. The returned function ends the
// flood.
func (f *fleet) flood(prefix string, atOnce int) (stop func()) {
	var wait sync.WaitGroup
	var stopped atomic.Bool
	for worker := range atOnce {
		wait.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				id := fmt.Sprint(prefix, worker, "-", i)
				f.send(f.vms[0], id, "x", "X-Idempotent", "true", "Authorization", "Bearer dev-flood")
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	return func() {
		stopped.Store(true)
		wait.Wait()
	}
}

// offerLoad sends requests at a rate for the given time and returns the number completed.
func (f *fleet) offerLoad(prefix string, perSecond int, length time.Duration) int {
	var completed atomic.Int64
	var wait sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < length; {
		for due := int(time.Since(started).Seconds() * float64(perSecond)); i < due; i++ {
			id := fmt.Sprint(prefix, i)
			wait.Go(func() {
				until := time.Now().Add(400 * time.Millisecond).Format(time.RFC3339Nano)
				if f.send(f.vms[0], id, "x", "X-Idempotent", "true", "X-Not-After", until).status == http.StatusOK {
					completed.Add(1)
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
	}
	wait.Wait()
	return int(completed.Load())
}

func TestMeasureOverload(t *testing.T) {
	f := newFleetOf(t, 1, 4, 1)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 80 * time.Millisecond })
	}
	const capacity = 4 * 8 * 1000 / 80
	f.offerLoad("warm", capacity/2, time.Second)
	useful := map[int]int{}
	for _, multiple := range []int{1, 2, 4} {
		useful[multiple] = f.offerLoad(fmt.Sprint("x", multiple, "-"), multiple*capacity, 3*time.Second)
	}
	peak := max(useful[1], useful[2], useful[4])
	share := float64(useful[4]) / float64(peak)
	report(t, "useful work at 4 times capacity / peak", share, 0.95, share >= 0.95, fmt.Sprintf("completed at 1, 2, 4 times: %v", useful))
}

func TestMeasureRetriesHalfFailed(t *testing.T) {
	f := newFleetOf(t, 1, 10, 1)
	broken := make(map[string]bool)
	for i, target := range f.targets {
		target.set(func(t *fakeTarget) { t.runTime = 2 * time.Millisecond })
		if i%2 == 0 {
			broken[target.name] = true
			target.set(func(t *fakeTarget) {
				t.respond = func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusInternalServerError) }
			})
		}
	}
	const requests = 4000
	var wait sync.WaitGroup
	var completed atomic.Int64
	for worker := range 8 {
		wait.Go(func() {
			for i := range requests / 8 {
				id := fmt.Sprintf("r%d-%d", worker, i)
				if f.send(f.vms[0], id, "x", "X-Idempotent", "true").status == http.StatusOK {
					completed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	attempts, firstAtBroken := 0, 0
	for _, target := range f.targets {
		attempts += target.totalRuns()
	}
	f.firstTargets.Range(func(_, name any) bool {
		if broken[name.(string)] {
			firstAtBroken++
		}
		return true
	})
	ratio := float64(attempts-firstAtBroken) / requests
	report(t, "attempts a request, half of the fleet failed", ratio, 1.1, ratio <= 1.1,
		fmt.Sprintf("%d attempts, %d first tries at broken targets, %d of %d completed", attempts, firstAtBroken, completed.Load(), requests))
}
