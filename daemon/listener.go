package daemon

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"

	"cardamomwick.example/core/api"
	"cardamomwick.example/daemon/entry"
)

// noForcedShutdown is a delay that is never reached. It keeps go-zero's own signal handling
// from ending the process, which is up to the daemon's graceful shutdown.
const noForcedShutdown = 365 * 24 * time.Hour

// Limits on the resources that an unauthenticated client can hold with one connection.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// Operators may declare others, up to these.
	maxHeaderTimeout       = 2 * time.Minute
	maxDeclaredHeaderBytes = 1 << 20
)

// newListener returns the callers' listener with all routes. Of go-zero's middlewares only
// Recover is enabled: load shedding, circuit breaker, connection limit and timeout would
// ignore the classes of calls.
func (d *Daemon) newListener() (*httpListener, error) {
	ap, err := netip.ParseAddrPort(d.settings.Callers.Address)
	if err != nil {
		return nil, eris.Wrap(err, "parse callers.address")
	}
	proc.Setup(proc.ShutdownConf{WrapUpTime: noForcedShutdown, WaitTime: noForcedShutdown})
	conf := rest.RestConf{Host: ap.Addr().String(), Port: int(ap.Port()), Middlewares: rest.MiddlewaresConf{Recover: true}}
	conf.Shutdown = proc.ShutdownConf{WrapUpTime: noForcedShutdown, WaitTime: noForcedShutdown}
	conf.Log.Mode = "console"
	conf.Log.Level = "severe"
	s, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(d.notFound)))
	if err != nil {
		return nil, eris.Wrap(err, "make HTTP server")
	}
	logx.Disable()
	s.AddRoutes([]rest.Route{{Method: http.MethodPost, Path: api.PathChat, Handler: d.entry.Chat}}, rest.WithSSE())
	s.AddRoutes(d.routes())
	return &httpListener{name: "callers' listener", address: d.settings.Callers.Address, rest: s, guard: d.guard, shutdownTimeout: stopTimeout, idle: callerIdleTimeout}, nil
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

// notFound serves calls of services. The router can't match them, since they may have any
// method and any number of path segments.
func (d *Daemon) notFound(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, api.PathServices) {
		d.entry.Service(w, r)
		return
	}
	http.Error(w, `{"error":{"type":"invalid_request","message":"no such path","outcome":"not_run"}}`, http.StatusNotFound)
}

// stopTimeout is how long the callers' listener may take to stop.
const stopTimeout = 5 * time.Second
