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
)

// idleTimeout is how long a caller's idle connection is kept. It is above any
// idle timeout that operators have declared, so that no caller sends on a
// connection that is just being closed.
const idleTimeout = 2 * time.Minute

// shortIdleTimeout is the same for the other listeners: those who ask there come back
// within seconds or not at all, since they have gone on to another instance. Kept as
// long as callers' connections, what thousands of engines leave behind on such a move
// fills an instance's memory and descriptors: 30 KB each.
const shortIdleTimeout = 15 * time.Second

// httpListener serves HTTP at one address. It is a suture service.
type httpListener struct {
	name string
	rest *rest.Server
	// lastAnswers is how long calls that crossed the end of the drain may take.
	lastAnswers time.Duration
	// idle is how long an idle connection is kept.
	idle   time.Duration
	server atomic.Pointer[http.Server]
	// most bounds the open connections, zero for no bound; further ones are closed at once.
	most int64
	open atomic.Int64
}

// mostControl bounds the connections to control, at 30 KB each. After a loss of
// everything the first replica that is back is found by all engines: 4,500 connections
// took its memory and all of its descriptors. Whoever is closed out asks another one.
const mostControl = 1536

// bound counts connections, and closes those beyond the bound.
func (l *httpListener) bound(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if l.open.Add(1) > l.most && l.most > 0 {
			_ = c.Close() // the server notices, and counts it as closed
		}
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// direct is a go-zero router that hands every request to one handler. None of
// go-zero's middlewares is on: its Recover would end a broken stream as if it
// were complete.
type direct struct{ http.Handler }

// Handle implements httpx.Router; no routes are added.
func (direct) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router.
func (direct) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (direct) SetNotAllowedHandler(http.Handler) {}

var _ httpx.Router = direct{}

func newHTTPListener(name, address string, h http.Handler, idle time.Duration) (*httpListener, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "parse address of %s", name)
	}
	shutdown := proc.ShutdownConf{WrapUpTime: neverForced, WaitTime: neverForced}
	proc.Setup(shutdown)
	conf := rest.RestConf{Host: ap.Addr().String(), Port: int(ap.Port())}
	conf.Shutdown = shutdown
	conf.Log.Mode = "console"
	conf.Log.Level = "severe"
	s, err := rest.NewServer(conf, rest.WithRouter(direct{h}))
	if err != nil {
		return nil, eris.Wrapf(err, "make HTTP server of %s", name)
	}
	logx.Disable()
	return &httpListener{name: name, rest: s, lastAnswers: crossedAnswers, idle: idle}, nil
}

// String names the service in the supervisor's log.
func (l *httpListener) String() string { return l.name }

// Serve listens until the context ends, then takes no connections any more,
// gives those that carry a call a moment for its answer and closes the rest.
// Long calls have ended before: the daemon drains first.
func (l *httpListener) Serve(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		l.rest.StartWithOpts(func(s *http.Server) {
			s.ReadHeaderTimeout = headerTimeout
			s.IdleTimeout = l.idle
			s.MaxHeaderBytes = maxHeaderBytes
			s.ConnState = l.bound
			l.server.Store(s)
		})
	}()
	select {
	case <-ctx.Done():
		l.stop()
		return ctx.Err()
	case <-stopped:
		return eris.Errorf("%s stopped", l.name)
	}
}

// crossedAnswers is enough for an instance that has drained before.
const crossedAnswers = 200 * time.Millisecond

func (l *httpListener) stop() {
	s := l.server.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.lastAnswers)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // what is left came too late; the process ends
	}
}
