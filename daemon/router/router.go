// Package router serves callers on declared routes: it finds the route and the
// customer, places the call on a backend server, sends it and passes the answer
// on. Decisions are made in core packages; this one does the input and output.
//
// Each call gets one final answer. Statuses that promise that a call has not
// run are used only when that is certain.
package router

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/core/warmup"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/telemetry"
	"cardamomwick.example/daemon/upstream"
)

// defaultMaxBody bounds a call's body where the declaration does not.
const defaultMaxBody = 4 << 20

// Options sets up a Router.
type Options struct {
	Protocol upstream.Protocol
	// Table returns the declaration in force, nil before the first.
	Table func() *routing.Table
	// Entries returns how many instances serve callers, this one included.
	Entries func() int
	// Name is this instance's.
	Name  string
	Retry RetryLimits
	// Metrics counts calls; New makes a set of its own when it is nil.
	Metrics *telemetry.Metrics
	// Usage counts the runs that servers begin; New makes one that counts nothing.
	Usage Usage
	// Quarantine says which requests are kept from the servers; New makes one of its
	// own when it is nil.
	Quarantine *quarantine.Manager
}

// Usage counts the runs that servers begin.
type Usage interface {
	// Began counts a run for a customer, "" for none, that began some time ago.
	Began(customer string, ago time.Duration)
}

type noUsage struct{}

func (noUsage) Began(string, time.Duration) {}

// RetryLimits are the limits of repeated attempts per pool; see retry.Window.
type RetryLimits struct {
	Span         time.Duration
	Ratio, Slack float64
}

// Router is an http.Handler. Safe for concurrent use.
type Router struct {
	opt      Options
	upstream *upstream.Client
	inFlight atomic.Int64
	attempts attempts

	// started is when this instance began; equipped is closed once it has a
	// declaration and has been told of the servers.
	started  time.Time
	equipped chan struct{}
	equip    sync.Once

	// fleet is the list taken last; only SetFleet uses it, which one goroutine calls.
	fleet []fleet.Server

	mu       sync.Mutex
	waiting  warmup.Limiter
	balancer *balance.Balancer
	budgets  map[string]*retry.Window
	queues   map[string]*ratelimit.Queue
	// cutOff is when this instance ends what is in flight; zero until it leaves.
	cutOff time.Time
}

// New returns a router that knows no servers yet.
func New(o Options) *Router {
	if o.Metrics == nil {
		o.Metrics = telemetry.New()
	}
	if o.Usage == nil {
		o.Usage = noUsage{}
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(quarantine.Options{})
	}
	return &Router{opt: o, started: time.Now(), equipped: make(chan struct{}), upstream: upstream.NewClient(o.Protocol), balancer: balance.New(o.Name, rand.Uint32()), budgets: map[string]*retry.Window{}, queues: map[string]*ratelimit.Queue{}}
}

// SetFleet takes the backend servers that are there, sorted by ID.
func (r *Router) SetFleet(list []fleet.Server) {
	before := r.fleet
	r.fleet = list
	r.mu.Lock()
	r.balancer.SetFleet(list)
	r.mu.Unlock()
	r.endSuperseded(before, list)
	r.upstream.Forget(func(id string) bool { return !ready(list, id) })
	r.Refresh()
}

// Refresh closes connections that have been idle for too long, and lets calls in that wait
// for what they need; call it now and then, also while the servers stay the same.
func (r *Router) Refresh() {
	r.upstream.Sweep()
	if r.opt.Table() != nil {
		r.equip.Do(func() { close(r.equipped) })
	}
}

// ready reports whether a server is in a sorted list and ready.
func ready(list []fleet.Server, id string) bool {
	place, found := fleet.Find(list, id)
	return found && list[place].Phase == fleet.Ready
}

// endSuperseded ends the attempts at servers that have started again.
func (r *Router) endSuperseded(before, now []fleet.Server) {
	for _, s := range superseded(before, now) {
		r.opt.Quarantine.ReportReplaced(s.ID)
		ended := r.attempts.endAt(s.ID)
		log.WithFields(log.Fields{"step": "take fleet", "server": s.ID, "pool": s.Pool, "in_flight": ended}).Info("server has started again; what was believed of its former start ends")
	}
}

// SetTable takes a new declaration.
func (r *Router) SetTable(t *routing.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range t.Pools() {
		if p.Engine != nil {
			r.balancer.SetEngines(p.Name, p.Engine.KVTokens, t.LowestTier(p.Name))
		}
	}
}

// Close makes every answer ask its caller to close the connection, and refuses
// calls that might not be done at the given time.
func (r *Router) Close(cutOff time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = cutOff
}

// Beliefs lists what placement holds of each server.
func (r *Router) Beliefs() map[string][]balance.ServerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]balance.ServerState{}
	if t := r.opt.Table(); t != nil {
		for _, p := range t.Pools() {
			out[p.Name] = r.balancer.ServerStates(time.Now(), p.Name)
		}
	}
	return out
}

// InFlight returns the calls that have no final answer yet.
func (r *Router) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP serves one call of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	c := &call{router: r, w: w, req: req, arrived: time.Now()}
	if !r.closing().IsZero() {
		w.Header().Set("Connection", "close")
	}
	if c.accept() {
		c.serve()
	}
}

// closing returns when this instance ends what is in flight, zero while it
// stays.
func (r *Router) closing() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// accept reads the call and finds its route, customer and pool. It answers the
// call itself, and returns false, if it can't be passed on.
func (c *call) accept() bool {
	c.said = c.router.opt.Protocol.Call(c.req.Header)
	if !c.readBody(c.router.bodyLimit()) {
		return false
	}
	// The declaration is looked up after the body has come, which can take long.
	table := c.awaitTable()
	if table == nil {
		c.refuse(http.StatusServiceUnavailable, "no declaration yet", noDeclarationPause)
		return false
	}
	if int64(len(c.body)) > c.router.bodyLimit() {
		c.refuse(http.StatusRequestEntityTooLarge, "body is too large", 0)
		return false
	}
	c.version = table.Version()
	c.route = table.Route(hostOf(c.req), c.req.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, "no such route", 0)
		return false
	}
	if table.HasCustomers() && !c.route.Public {
		c.customer = table.Customer(c.said.Key)
		if c.customer == nil {
			c.refuse(http.StatusUnauthorized, "unknown key", 0)
			return false
		}
	}
	if cutOff := c.router.closing(); !cutOff.IsZero() && time.Now().Add(c.route.Timeout).After(cutOff) {
		c.refuse(http.StatusServiceUnavailable, "instance is shutting down", elsewherePause)
		return false
	}
	c.pool = table.Pool(c.route.Pick(rand.Float64()))
	return true
}

// elsewherePause is when a caller may come back whose call another instance can
// take at once.
const elsewherePause = 10 * time.Millisecond

// noDeclarationPause is when a caller of an instance that has just started may
// come back.
const noDeclarationPause = 300 * time.Millisecond

func hostOf(req *http.Request) string {
	host, _, found := strings.Cut(req.Host, ":")
	if found {
		return host
	}
	return req.Host
}

func (c *call) readBody(limit int64) bool {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "body is too large", 0)
		return false
	case err != nil:
		log.WithError(err).WithFields(log.Fields{"step": "read call", "call": c.said.ID}).Debug("caller broke off")
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// budget returns the pool's retry budget. Call with the lock held.
func (r *Router) budget(pool string) *retry.Window {
	w := r.budgets[pool]
	if w == nil {
		w = &retry.Window{Span: r.opt.Retry.Span, Ratio: r.opt.Retry.Ratio, Slack: r.opt.Retry.Slack}
		r.budgets[pool] = w
	}
	return w
}
