package sched

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/ledger"
)

// startBatch is the most tasks in one start command.
const startBatch = 100

// link sends commands to one worker, one at a time, so that each answer tells
// the worker's state after the commands before it.
type link struct {
	h    *holder
	name string
	wake chan struct{}

	// The fields below are guarded by the holder's lock.

	address string
	client  *worker.Client
	// listed: the worker accepted this epoch and listed its tasks.
	listed bool
	// failingSince is when the first of the calls failed that have failed since the
	// worker last answered; zero if the last one did not fail.
	failingSince time.Time
	// recorded: the fleet's row names the worker.
	recorded bool
	member   membership
	renewAt  time.Time
	starts   []ledger.Task
	stops    map[ledger.Task]stopOrder
	health   health
	// usageAt is when the next usage report is asked for, usageAsOf the instant
	// of the last one.
	usageAt   time.Time
	usageAsOf time.Time
}

// stopOrder is a stop that the worker has yet to carry out.
type stopOrder struct {
	checkpoint bool
}

func newLink(h *holder, name string) *link {
	return &link{h: h, name: name, wake: make(chan struct{}, 1), stops: make(map[ledger.Task]stopOrder)}
}

// dial makes the link call an address. The holder's lock must be held.
func (l *link) dial(address string) error {
	if l.address == address {
		return nil
	}
	client, err := worker.NewClient("http://"+address, worker.WithClient(l.h.s.opts.HTTP))
	if err != nil {
		return err
	}
	l.address, l.client = address, client
	return nil
}

func (l *link) api() *worker.Client {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	return l.client
}

func (l *link) run(ctx context.Context) {
	defer l.h.loops.Done()
	for ctx.Err() == nil {
		l.start(ctx)
		l.stop(ctx)
		l.renew(ctx)
		l.usage(ctx)
		// The jitter keeps renewals of many workers apart.
		wait := renewEvery/4 + time.Duration(rand.Int63n(int64(renewEvery/8)))
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-time.After(wait):
		}
	}
}

// start sends the starts that wait, if the grant is valid.
func (l *link) start(ctx context.Context) {
	for {
		request := l.h.takeStarts(l)
		if request == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		reply, err := l.api().StartTasks(callCtx, request)
		cancel()
		l.h.startAnswered(l, request, reply, err)
		if err != nil {
			klog.V(2).InfoS("The outcome of a start is not known", "worker", l.name, "tasks", len(request.Tasks), "err", err)
			return
		}
	}
}

// stop sends the stops that wait.
func (l *link) stop(ctx context.Context) {
	for _, checkpoint := range []bool{false, true} {
		request := l.h.takeStops(l, checkpoint)
		if request == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		asked := l.h.now()
		list, err := l.api().StopTasks(callCtx, request)
		cancel()
		l.answered(list, asked, err)
	}
}

// renew extends all leases of the worker's tasks in one message; the answer
// lists the worker's tasks. Its first call in an epoch fences older epochs.
func (l *link) renew(ctx context.Context) {
	request := l.h.takeRenewal(l)
	if request == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	asked := l.h.now()
	list, err := l.api().RenewTasks(callCtx, request)
	l.answered(list, asked, err)
}

func (l *link) answered(list *worker.TaskList, asked time.Time, err error) {
	if err != nil {
		l.h.silent(l, err)
		return
	}
	l.h.report(l, list, asked)
}

// rejected reports whether an error says that the worker carried nothing out.
func rejected(err error) bool {
	var problem *worker.ProblemStatusCode
	return errors.As(err, &problem) && problem.StatusCode >= 400 && problem.StatusCode < 500
}
