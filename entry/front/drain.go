package front

import (
	"context"
	"fmt"
	"sync"
)

// inFlightTracker counts the requests in flight. While draining it admits no new ones.
type inFlightTracker struct {
	mu       sync.Mutex
	count    int
	draining bool
	// idle is nil until draining starts. It is closed once draining has started and
	// no request is in flight.
	idle chan struct{}
}

// begin counts a new request, or returns false while draining. Each successful call
// must be followed by one call of end.
func (t *inFlightTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.count++
	return true
}

// end counts a request as finished.
func (t *inFlightTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.draining && t.count == 0 {
		close(t.idle)
	}
}

// isDraining reports whether new requests are refused.
func (t *inFlightTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// drain refuses new requests and waits until none is in flight. It returns an error
// if ctx ends first.
func (t *inFlightTracker) drain(ctx context.Context) error {
	idle := t.startDraining()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		t.mu.Lock()
		defer t.mu.Unlock()
		return fmt.Errorf("%d requests still in flight at the end of the drain: %w", t.count, ctx.Err())
	}
}

// startDraining refuses new requests from now on. The returned channel is closed once
// no request is in flight. Further calls return the same channel.
func (t *inFlightTracker) startDraining() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		t.draining = true
		t.idle = make(chan struct{})
		if t.count == 0 {
			close(t.idle)
		}
	}
	return t.idle
}
