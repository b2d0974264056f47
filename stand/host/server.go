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

// readHeaderTimeout limits how long a client may take to send the request header.
const readHeaderTimeout = 10 * time.Second

// Server serves one handler on one address, except while it is suspended.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address netip.AddrPort
	current *http.Server
}

// Listen starts serving handler on address. Port 0 selects a free port.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Resume(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address of the server, with the actual port.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Resume listens on the same address again after Suspend. It does nothing if the server is listening.
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

// Suspend closes the listener and all connections immediately. It does nothing if the server is
// already suspended.
func (s *Server) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	if err := s.current.Close(); err != nil {
		klog.V(2).InfoS("failed to close listener", "address", s.address, "err", err)
	}
	s.current = nil
}

// Stop closes the listener and waits for requests in flight. When ctx ends, it closes the remaining
// connections.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	current := s.current
	s.current = nil
	s.mu.Unlock()
	if current == nil {
		return
	}
	if err := current.Shutdown(ctx); err != nil {
		klog.V(2).InfoS("shutdown timed out with requests in flight", "address", s.address, "err", err)
		_ = current.Close()
	}
}

// acceptor runs an HTTP server on one listener.
type acceptor struct {
	server   *http.Server
	listener net.Listener
}

func (a *acceptor) run() {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "HTTP server failed", "address", a.listener.Addr())
	}
}
