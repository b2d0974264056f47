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
	// addedRounds is how many requests of each kind the added latency rests on.
	addedRounds = 1500
	// floodRounds is how often the steady caller is measured alone and beside the flood.
	floodRounds = 5
	// steadyPerSecond is the rate of the steady caller.
	steadyPerSecond = 100

	// maxAdded is the most that an entry VM may add to a request, as a share of
	// the request's own time: placements are decided in milliseconds, and the
	// requests of the measurement take 5 ms.
	maxAdded = 1.0
	// maxFlooded is the most that a flooding neighbor may stretch the p99 of a steady caller.
	maxFlooded = 1.5
	// minUseful is the least share of the peak's useful work that is left at four times capacity.
	minUseful = 0.95
)

// bench is a Run under way.
type bench struct {
	opts    *Options
	clients *clients
	out     io.Writer
	failed  []error
}

// Run makes all measurements, prints a table, and returns an error for each
// bound that was passed.
func Run(opts Options, out io.Writer) error {
	if err := opts.Check(); err != nil {
		return err
	}
	c, err := newClients(&opts)
	if err != nil {
		return err
	}
	b := &bench{opts: &opts, clients: c, out: out}
	b.line("%-52s %9s %9s  %s", "measurement", "ratio", "bound", "detail")
	b.addedLatency()
	b.floodingNeighbor()
	b.overload()
	b.overloadedTargets()
	return errors.Join(b.failed...)
}

func (b *bench) line(format string, args ...any) { _, _ = fmt.Fprintf(b.out, format+"\n", args...) }

// row prints a result and notes a passed bound.
func (b *bench) row(name string, value float64, holds bool, bound string, detail string) {
	b.line("%-52s %9.3f %9s  %s", name, value, bound, detail)
	if !holds {
		b.failed = append(b.failed, fmt.Errorf("%s is %.3f, past its bound %s", name, value, bound))
	}
}

// addedLatency compares three ways of the same request, in turn.
func (b *bench) addedLatency() {
	var direct, idempotent, once samples
	r := request{caller: b.opts.Steady[0].Name, body: []byte("work=5ms\n"), window: 2 * time.Second}
	nonIdempotent := r
	nonIdempotent.once = true
	for range addedRounds {
		direct.timed(func() error { return b.clients.direct(r) })
		idempotent.timed(func() error { return b.clients.through(r) })
		once.timed(func() error { return b.clients.through(nonIdempotent) })
	}
	for _, kind := range []struct {
		name    string
		samples *samples
	}{{"idempotent", &idempotent}, {"non-idempotent", &once}} {
		base, through := direct.percentile(50), kind.samples.percentile(50)
		added := ratio(through-base, base)
		b.row("added p50 / direct p50, "+kind.name, added, added <= maxAdded, fmt.Sprintf("<= %.2f", maxAdded),
			fmt.Sprintf("p50 %s to %s, p99 %s to %s, failed: %s", base, through,
				direct.percentile(99), kind.samples.percentile(99), kind.samples.failures()))
	}
}

// floodingNeighbor measures a steady caller alone and beside a flood, in turn. The
// same requests go directly to targets meanwhile, to show what the flood's share
// of the machine does by itself.
func (b *bench) floodingNeighbor() {
	ratios := make([]float64, 0, floodRounds)
	pastEntries := make([]float64, 0, floodRounds)
	var flood samples
	for range floodRounds {
		var alone, flooded, directAlone, directFlooded samples
		beside(b.steady(&alone, b.clients.through), b.steady(&directAlone, b.clients.direct))
		beside(b.steady(&flooded, b.clients.through), b.steady(&directFlooded, b.clients.direct), b.flood(&flood))
		ratios = append(ratios, ratio(flooded.percentile(99), alone.percentile(99)))
		pastEntries = append(pastEntries, ratio(directFlooded.percentile(99), directAlone.percentile(99)))
		if len(flooded.failed) > 0 {
			b.failed = append(b.failed, fmt.Errorf("the steady caller beside a flood was answered with %s", flooded.failures()))
		}
	}
	stretched := median(ratios)
	b.row("steady caller's p99 with a flooding neighbor / alone", stretched, stretched <= maxFlooded, fmt.Sprintf("<= %.2f", maxFlooded),
		fmt.Sprintf("median of %.2f; the same past the entry VMs %.2f; flood completed %d, others: %s",
			ratios, median(pastEntries), len(flood.took), flood.failures()))
}

// steady is a well-behaved caller that sends its requests one way.
func (b *bench) steady(into *samples, send func(request) error) *stream {
	return b.stream(b.opts.Steady[0], steadyPerSecond, into, send)
}

// flood is the flooding caller.
func (b *bench) flood(into *samples) *stream {
	return b.stream(b.opts.Flood, b.opts.FloodPerSecond, into, b.clients.through)
}

func (b *bench) stream(caller Caller, perSecond int, into *samples, send func(request) error) *stream {
	return &stream{
		send: send, perSecond: perSecond, into: into, until: time.Now().Add(b.opts.Phase),
		request: func(int) request {
			return request{caller: caller.Name, body: []byte("work=5ms\n"), window: 2 * time.Second}
		},
	}
}

// overload measures useful completions at rising load.
func (b *bench) overload() {
	useful := make(map[int]float64)
	details := make([]string, 0, 3)
	for _, times := range []int{1, 2, 4} {
		var done samples
		beside(&stream{
			send: b.clients.through, perSecond: times * b.opts.CapacityPerSecond, into: &done, until: time.Now().Add(b.opts.Phase * 2),
			request: func(number int) request {
				caller := b.opts.Steady[number%len(b.opts.Steady)].Name
				return request{caller: caller, body: []byte("work=" + b.opts.Work.String() + "\n"), window: 4 * b.opts.Work}
			},
		})
		useful[times] = float64(len(done.took)) / (2 * b.opts.Phase).Seconds()
		details = append(details, fmt.Sprintf("%dx: %.0f/s", times, useful[times]))
	}
	left := useful[4] / max(useful[1], useful[2], useful[4])
	b.row("useful work at 4 times capacity / peak", left, left >= minUseful, fmt.Sprintf(">= %.2f", minUseful),
		fmt.Sprintf("%s, capacity %d/s", strings.Join(details, ", "), b.opts.CapacityPerSecond))
}

// overloadedTargets asks the targets themselves whether they ever got more than they have slots.
func (b *bench) overloadedTargets() {
	client, err := faultapi.NewClient(url(b.opts.TargetControl))
	if err != nil {
		b.failed = append(b.failed, err)
		return
	}
	record, err := client.GetRecord(context.Background())
	if err != nil {
		b.failed = append(b.failed, fmt.Errorf("record of the targets: %w", err))
		return
	}
	b.row("requests beyond the slots of a target", float64(record.Overloaded), record.Overloaded == 0, "0",
		fmt.Sprintf("of %d executions, as the targets recorded", record.Executions))
}

// median returns the middle value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
