package host

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
)

// Group holds the servers of one process by the name of their VM. The zero
// value is empty and ready to use.
type Group struct {
	mu      sync.Mutex
	servers map[string]*Server
}

// Listen starts a server for the VM name.
func (g *Group) Listen(name string, address netip.AddrPort, handler http.Handler) (*Server, error) {
	server, err := Listen(address, handler)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers == nil {
		g.servers = make(map[string]*Server)
	}
	g.servers[name] = server
	return server, nil
}

// Suspend closes the servers whose name matches.
func (g *Group) Suspend(matches func(name string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, server := range g.servers {
		if matches(name) {
			server.Suspend()
		}
	}
}

// Resume listens again on all addresses that were suspended.
func (g *Group) Resume() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	errs := make([]error, 0, len(g.servers))
	for _, server := range g.servers {
		errs = append(errs, server.Resume())
	}
	return errors.Join(errs...)
}

// Stop stops all servers.
func (g *Group) Stop(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, server := range g.servers {
		server.Stop(ctx)
	}
}
