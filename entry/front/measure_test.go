//go:build bench

// The bounds are ratios within one run, but the run needs a machine that is not
// overloaded, so `make bench-requests` runs it and CI does not.

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

// report prints a row of the table and fails past the bound.
func report(t *testing.T, name string, value, bound float64, ok bool, detail string) {
	t.Helper()
	fmt.Printf("%-44s %10.3f   bound %6.2f   %s\n", name, value, bound, detail)
	if !ok {
		t.Errorf("%s is %.3f, past its bound of %.2f", name, value, bound)
	}
}

// percentile returns the p-th percentile of durations.
func percentile(samples []time.Duration, p float64) time.Duration {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// timed returns how long one call takes.
func timed(call func()) time.Duration {
	started := time.Now()
	call()
	return time.Since(started)
}

// direct sends a request to a target without an entry VM.
func (f *fleet) direct(target *fakeTarget, id string) {
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
		direct = append(direct, timed(func() { f.direct(f.targets[0], fmt.Sprint("d", i)) }))
		through = append(through, timed(func() { f.send(f.vms[0], fmt.Sprint("i", i), "x", "X-Idempotent", "true") }))
		claimed = append(claimed, timed(func() { f.send(f.vms[0], fmt.Sprint("n", i), "x") }))
	}
	for _, p := range []float64{50, 99} {
		base := percentile(direct, p)
		fmt.Printf("added latency p%.0f: direct %s, idempotent +%s, non-idempotent +%s (no target stated)\n",
			p, base, percentile(through, p)-base, percentile(claimed, p)-base)
	}
}

// steady sends requests of a caller one after another for a while.
func (f *fleet) steady(prefix string, length time.Duration) []time.Duration {
	var samples []time.Duration
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		samples = append(samples, timed(func() {
			if got := f.send(f.vms[0], fmt.Sprint(prefix, i), "x", "X-Idempotent", "true"); got.status != http.StatusOK {
				f.t.Errorf("the steady caller got %+v", got)
			}
		}))
	}
	return samples
}

func TestMeasureFloodingNeighbor(t *testing.T) {
	f := newFleetOf(t, 1, 4, 1)
	for _, target := range f.targets {
		target.set(func(t *fakeTarget) { t.run = 50 * time.Millisecond })
	}
	var alone, flooded []time.Duration
	for round := range 3 {
		alone = append(alone, f.steady(fmt.Sprint("alone", round, "-"), 1500*time.Millisecond)...)
		stop := f.flood(fmt.Sprint("f", round, "-"), 100)
		flooded = append(flooded, f.steady(fmt.Sprint("flooded", round, "-"), 1500*time.Millisecond)...)
		stop()
	}
	without, with := percentile(alone, 99), percentile(flooded, 99)
	ratio := float64(with) / float64(without)
	report(t, "p99 with a flooding neighbor / without", ratio, 1.5, ratio <= 1.5, fmt.Sprintf("%s / %s", with, without))
}

// flood sends requests of another caller, more at once than there are slots. It
// returns once the slots are taken; the function that it returns ends the flood.
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

// offer sends requests at a rate for a while and returns how many completed.
func (f *fleet) offer(prefix string, perSecond int, length time.Duration) int {
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
		target.set(func(t *fakeTarget) { t.run = 80 * time.Millisecond })
	}
	const capacity = 4 * 8 * 1000 / 80
	f.offer("warm", capacity/2, time.Second)
	useful := map[int]int{}
	for _, times := range []int{1, 2, 4} {
		useful[times] = f.offer(fmt.Sprint("x", times, "-"), times*capacity, 3*time.Second)
	}
	peak := max(useful[1], useful[2], useful[4])
	share := float64(useful[4]) / float64(peak)
	report(t, "useful work at 4 times capacity / peak", share, 0.95, share >= 0.95, fmt.Sprintf("completed at 1, 2, 4 times: %v", useful))
}

func TestMeasureRetriesHalfFailed(t *testing.T) {
	f := newFleetOf(t, 1, 10, 1)
	broken := make(map[string]bool)
	for i, target := range f.targets {
		target.set(func(t *fakeTarget) { t.run = 2 * time.Millisecond })
		if i%2 == 0 {
			broken[target.name] = true
			target.set(func(t *fakeTarget) {
				t.wrong = func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusInternalServerError) }
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
	attempts, firstBroken := 0, 0
	for _, target := range f.targets {
		attempts += target.total()
	}
	f.firsts.Range(func(_, name any) bool {
		if broken[name.(string)] {
			firstBroken++
		}
		return true
	})
	beyond := float64(attempts-firstBroken) / requests
	report(t, "attempts a request, half of the fleet failed", beyond, 1.1, beyond <= 1.1,
		fmt.Sprintf("%d attempts, %d first tries at broken targets, %d of %d completed", attempts, firstBroken, completed.Load(), requests))
}
