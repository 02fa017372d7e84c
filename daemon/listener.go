package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"

	"cardamomwick.example/core/api"
	"cardamomwick.example/daemon/entry"
)

// neverForced keeps go-zero's own signal handling from ending the process:
// the daemon's graceful shutdown decides about that.
const neverForced = 365 * 24 * time.Hour

// Bounds on what a stranger can hold of a connection.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// listener serves HTTP. It is a suture service.
type listener struct {
	rest   *rest.Server
	server atomic.Pointer[http.Server]
}

// newListener adds all routes. Of go-zero's middlewares only Recover is on:
// its shedding, breaker, connection cap and timeout know no classes.
func (d *Daemon) newListener() (*listener, error) {
	ap, err := netip.ParseAddrPort(d.settings.Callers.Address)
	if err != nil {
		return nil, eris.Wrap(err, "parse callers.address")
	}
	proc.Setup(proc.ShutdownConf{WrapUpTime: neverForced, WaitTime: neverForced})
	conf := rest.RestConf{Host: ap.Addr().String(), Port: int(ap.Port()), Middlewares: rest.MiddlewaresConf{Recover: true}}
	conf.Shutdown = proc.ShutdownConf{WrapUpTime: neverForced, WaitTime: neverForced}
	conf.Log.Mode = "console"
	conf.Log.Level = "severe"
	s, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(d.notFound)))
	if err != nil {
		return nil, eris.Wrap(err, "make HTTP server")
	}
	logx.Disable()
	s.AddRoutes([]rest.Route{{Method: http.MethodPost, Path: api.PathChat, Handler: d.entry.Chat}}, rest.WithSSE())
	s.AddRoutes(d.routes())
	return &listener{rest: s}, nil
}

func (d *Daemon) routes() []rest.Route {
	announcer := &entry.Announcer{Entry: d.entry, Transport: d.transport}
	return []rest.Route{
		{Method: http.MethodGet, Path: api.PathAddresses, Handler: d.entry.Addresses},
		{Method: http.MethodPost, Path: api.PathAnnounce, Handler: announcer.ServeHTTP},
		{Method: http.MethodGet, Path: api.PathHealth, Handler: d.health},
		{Method: http.MethodGet, Path: api.PathMetrics, Handler: d.metricsPage},
		{Method: http.MethodPost, Path: api.PathOrders, Handler: d.admin.Order},
		{Method: http.MethodGet, Path: api.PathStatus, Handler: d.admin.Signed(d.admin.Status)},
		{Method: http.MethodGet, Path: api.PathAudit, Handler: d.admin.Signed(d.admin.Audit)},
		{Method: http.MethodGet, Path: api.PathBundle, Handler: d.admin.Signed(d.admin.Bundle)},
		{Method: http.MethodGet, Path: api.PathInstances, Handler: d.admin.Signed(d.admin.Instances)},
		{Method: http.MethodGet, Path: api.PathServers, Handler: d.admin.Signed(d.admin.Servers)},
	}
}

// notFound serves the plain services, whose paths have any depth and method,
// which the router can't express.
func (d *Daemon) notFound(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, api.PathServices) {
		d.entry.Service(w, r)
		return
	}
	http.Error(w, `{"error":{"type":"invalid_request","message":"no such path","outcome":"not_run"}}`, http.StatusNotFound)
}

// String names the service in the supervisor's log.
func (l *listener) String() string { return "callers' listener" }

// Serve listens until the context ends. What is in flight has ended before:
// the daemon drains first.
func (l *listener) Serve(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		l.rest.StartWithOpts(func(s *http.Server) {
			s.ReadHeaderTimeout = headerTimeout
			s.MaxHeaderBytes = maxHeaderBytes
			l.server.Store(s)
		})
	}()
	select {
	case <-ctx.Done():
		l.stop()
		return ctx.Err()
	case <-stopped:
		return eris.New("HTTP listener stopped")
	}
}

const stopTimeout = 5 * time.Second

func (l *listener) stop() {
	s := l.server.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
}
