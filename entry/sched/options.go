package sched

import (
	"net/http"
	"time"

	"tanagerstack.org/core/trace"
	"tanagerstack.org/entry/shared"
)

// Times of the controllers.
const (
	// renewEvery is the time between messages to a worker on which a task is
	// expected to end. A worker where none is hears less often, but renewFraction
	// times in each task lease.
	renewEvery    = time.Second
	renewFraction = 4
	// workerCallTimeout bounds one call to a worker.
	workerCallTimeout = 800 * time.Millisecond
	// silenceLimit is how long calls to a worker may fail before it gets no new tasks.
	silenceLimit = 1500 * time.Millisecond
	// startLimit is how long a start command is valid at most.
	startLimit = time.Second
	// placeEvery is the time between passes over the queue that nothing asked for.
	placeEvery = 250 * time.Millisecond
	// recordEvery is the least time between writes of changed jobs.
	recordEvery = 100 * time.Millisecond
	// inboxEvery is the time between reads of the domain's inbox.
	inboxEvery = time.Second
	// fleetEvery is the time between looks at the roster.
	fleetEvery = 500 * time.Millisecond
	// retryDelay is the wait before a failed task is placed again; it doubles.
	retryDelay = 500 * time.Millisecond
	// defaultTaskLease is used where the policy names none.
	defaultTaskLease = 10 * time.Second
	// minTaskLease and maxTaskLease bound what a policy may ask for. A lease must
	// outlast a renewal gap and a takeover, or running tasks would lapse with each.
	minTaskLease = 5 * time.Second
	maxTaskLease = 30 * time.Second
)

// Options configure a Scheduler. All but HTTP, Trace and Now are needed.
type Options struct {
	shared.CommonOptions
	// HTTP carries calls to workers; a client of its own if nil.
	HTTP *http.Client
}

func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     10 * time.Second,
		}}
	}
	if o.Trace == nil {
		o.Trace = trace.NewLog(trace.Options{VM: o.Name})
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
