// Package crashserver provides an HTTP server that can simulate a process crash and
// restart, for fake backend servers in tests, demos and soak tests. It is not part of the
// product.
package crashserver

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// CrashMarker in a request body makes a fake backend server crash when it starts to run
// the call.
const CrashMarker = "ends the server that runs it"

// TriggersCrash reports whether a request body contains CrashMarker.
func TriggersCrash(body []byte) bool { return bytes.Contains(body, []byte(CrashMarker)) }

// Server serves at one address, across simulated crashes, until it is stopped. Safe for
// concurrent use.
type Server struct {
	address string
	handler http.Handler

	mu      sync.Mutex
	current *http.Server
	stopped bool
	// started is the time of the latest start.
	started time.Time
	crashes []time.Time
}

// Start starts a server at an address. Port 0 means any free port.
func Start(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{address: l.Addr().String(), handler: h}
	s.serve(l)
	return s, nil
}

// Address returns the server's address, which stays the same across crashes.
func (s *Server) Address() string { return s.address }

// serve serves a listener. Call it with the lock held, or before the server is shared.
func (s *Server) serve(l net.Listener) {
	current := &http.Server{Handler: s.handler}
	s.current, s.started = current, time.Now()
	go func() { _ = current.Serve(l) }() // ends on Crash or Stop
}

// Crashes returns the times of the crashes.
func (s *Server) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// Down reports whether the server is stopped, or has crashed and not restarted yet.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == nil
}

// Started returns the time of the server's latest start.
func (s *Server) Started() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Crash closes all connections and the listener. The server listens again after the pause
// unless it is stopped before.
func (s *Server) Crash(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.Close()
	s.current = nil
	s.crashes = append(s.crashes, time.Now())
	time.AfterFunc(pause, s.restart)
}

// relistenInterval is the delay between two attempts to listen at the address again.
const relistenInterval = 20 * time.Millisecond

func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(relistenInterval, s.restart)
		return
	}
	s.serve(l)
}

// Stop ends the server for good.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.current != nil {
		s.current.Close()
		s.current = nil
	}
}
