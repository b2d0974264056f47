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

// Run drives the system as opts say and returns what happened.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	t := newTally()
	if err := drive(ctx, &opts, t); err != nil {
		return nil, err
	}
	return audit(ctx, &opts, t)
}

// driver sends one kind of load until its context ends.
type driver interface{ run(ctx context.Context) }

// drive runs all drivers for the duration and waits for what they sent.
func drive(ctx context.Context, opts *Options, t *tally) error {
	b, err := newBalancer(opts.Entries, opts.Callers)
	if err != nil {
		return err
	}
	changes, err := newPolicyDriver(opts, t)
	if err != nil {
		return err
	}
	prefix := strconv.FormatInt(time.Now().UnixNano(), 36)
	drivers := []driver{
		&requestDriver{
			opts: opts, balancer: b, tally: t, prefix: prefix,
			random: rand.New(rand.NewSource(opts.Seed)), slots: make(chan struct{}, opts.InFlight),
		},
		&jobDriver{opts: opts, balancer: b, tally: t, prefix: prefix, random: rand.New(rand.NewSource(opts.Seed + 1))},
	}
	if len(opts.Operators) > 0 {
		drivers = append(drivers, changes)
	}
	sending, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	var all sync.WaitGroup
	for _, d := range drivers {
		all.Add(1)
		go (&sideBySide{driver: d, all: &all}).run(sending)
	}
	all.Wait()
	return nil
}

// sideBySide runs one driver beside others.
type sideBySide struct {
	driver driver
	all    *sync.WaitGroup
}

func (d *sideBySide) run(ctx context.Context) {
	defer d.all.Done()
	d.driver.run(ctx)
}

// audit compares the tally with the records of the stand-ins.
func audit(ctx context.Context, opts *Options, t *tally) (*Report, error) {
	requests := make([]string, 0, len(t.outcomes))
	for id := range t.outcomes {
		requests = append(requests, id)
	}
	var tasks []string
	for _, j := range t.jobs {
		tasks = append(tasks, j.taskIDs()...)
	}
	ran, err := readLedger(ctx, opts.TargetControls, requests)
	if err != nil {
		return nil, fmt.Errorf("records of the targets: %w", err)
	}
	started, err := readLedger(ctx, opts.WorkerControls, tasks)
	if err != nil {
		return nil, fmt.Errorf("records of the workers: %w", err)
	}
	if len(opts.TargetControls) > 0 {
		t.auditRequests(ran)
	}
	if len(opts.WorkerControls) > 0 {
		t.auditJobs(started)
	}
	return newReport(opts, t, ran, started), nil
}

// brief shortens a connection error to its kind.
func brief(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || os.IsTimeout(err) {
		return "timeout"
	}
	if failed := new(net.OpError); errors.As(err, &failed) {
		return failed.Op + ": " + failed.Err.Error()
	}
	return "connection closed"
}
