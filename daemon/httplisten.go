package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"cardamomwick.example/daemon/inbound"
)

// callerIdleTimeout is how long a caller's idle connection stays open. It is longer than
// any idle timeout that operators declare for their callers, so that no caller sends a
// request on a connection that is being closed.
const callerIdleTimeout = 2 * time.Minute

// shortIdleTimeout is the idle timeout of the other listeners. Their clients send the next
// request within seconds, or have switched to another instance. When thousands of engines
// switch, the connections that they leave behind, of 30 KB each, would exhaust memory and
// file descriptors if they stayed open for callerIdleTimeout.
const shortIdleTimeout = 15 * time.Second

// httpListener serves HTTP at one address. It is a suture service.
type httpListener struct {
	name, address string
	rest          *rest.Server
	guard         *inbound.Guard
	// limits returns the declared limits on clients, which replace headerTimeout and maxHeaderBytes and
	// shorten idle; nil for none.
	limits func() inbound.HeadLimits
	// shutdownTimeout is how long requests that are in flight when the listener stops may
	// take.
	shutdownTimeout time.Duration
	// idle is how long an idle connection stays open.
	idle   time.Duration
	server atomic.Pointer[http.Server]
	// maxOpen limits the open connections, zero for no limit; further ones are closed
	// immediately.
	maxOpen int64
	open    atomic.Int64
}

// maxControlConnections limits the connections to the control listener, of 30 KB each.
// After a failure of all replicas, every engine connects to the first one that is back:
// 4,500 connections exhausted its memory and file descriptors. A client whose connection
// is closed tries another replica.
const maxControlConnections = 1536

// limitConnections counts the open connections and closes new ones above maxOpen.
func (l *httpListener) limitConnections(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if l.open.Add(1) > l.maxOpen && l.maxOpen > 0 {
			_ = c.Close() // the server then reports it as closed, which counts it down
		}
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// singleHandler is a go-zero router that passes every request to one handler. No go-zero
// middleware is enabled: Recover would end a broken stream as if it were complete.
type singleHandler struct{ http.Handler }

// Handle implements httpx.Router; no routes are added.
func (singleHandler) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router.
func (singleHandler) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (singleHandler) SetNotAllowedHandler(http.Handler) {}

var _ httpx.Router = singleHandler{}

func newHTTPListener(g *inbound.Guard, name, address string, h http.Handler, idle time.Duration) (*httpListener, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "parse address of %s", name)
	}
	shutdown := proc.ShutdownConf{WrapUpTime: noForcedShutdown, WaitTime: noForcedShutdown}
	proc.Setup(shutdown)
	conf := rest.RestConf{Host: ap.Addr().String(), Port: int(ap.Port())}
	conf.Shutdown = shutdown
	conf.Log.Mode = "console"
	conf.Log.Level = "severe"
	s, err := rest.NewServer(conf, rest.WithRouter(singleHandler{h}))
	if err != nil {
		return nil, eris.Wrapf(err, "make HTTP server of %s", name)
	}
	logx.Disable()
	return &httpListener{name: name, address: address, rest: s, guard: g, shutdownTimeout: drainedShutdownTimeout, idle: idle}, nil
}

// String names the service in the supervisor's log.
func (l *httpListener) String() string { return l.name }

// Serve listens until the context ends. Then it accepts no more connections, waits up to
// shutdownTimeout for requests in flight and closes what is left. Long calls have ended by
// then, since the daemon drains first.
func (l *httpListener) Serve(ctx context.Context) error {
	listener, err := l.guard.Listen(l.name, l.address, l.limits)
	if err != nil {
		return err
	}
	defer listener.Close()
	stopped := make(chan error, 1)
	go func() {
		// go-zero would listen by itself, without the guard. It is served here instead, and finds its
		// server closed afterwards.
		l.rest.StartWithOpts(func(s *http.Server) {
			l.configure(s)
			stopped <- s.Serve(listener)
			_ = s.Close() // nothing is open any more
		})
	}()
	select {
	case <-ctx.Done():
		l.stop()
		return ctx.Err()
	case err := <-stopped:
		return eris.Wrapf(err, "%s stopped", l.name)
	}
}

func (l *httpListener) configure(s *http.Server) {
	s.Handler = l.guard.Handler(s.Handler)
	s.IdleTimeout = l.idle
	s.ReadHeaderTimeout, s.MaxHeaderBytes = headerTimeout, maxHeaderBytes
	if l.limits != nil { // the guard applies them
		s.ReadHeaderTimeout, s.MaxHeaderBytes = maxHeaderTimeout, maxDeclaredHeaderBytes
	}
	s.ConnContext = inbound.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		inbound.ConnState(c, state)
		l.limitConnections(c, state)
	}
	l.server.Store(s)
}

// drainedShutdownTimeout is the shutdown timeout of the listeners of a drained instance,
// which has only short requests left.
const drainedShutdownTimeout = 200 * time.Millisecond

func (l *httpListener) stop() {
	s := l.server.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // requests still in flight are aborted, since the process ends
	}
}
