package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	readTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// server is one HTTP listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listen opens all HTTP listeners, or none.
func (n *Node) listen() ([]*server, error) {
	debug := http.NewServeMux()
	debug.HandleFunc("GET /livez", n.health.live)
	debug.HandleFunc("GET /readyz", n.health.ready)
	debug.HandleFunc("GET /debug/vars", n.serveVars)
	wanted := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", n.settings.CallersAddress, n.front.Handler()},
		{"operators", n.settings.OperatorsAddress, n.oper.Handler()},
		{"debug", n.settings.DebugAddress, debug},
	}
	servers := make([]*server, 0, len(wanted))
	for _, w := range wanted {
		listener, err := net.Listen("tcp", w.address.String())
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, fmt.Errorf("listener for %s: %w", w.name, err)
		}
		servers = append(servers, newServer(w.name, listener, w.handler))
	}
	return servers, nil
}

func newServer(name string, listener net.Listener, handler http.Handler) *server {
	return &server{
		name:     name,
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

// run serves until the server is shut down. Any other end is reported.
func (s *server) run(failed chan<- error) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- fmt.Errorf("listener for %s: %w", s.name, err)
	}
}

// shutdown waits for answers under way until ctx ends, and closes the rest.
func (s *server) shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
