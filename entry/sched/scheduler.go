package sched

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/lease"
	"tanagerstack.org/core/policy"
)

// Scheduler accepts jobs on any entry VM, and schedules those of its failure
// domain while this VM holds the domain's lease. It is safe for concurrent use.
type Scheduler struct {
	opts  Options
	lease *lease.Manager
	// held is the holder while this VM has the lease, else nil.
	held atomic.Pointer[holder]
	// given is the latest deadline that this process gave to any task, in
	// nanoseconds of Unix time.
	given atomic.Int64

	stop    context.CancelFunc
	loops   sync.WaitGroup
	started atomic.Bool
}

// New returns a Scheduler that does nothing until Start.
func New(opts Options) (*Scheduler, error) {
	opts = opts.withDefaults()
	switch {
	case opts.Name == "" || opts.Domain == "":
		return nil, errors.New("scheduler: name and domain are needed")
	case opts.Policy == nil || opts.Roster == nil || opts.Tables == nil:
		return nil, errors.New("scheduler: policy, roster and tables are needed")
	}
	s := &Scheduler{opts: opts}
	s.lease = lease.NewManager(lease.Options{
		Tables:       opts.Tables,
		Domain:       opts.Domain,
		Name:         opts.Name,
		ClockSkew:    opts.ClockSkew,
		TaskLease:    s.taskLease,
		MaxTaskLease: maxTaskLease,
		Voters:       s.voters,
		Eligible:     s.eligible,
		Now:          opts.Now,
	})
	return s, nil
}

// Start takes part in the domain's lease until ctx ends or Stop is called.
func (s *Scheduler) Start(ctx context.Context) {
	ctx, s.stop = context.WithCancel(ctx)
	s.started.Store(true)
	s.lease.Start(ctx)
	s.loops.Add(1)
	go (&leader{s: s}).run(ctx)
}

// Stop ends the controllers, writes what is not written yet and hands the lease
// over. Tasks go on running; the next holder finds them.
func (s *Scheduler) Stop(ctx context.Context) error {
	if !s.started.Load() {
		return nil
	}
	s.stop()
	s.loops.Wait()
	return s.lease.Release(ctx)
}

// Roles names the roles of this VM.
func (s *Scheduler) Roles() []string {
	if _, holds := s.lease.Current(s.opts.Now()); holds {
		return []string{"domain-lease-holder"}
	}
	return nil
}

// Lease is the keeper of the domain's lease.
func (s *Scheduler) Lease() *lease.Manager { return s.lease }

// current returns the holder, or nil if this VM does not hold the lease now.
func (s *Scheduler) current() *holder {
	h := s.held.Load()
	if h == nil || !h.valid(s.opts.Now()) {
		return nil
	}
	return h
}

// eligible keeps a VM that has no policy or no picture of the fleet from the lease.
func (s *Scheduler) eligible() bool {
	view := s.opts.Roster()
	return s.opts.Policy.Current() != nil && view != nil && !view.ListAsOf.IsZero()
}

// voters are the entry VMs of this domain that hold a seat.
func (s *Scheduler) voters() []string {
	var names []string
	for _, vm := range s.opts.Roster().VMs {
		if vm.Domain == s.opts.Domain && vm.Seat >= 0 {
			names = append(names, vm.Name)
		}
	}
	return names
}

func (s *Scheduler) document() *policy.Document {
	version := s.opts.Policy.Current()
	if version == nil {
		return nil
	}
	return version.Document
}

// taskLease is the lease of a task that the policy asks for, within bounds.
func (s *Scheduler) taskLease() time.Duration {
	document := s.document()
	if document == nil || document.Jobs.TaskLease <= 0 {
		return defaultTaskLease
	}
	return max(minTaskLease, min(maxTaskLease, time.Duration(document.Jobs.TaskLease)))
}

// noteGiven keeps the latest deadline that was given to any task.
func (s *Scheduler) noteGiven(deadline time.Time) {
	at := deadline.UnixNano()
	for {
		known := s.given.Load()
		if at <= known || s.given.CompareAndSwap(known, at) {
			return
		}
	}
}

// leader starts a holder when the lease is won and ends it when it is lost.
type leader struct {
	s *Scheduler
	// end stops the present holder's loops and waits for them.
	end func()
}

func (l *leader) run(ctx context.Context) {
	defer l.s.loops.Done()
	defer l.lose()
	ticker := time.NewTicker(placeEvery)
	defer ticker.Stop()
	for {
		l.follow(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.s.lease.Changed():
		case <-ticker.C:
		}
	}
}

// follow compares the holder with the lease.
func (l *leader) follow(ctx context.Context) {
	h := l.s.held.Load()
	if h != nil && l.s.lease.Superseded(h.grant.Epoch) {
		l.lose()
		h = nil
	}
	grant, holds := l.s.lease.Current(l.s.opts.Now())
	if h != nil || !holds {
		return
	}
	h = newHolder(l.s, grant)
	holderCtx, cancel := context.WithCancel(ctx)
	l.end = h.start(holderCtx, cancel)
	l.s.held.Store(h)
}

func (l *leader) lose() {
	if l.end != nil {
		l.end()
		l.end = nil
	}
	l.s.held.Store(nil)
}
