package front

import (
	"context"
	"fmt"
	"sync"
)

// inFlight counts the requests in flight and can stop new ones.
type inFlight struct {
	mu       sync.Mutex
	count    int
	draining bool
	// empty is closed when draining has begun and nothing is in flight.
	empty chan struct{}
}

// enter counts a request in unless the gate is closed.
func (g *inFlight) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.count++
	return true
}

// leave counts a request out.
func (g *inFlight) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.draining && g.count == 0 {
		close(g.empty)
	}
}

// isDraining reports whether the gate is closed.
func (g *inFlight) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// drain closes the gate and waits until nothing is in flight.
func (g *inFlight) drain(ctx context.Context) error {
	empty := g.shut()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		return fmt.Errorf("%d requests are still in flight: %w", g.count, ctx.Err())
	}
}

func (g *inFlight) shut() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.empty = make(chan struct{})
		if g.count == 0 {
			close(g.empty)
		}
	}
	return g.empty
}
