package load

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"errors"
)

// Run sends the load described by opts, waits for all answers, and checks them against
// the recorded executions. It returns an error if the options are invalid or the
// records cannot be read; violated guarantees are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	rec := newRecorder()
	if err := runDrivers(ctx, &opts, rec); err != nil {
		return nil, err
	}
	return audit(ctx, &opts, rec)
}

// driver sends one kind of load until its context is done, and waits for the answers.
type driver interface{ run(ctx context.Context) }

// runDrivers runs all drivers for opts.Duration and waits for their answers.
func runDrivers(ctx context.Context, opts *Options, rec *recorder) error {
	b, err := newBalancer(opts.Entries, opts.Callers)
	if err != nil {
		return err
	}
	changes, err := newPolicyDriver(opts, rec)
	if err != nil {
		return err
	}
	prefix := strconv.FormatInt(time.Now().UnixNano(), 36)
	drivers := []driver{
		&requestDriver{
			opts: opts, balancer: b, recorder: rec, prefix: prefix,
			random: rand.New(rand.NewSource(opts.Seed)), inFlight: make(chan struct{}, opts.MaxInFlight),
		},
		&jobDriver{opts: opts, balancer: b, recorder: rec, prefix: prefix, random: rand.New(rand.NewSource(opts.Seed + 1))},
	}
	if len(opts.Operators) > 0 {
		drivers = append(drivers, changes)
	}
	sending, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range drivers {
		wg.Add(1)
		go (&driverRun{driver: d, wg: &wg}).run(sending)
	}
	wg.Wait()
	return nil
}

// driverRun runs one driver concurrently with others.
type driverRun struct {
	driver driver
	wg     *sync.WaitGroup
}

func (d *driverRun) run(ctx context.Context) {
	defer d.wg.Done()
	d.driver.run(ctx)
}

// audit compares the received answers with the records of the fake targets and workers.
func audit(ctx context.Context, opts *Options, rec *recorder) (*Report, error) {
	requests := make([]string, 0, len(rec.requests))
	for id := range rec.requests {
		requests = append(requests, id)
	}
	var tasks []string
	for _, j := range rec.jobs {
		tasks = append(tasks, j.taskIDs()...)
	}
	ran, err := readExecutionLog(ctx, opts.TargetControls, requests)
	if err != nil {
		return nil, fmt.Errorf("reading records of the targets: %w", err)
	}
	started, err := readExecutionLog(ctx, opts.WorkerControls, tasks)
	if err != nil {
		return nil, fmt.Errorf("reading records of the workers: %w", err)
	}
	if len(opts.TargetControls) > 0 {
		rec.auditRequests(ran)
	}
	if len(opts.WorkerControls) > 0 {
		rec.auditJobs(started)
	}
	return newReport(opts, rec, ran, started), nil
}

// errorKind returns the kind of a connection error, without addresses, so that errors
// can be counted by kind.
func errorKind(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || os.IsTimeout(err) {
		return "timeout"
	}
	if failed := new(net.OpError); errors.As(err, &failed) {
		return failed.Op + ": " + failed.Err.Error()
	}
	return "connection closed"
}
