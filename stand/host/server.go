package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// readHeaderTimeout bounds how long a client may take to send its header.
const readHeaderTimeout = 10 * time.Second

// Server serves one handler on one address.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address netip.AddrPort
	current *http.Server
}

// Listen starts to serve handler on address. Port 0 picks a free one.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Resume(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address that is served.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Resume listens again after Suspend; it does nothing while the server listens.
func (s *Server) Resume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return fmt.Errorf("listening on %s: %w", s.address, err)
	}
	if bound, ok := listener.Addr().(*net.TCPAddr); ok {
		s.address = bound.AddrPort()
	}
	s.current = &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	go (&acceptor{server: s.current, listener: listener}).run()
	return nil
}

// Suspend closes the listener and all connections at once.
func (s *Server) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	if err := s.current.Close(); err != nil {
		klog.V(2).InfoS("closing a listener", "address", s.address, "err", err)
	}
	s.current = nil
}

// Stop waits for requests in flight until ctx ends, then closes what is left.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	current := s.current
	s.current = nil
	s.mu.Unlock()
	if current == nil {
		return
	}
	if err := current.Shutdown(ctx); err != nil {
		klog.V(2).InfoS("requests were still in flight at shutdown", "address", s.address, "err", err)
		_ = current.Close()
	}
}

// acceptor serves the connections of one listener.
type acceptor struct {
	server   *http.Server
	listener net.Listener
}

func (a *acceptor) run() {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "serving ended", "address", a.listener.Addr())
	}
}
