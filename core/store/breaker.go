package store

import (
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

var errBreakerOpen = errors.New("the service failed a short while ago and is left alone")

const (
	// failuresToOpen is how many calls in a row must fail before the breaker
	// keeps calls back.
	failuresToOpen  = 3
	firstProbeDelay = 100 * time.Millisecond
	// longestRetry bounds how long a client leaves a service alone that is back:
	// one probe of each client in that time is no load worth saving.
	maxProbeDelay = 500 * time.Millisecond
)

// breaker keeps calls away from a service that fails, but for one probe after
// each jittered and growing wait.
type breaker struct {
	mu       *sync.Mutex
	failures int
	// limit is how many failures in a row open it.
	limit       int
	probeDelays *backoff.ExponentialBackOff
	// retryAt is when the next probe may go out; probing is set while it is out.
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

// closed reports whether calls go through.
func (b *breaker) closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures < b.limit
}

// allow reports whether a call may go out at now.
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

func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.probing = false
	b.probeDelays.Reset()
}

func (b *breaker) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	if b.failures >= b.limit {
		b.retryAt = now.Add(b.probeDelays.NextBackOff())
	}
}

// setLimit sets how many failures in a row open the breaker.
func (b *breaker) setLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// open keeps calls back until one succeeds.
func (b *breaker) open(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.limit {
		b.failures = b.limit
		b.retryAt = now.Add(b.probeDelays.NextBackOff())
	}
}

// canceled ends a call that says nothing about the service.
func (b *breaker) canceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
