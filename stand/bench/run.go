package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

const (
	// latencyRounds is how many requests of each kind measure the added latency.
	latencyRounds = 1500
	// floodRounds is how often the steady caller is measured, both alone and during a flood.
	floodRounds = 5
	// steadyPerSecond is the request rate of the steady caller.
	steadyPerSecond = 100

	// maxAddedRatio is the maximum latency that an entry VM may add to a request,
	// relative to the latency of a direct request. A placement is decided in
	// milliseconds, and the measured requests take 5 ms.
	maxAddedRatio = 1.0
	// maxFloodedRatio is the maximum ratio of the p99 latency of a steady caller during
	// a flood to its p99 latency alone.
	maxFloodedRatio = 1.5
	// minUsefulRatio is the minimum ratio of completed requests per second at four
	// times the capacity to the highest measured value.
	minUsefulRatio = 0.95
)

// benchRun is the state of one Run.
type benchRun struct {
	opts    *Options
	clients *clients
	out     io.Writer
	errs    []error
}

// Run makes all measurements, prints a table, and returns an error for each bound that
// is exceeded, joined.
func Run(opts Options, out io.Writer) error {
	if err := opts.Validate(); err != nil {
		return err
	}
	c, err := newClients(&opts)
	if err != nil {
		return err
	}
	b := &benchRun{opts: &opts, clients: c, out: out}
	b.printf("%-52s %9s %9s  %s", "measurement", "ratio", "bound", "detail")
	b.measureAddedLatency()
	b.measureFloodingNeighbor()
	b.measureOverload()
	b.checkTargetOverload()
	return errors.Join(b.errs...)
}

func (b *benchRun) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.out, format+"\n", args...)
}

// addResult prints a row of the table and records an error if the value is not within
// its bound.
func (b *benchRun) addResult(name string, value float64, withinBound bool, bound string, detail string) {
	b.printf("%-52s %9.3f %9s  %s", name, value, bound, detail)
	if !withinBound {
		b.errs = append(b.errs, fmt.Errorf("%s is %.3f, which violates the bound %s", name, value, bound))
	}
}

// measureAddedLatency compares the latency of a direct request with the latencies of
// the same request through an entry VM, as idempotent and as non-idempotent.
func (b *benchRun) measureAddedLatency() {
	var direct, idempotent, nonIdempotentSamples samples
	r := request{caller: b.opts.Steady[0].Name, body: []byte("work=5ms\n"), window: 2 * time.Second}
	nonIdempotentRequest := r
	nonIdempotentRequest.nonIdempotent = true
	for range latencyRounds {
		direct.measure(func() error { return b.clients.sendDirect(r) })
		idempotent.measure(func() error { return b.clients.sendViaEntry(r) })
		nonIdempotentSamples.measure(func() error { return b.clients.sendViaEntry(nonIdempotentRequest) })
	}
	for _, kind := range []struct {
		name    string
		samples *samples
	}{{"idempotent", &idempotent}, {"non-idempotent", &nonIdempotentSamples}} {
		base, through := direct.percentile(50), kind.samples.percentile(50)
		added := ratio(through-base, base)
		b.addResult("added p50 / direct p50, "+kind.name, added, added <= maxAddedRatio, fmt.Sprintf("<= %.2f", maxAddedRatio),
			fmt.Sprintf("p50 %s to %s, p99 %s to %s, failed: %s", base, through,
				direct.percentile(99), kind.samples.percentile(99), kind.samples.failureSummary()))
	}
}

// measureFloodingNeighbor measures a steady caller alone and during a flood, in turn.
// Meanwhile the same requests are sent directly to targets, which shows how much of
// the slowdown is due to the load on the machine.
func (b *benchRun) measureFloodingNeighbor() {
	ratios := make([]float64, 0, floodRounds)
	directRatios := make([]float64, 0, floodRounds)
	var flood samples
	for range floodRounds {
		var alone, flooded, directAlone, directFlooded samples
		runConcurrently(b.newSteadyStream(&alone, b.clients.sendViaEntry), b.newSteadyStream(&directAlone, b.clients.sendDirect))
		runConcurrently(b.newSteadyStream(&flooded, b.clients.sendViaEntry), b.newSteadyStream(&directFlooded, b.clients.sendDirect), b.newFloodStream(&flood))
		ratios = append(ratios, ratio(flooded.percentile(99), alone.percentile(99)))
		directRatios = append(directRatios, ratio(directFlooded.percentile(99), directAlone.percentile(99)))
		if len(flooded.failureCounts) > 0 {
			b.errs = append(b.errs, fmt.Errorf("requests of the steady caller failed during a flood: %s", flooded.failureSummary()))
		}
	}
	medianRatio := median(ratios)
	b.addResult("steady caller's p99 during a flood / alone", medianRatio, medianRatio <= maxFloodedRatio, fmt.Sprintf("<= %.2f", maxFloodedRatio),
		fmt.Sprintf("median of %.2f; direct to targets %.2f; flood completed %d, failed: %s",
			ratios, median(directRatios), len(flood.latencies), flood.failureSummary()))
}

// newSteadyStream returns the requests of a steady caller, sent by send.
func (b *benchRun) newSteadyStream(results *samples, send func(request) error) *stream {
	return b.newStream(b.opts.Steady[0], steadyPerSecond, results, send)
}

// newFloodStream returns the requests of the flooding caller.
func (b *benchRun) newFloodStream(results *samples) *stream {
	return b.newStream(b.opts.Flood, b.opts.FloodPerSecond, results, b.clients.sendViaEntry)
}

func (b *benchRun) newStream(caller Caller, perSecond int, results *samples, send func(request) error) *stream {
	return &stream{
		send: send, perSecond: perSecond, samples: results, until: time.Now().Add(b.opts.PhaseDuration),
		request: func(int) request {
			return request{caller: caller.Name, body: []byte("work=5ms\n"), window: 2 * time.Second}
		},
	}
}

// measureOverload measures the completed requests per second at 1, 2 and 4 times the
// capacity of the targets.
func (b *benchRun) measureOverload() {
	completedPerSecond := make(map[int]float64)
	details := make([]string, 0, 3)
	for _, factor := range []int{1, 2, 4} {
		var done samples
		runConcurrently(&stream{
			send: b.clients.sendViaEntry, perSecond: factor * b.opts.CapacityPerSecond, samples: &done, until: time.Now().Add(b.opts.PhaseDuration * 2),
			request: func(number int) request {
				caller := b.opts.Steady[number%len(b.opts.Steady)].Name
				return request{caller: caller, body: []byte("work=" + b.opts.RequestTime.String() + "\n"), window: 4 * b.opts.RequestTime}
			},
		})
		completedPerSecond[factor] = float64(len(done.latencies)) / (2 * b.opts.PhaseDuration).Seconds()
		details = append(details, fmt.Sprintf("%dx: %.0f/s", factor, completedPerSecond[factor]))
	}
	usefulRatio := completedPerSecond[4] / max(completedPerSecond[1], completedPerSecond[2], completedPerSecond[4])
	b.addResult("completed per second at 4 times capacity / peak", usefulRatio, usefulRatio >= minUsefulRatio, fmt.Sprintf(">= %.2f", minUsefulRatio),
		fmt.Sprintf("%s, capacity %d/s", strings.Join(details, ", "), b.opts.CapacityPerSecond))
}

// checkTargetOverload checks in the record of the fake targets that no target received
// a request without a free slot.
func (b *benchRun) checkTargetOverload() {
	client, err := faultapi.NewClient(url(b.opts.TargetControl))
	if err != nil {
		b.errs = append(b.errs, err)
		return
	}
	record, err := client.GetRecord(context.Background())
	if err != nil {
		b.errs = append(b.errs, fmt.Errorf("reading record of the targets: %w", err))
		return
	}
	b.addResult("requests to targets without a free slot", float64(record.Overloaded), record.Overloaded == 0, "0",
		fmt.Sprintf("of %d executions recorded by the targets", record.Executions))
}

// median returns the middle value, or the upper one of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// ratio returns a / b. It treats b as at least 1 ns.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
