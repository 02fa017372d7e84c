// Package crashserver is an HTTP server that can end as a process that crashes does,
// for the stand-ins of backend servers in tests, demo and soak. It is no part of the
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

// CrashMarker in a body makes the stand-ins of backend servers crash when they begin to
// run the call.
const CrashMarker = "ends the server that runs it"

// TriggersCrash reports whether a body makes a stand-in crash.
func TriggersCrash(body []byte) bool { return bytes.Contains(body, []byte(CrashMarker)) }

// Server serves at one address until it is stopped. Safe for concurrent use.
type Server struct {
	address string
	handler http.Handler

	mu      sync.Mutex
	current *http.Server
	stopped bool
	// started is when the present or last start began.
	started time.Time
	crashes []time.Time
}

// Start listens at an address; a port of 0 means any free one.
func Start(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{address: l.Addr().String(), handler: h}
	s.serve(l)
	return s, nil
}

// Address is where the server listens, or will again.
func (s *Server) Address() string { return s.address }

// serve takes calls from a listener. Call with the lock held, or before others know
// the server.
func (s *Server) serve(l net.Listener) {
	current := &http.Server{Handler: s.handler}
	s.current, s.started = current, time.Now()
	go func() { _ = current.Serve(l) }() // it ends with Crash or Stop
}

// Crashes lists when the server crashed.
func (s *Server) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// Down reports whether the server has crashed and does not listen again yet, or has
// been stopped.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == nil
}

// Started is when the present start of the server began, or the last one while it is
// down.
func (s *Server) Started() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Crash breaks all connections and refuses new ones. After a time the server listens
// again; not when it is stopped before.
func (s *Server) Crash(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.Close()
	s.current = nil
	s.crashes = append(s.crashes, time.Now())
	time.AfterFunc(pause, s.revive)
}

// listenPause passes between two tries to get the address back.
const listenPause = 20 * time.Millisecond

func (s *Server) revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(listenPause, s.revive)
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
