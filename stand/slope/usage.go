package slope

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Measures returns the names of all measures of a Usage, in the order of reports.
func Measures() []string {
	return []string{"cpu-percent", "memory-mb", "tcp-kb-per-second", "peer-kb-per-second", "store-reads-per-second", "store-commits-per-second"}
}

// Usage maps names of measures to values.
type Usage map[string]float64

// Point is the usage of one process with a role at one size.
type Point struct {
	Role  string  `json:"role"`
	Size  float64 `json:"size"`
	Usage Usage   `json:"usage"`
}

// Watch returns the usage of each process over the duration. It fails if any process cannot be read.
func Watch(ctx context.Context, processes []Process, duration time.Duration) ([]Usage, error) {
	before, err := readAllCounters(ctx, processes)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(duration):
	}
	after, err := readAllCounters(ctx, processes)
	if err != nil {
		return nil, err
	}
	usages := make([]Usage, len(processes))
	for i := range processes {
		usages[i] = usageBetween(before[i], after[i])
	}
	return usages, nil
}

func readAllCounters(ctx context.Context, processes []Process) ([]counters, error) {
	all := make([]counters, len(processes))
	var errs []error
	for i, p := range processes {
		c, err := p.readCounters(ctx)
		if err != nil {
			errs = append(errs, fmt.Errorf("process %d: %w", p.PID, err))
		}
		all[i] = c
	}
	return all, errors.Join(errs...)
}

func usageBetween(before, after counters) Usage {
	seconds := after.readAt.Sub(before.readAt).Seconds()
	const kilobyte = 1000
	return Usage{
		"cpu-percent":              100 * (after.processor - before.processor).Seconds() / seconds,
		"memory-mb":                float64(after.residentKB) * 1024 / 1e6,
		"tcp-kb-per-second":        float64(after.tcpBytes-before.tcpBytes) / kilobyte / seconds,
		"peer-kb-per-second":       float64(after.peerBytes-before.peerBytes) / kilobyte / seconds,
		"store-reads-per-second":   float64(after.storeReads-before.storeReads) / seconds,
		"store-commits-per-second": float64(after.storeCommits-before.storeCommits) / seconds,
	}
}
