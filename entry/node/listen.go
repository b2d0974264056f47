package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"tanagerstack.org/core/guard"
	"tanagerstack.org/entry/front"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	readTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// server is an HTTP server with its listener.
type server struct {
	name     string
	port     *guard.Port
	listener net.Listener
	http     *http.Server
}

// listen opens the HTTP listeners for callers, operators and debugging. If one fails, it closes the
// others and returns the error.
func (n *Node) listen() ([]*server, error) {
	debug := http.NewServeMux()
	debug.HandleFunc("GET /livez", n.health.serveLive)
	debug.HandleFunc("GET /readyz", n.health.serveReady)
	debug.HandleFunc("GET /debug/vars", n.serveVars)
	endpoints := []struct {
		name    string
		port    *guard.Port
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", n.guard.Port(guard.Callers, front.OverloadRefusal()), n.settings.CallersAddress, n.front.Handler()},
		{"operators", n.guard.Port(guard.Operators, guard.Refusal{}), n.settings.OperatorsAddress, n.oper.Handler()},
		{"debug", n.guard.Port(guard.Operators, guard.Refusal{}), n.settings.DebugAddress, debug},
	}
	servers := make([]*server, 0, len(endpoints))
	for _, e := range endpoints {
		listener, err := e.port.Listen(e.address.String())
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, fmt.Errorf("listener for %s: %w", e.name, err)
		}
		servers = append(servers, newServer(e.name, e.port, listener, e.handler))
	}
	return servers, nil
}

func newServer(name string, port *guard.Port, listener net.Listener, handler http.Handler) *server {
	return &server{
		name:     name,
		port:     port,
		listener: listener,
		http: port.Wrap(&http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}),
	}
}

// run serves until shutdown is called. It sends to failed if the server stops for another reason.
func (s *server) run(failed chan<- error) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- fmt.Errorf("listener for %s: %w", s.name, err)
	}
}

// shutdown waits for the responses in progress until ctx is done, then closes the remaining
// connections.
func (s *server) shutdown(ctx context.Context) {
	if s.port.Shutdown(ctx, s.http) != nil {
		_ = s.http.Close()
	}
}
