package store

import (
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

var errBreakerOpen = errors.New("the service failed a short while ago and is left alone")

const (
	// failuresToOpen is how many consecutive calls must fail before the breaker opens.
	failuresToOpen  = 3
	firstProbeDelay = 100 * time.Millisecond
	// maxProbeDelay bounds the time until a client notices that the service has recovered. One
	// probe per client in that time is a negligible load.
	maxProbeDelay = 500 * time.Millisecond
)

// breaker is a circuit breaker: after a number of consecutive failures it rejects calls, except
// for single probes with jittered exponential backoff between them.
type breaker struct {
	mu       *sync.Mutex
	failures int
	// limit is how many consecutive failures open the breaker.
	limit       int
	probeDelays *backoff.ExponentialBackOff
	// retryAt is when the next probe may be sent; probing is set while one is in flight.
	retryAt time.Time
	probing bool
}

func newBreaker() breaker {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstProbeDelay
	delays.MaxInterval = maxProbeDelay
	delays.Multiplier = 2
	return breaker{mu: &sync.Mutex{}, probeDelays: delays, limit: failuresToOpen}
}

// closed reports whether calls are allowed.
func (b *breaker) closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures < b.limit
}

// allow reports whether a call may be sent at now. While the breaker is open, a call that it
// allows is the probe.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.limit {
		return true
	}
	if b.probing || now.Before(b.retryAt) {
		return false
	}
	b.probing = true
	return true
}

// succeeded records a successful call and closes the breaker.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.probing = false
	b.probeDelays.Reset()
}

// failed records a failed call. It opens the breaker at the limit and delays the next probe.
func (b *breaker) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	if b.failures >= b.limit {
		b.retryAt = now.Add(b.probeDelays.NextBackOff())
	}
}

// setLimit sets how many consecutive failures open the breaker.
func (b *breaker) setLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// open opens the breaker until a probe succeeds.
func (b *breaker) open(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.limit {
		b.failures = b.limit
		b.retryAt = now.Add(b.probeDelays.NextBackOff())
	}
}

// canceled ends a call whose result does not count for or against the service.
func (b *breaker) canceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
