package host

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
)

// Group holds the servers of one process by VM name. The zero value is empty and ready to use.
type Group struct {
	mu      sync.Mutex
	servers map[string]*Server
}

// Listen starts a server for the VM called name and adds it to the group.
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

// Suspend suspends the servers whose VM name matches.
func (g *Group) Suspend(matches func(name string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, server := range g.servers {
		if matches(name) {
			server.Suspend()
		}
	}
}

// Resume resumes all suspended servers. It returns the errors of all servers that fail to listen.
func (g *Group) Resume() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	errs := make([]error, 0, len(g.servers))
	for _, server := range g.servers {
		errs = append(errs, server.Resume())
	}
	return errors.Join(errs...)
}

// Stop stops all servers, one after another. Requests in flight are closed when ctx ends.
func (g *Group) Stop(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, server := range g.servers {
		server.Stop(ctx)
	}
}
