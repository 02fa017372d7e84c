// Package router serves callers on declared routes: it finds the route and the
// customer, places the call on a backend server, sends it and forwards the
// answer. Decisions are made in core packages; this one does the input and output.
//
// Each call gets exactly one final answer. Statuses that promise that a call has
// not run are used only when that is certain.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/reachability"
	core "cardamomwick.example/core/relay"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/core/warmup"
	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/relay"
	records "cardamomwick.example/daemon/resumption"
	"cardamomwick.example/daemon/telemetry"
	"cardamomwick.example/daemon/upstream"
)

// defaultMaxBody bounds a call's body, in bytes, where the declaration does not.
const defaultMaxBody = 4 << 20

// Options sets up a Router.
type Options struct {
	Protocol upstream.Protocol
	// Table returns the declaration in force, or nil before the first one.
	Table func() *routing.Table
	// Entries returns how many instances serve callers, this one included.
	Entries func() int
	// ShareHolders returns among how many instances bounds on all of them together are
	// divided, this one included; nil for those of Entries.
	ShareHolders func() int
	// Name is this instance's name.
	Name  string
	Retry RetryLimits
	// Metrics counts calls; nil selects a new set.
	Metrics *telemetry.Metrics
	// Usage counts the runs that servers begin; nil counts nothing.
	Usage Usage
	// Quarantine decides which requests are withheld from the servers; nil selects a
	// new one.
	Quarantine *quarantine.Manager
	// AnswerMemory is what the answers of servers may hold together; nil for no bound.
	AnswerMemory *membudget.Pool
	// Dial opens connections to servers; nil selects upstream.Dial.
	Dial upstream.Dialer
	// SlotOwners returns the names of the instances that place calls at servers, this one
	// included, as a list that is replaced when it changes; nil for a single instance.
	SlotOwners func() []string
	// TellRejection tells other instances, given by their names, that a brittle server has rejected
	// a call, and the room that this shows. It must not wait; nil for a single instance.
	TellRejection func(names []string, server string, room int)
	// Slots sends messages about loans of slots at brittle servers; nil for a single instance.
	Slots SlotMessages
	// Zone is this instance's availability zone.
	Zone string
	// Relays passes calls to peers while this instance can't reach the servers; nil for
	// a single instance. Peers returns the other instances that serve callers.
	Relays *relay.Client
	Peers  func() []core.Peer
	// Records shares with the other instances where streams began; nil for a single instance.
	Records StreamRecords
	// OnlySoftware returns the version that all servers of a pool have ever had; nil for none.
	OnlySoftware records.ReadSoftware
	// ListIsCurrent reports whether the list of servers has been current for
	// resumption.AnnounceTime, so that it holds all starts that serve; nil for always.
	ListIsCurrent func() bool
	// OnPartition is called with true when peers reach servers that this instance can't
	// reach, and with false once it reaches all pools again; nil for no call.
	OnPartition func(partitioned bool)
}

// StreamRecords holds where streams began.
type StreamRecords interface {
	// Record records where a stream begins. The returned function must be called when the
	// stream has ended here.
	Record(r resumption.Record) (ended func())
	// Find returns the record of a stream; ok is false if none was found.
	Find(ctx context.Context, k resumption.Key) (f records.Finding, ok bool)
}

// Usage counts the runs that servers begin.
type Usage interface {
	// Began counts a run for a customer, "" for none, that began some time ago.
	Began(customer string, ago time.Duration)
}

type noUsage struct{}

func (noUsage) Began(string, time.Duration) {}

// RetryLimits bound the retries per pool; see retry.Window.
type RetryLimits struct {
	Span         time.Duration
	Ratio, Slack float64
}

// Router is an http.Handler. Safe for concurrent use.
type Router struct {
	opt      Options
	upstream *upstream.Client
	inFlight atomic.Int64
	attempts attemptTracker
	paths    *pathMonitor

	// started is when this instance started. warmedUp is closed once it has a
	// declaration and a list of servers.
	started    time.Time
	warmedUp   chan struct{}
	warmUpOnce sync.Once

	// fleet is the list last passed to SetFleet, which only one goroutine calls.
	fleet []fleet.Server

	mu       sync.Mutex
	warmup   warmup.Limiter
	balancer *balance.Balancer
	budgets  map[string]*retry.Window
	queues   map[string]*ratelimit.Queue
	peers    *core.Chooser
	// peerVersion is the newest declaration that a peer has applied to a call of this
	// instance.
	peerVersion uint64
	// stopAt is when this instance aborts the calls in flight; zero unless it shuts down.
	stopAt time.Time
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
	if o.SlotOwners == nil {
		alone := []string{o.Name}
		o.SlotOwners = func() []string { return alone }
	}
	if o.ShareHolders == nil {
		o.ShareHolders = o.Entries
	}
	if o.ListIsCurrent == nil {
		o.ListIsCurrent = func() bool { return true }
	}
	if o.TellRejection == nil {
		o.TellRejection = func([]string, string, int) {}
	}
	if o.Slots == nil {
		o.Slots = noSlotMessages{}
	}
	if o.OnPartition == nil {
		o.OnPartition = func(bool) {}
	}
	r := &Router{opt: o, started: time.Now(), warmedUp: make(chan struct{}), balancer: balance.New(o.Name, rand.Uint32()),
		budgets: map[string]*retry.Window{}, queues: map[string]*ratelimit.Queue{}, peers: core.NewChooser(o.Zone)}
	r.upstream = upstream.NewClient(o.Protocol, o.Dial)
	r.upstream.OnDial(r.recordDial)
	r.upstream.BoundMemory(o.AnswerMemory)
	r.paths = &pathMonitor{count: r.countServers, servers: r.readyServers, open: r.openConnection, onPartition: o.OnPartition,
		onChange: r.upstream.ForgetIdleLimit, // connections were reset by the partition, not for their idle time
		pools:    map[string]*reachability.Detector{}, partitioned: map[string]bool{}}
	return r
}

// SetFleet sets the known backend servers, sorted by ID.
func (r *Router) SetFleet(list []fleet.Server) {
	before := r.fleet
	r.fleet = list
	r.mu.Lock()
	r.balancer.SetFleet(list)
	r.mu.Unlock()
	r.cancelSuperseded(before, list)
	r.upstream.CloseIdle(func(id string) bool { return !ready(list, id) })
	r.Refresh()
}

// Refresh closes expired idle connections and, once a declaration is in force, releases
// the calls that wait for it. Call it periodically, even if the servers don't change.
func (r *Router) Refresh() {
	r.upstream.CloseExpired()
	r.expirePeers()
	if r.opt.Table() != nil {
		r.warmUpOnce.Do(func() { close(r.warmedUp) })
	}
}

// ready reports whether the server is in the sorted list and in phase Ready.
func ready(list []fleet.Server, id string) bool {
	place, found := fleet.Find(list, id)
	return found && list[place].Phase == fleet.Ready
}

// cancelSuperseded cancels the attempts at servers that have restarted.
func (r *Router) cancelSuperseded(before, now []fleet.Server) {
	for _, s := range superseded(before, now) {
		r.opt.Quarantine.ReportReplaced(s.ID)
		cancelled := r.attempts.cancelAll(s.ID)
		log.WithFields(log.Fields{"step": "take fleet", "server": s.ID, "pool": s.Pool, "in_flight": cancelled}).Info("server has started again; the state of its previous start is discarded")
	}
}

// SetTable applies the engine settings of a new declaration to the balancer.
func (r *Router) SetTable(t *routing.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range t.Pools() {
		if p.Engine != nil {
			r.balancer.SetEngines(p.Name, p.Engine.KVTokens, t.LowestTier(p.Name))
		}
	}
}

// Drain makes every answer ask its caller to close the connection, and refuses new
// calls whose timeout ends after stopAt.
func (r *Router) Drain(stopAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopAt = stopAt
}

// drainPollInterval is the time between two looks at the calls in flight.
const drainPollInterval = 20 * time.Millisecond

// FinishCalls waits until no call is in flight, at the earliest at one time and at the latest at
// another. When it returns, all further calls are refused.
func (r *Router) FinishCalls(earliest, latest time.Time) {
	for time.Now().Before(latest) && (time.Now().Before(earliest) || r.InFlight() > 0) {
		time.Sleep(drainPollInterval)
	}
	r.Drain(time.Now())
	// A call that was accepted before is in flight by now.
	for time.Now().Before(latest) && r.InFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// ServerStates returns the balancer's state of each server, by pool.
func (r *Router) ServerStates() map[string][]balance.ServerState {
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

// InFlight returns the number of calls without a final answer.
func (r *Router) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP serves one call of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	c := &call{router: r, w: w, req: req, arrived: time.Now()}
	if !r.shutdownDeadline().IsZero() {
		w.Header().Set("Connection", "close")
	}
	if c.accept() {
		c.serve()
	}
}

// shutdownDeadline returns when this instance aborts the calls in flight, or zero if it
// is not shutting down.
func (r *Router) shutdownDeadline() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopAt
}

// accept reads the call and finds its route, customer and pool. If the call can't be
// served, it sends the final answer and returns false.
func (c *call) accept() bool {
	c.info = c.router.opt.Protocol.ParseCall(c.req.Header)
	c.resumes = c.info.LastEventID != ""
	if c.servedFor != nil {
		c.info.LastEventID = c.servedFor.lastEventID
	}
	// What is refused anyway is refused before its body is taken.
	before := c.router.warmTable()
	if before != nil && !(c.findRoute(before) && c.admitToMemory()) {
		return false
	}
	if !c.readBody() {
		return false
	}
	// The body may have taken long to arrive: the declaration that is in force now decides.
	table := c.awaitTable()
	if table == nil {
		if c.decline(core.Outdated) {
			return false
		}
		c.respondError(http.StatusServiceUnavailable, "no declaration yet", noDeclarationRetryAfter)
		return false
	}
	if int64(len(c.body)) > c.router.bodyLimit() {
		c.respondError(http.StatusRequestEntityTooLarge, "body is too large", 0)
		return false
	}
	if table != before && !(c.findRoute(table) && c.admitToMemory()) {
		return false
	}
	if stopAt := c.router.shutdownDeadline(); !stopAt.IsZero() && time.Now().Add(c.route.Timeout).After(stopAt) {
		if c.decline(core.Draining) {
			return false
		}
		c.respondError(http.StatusServiceUnavailable, "instance is shutting down", shutdownRetryAfter)
		return false
	}
	pool := c.route.Pick(rand.Float64())
	if c.servedFor != nil && c.route.HasTarget(c.servedFor.pool) {
		pool = c.servedFor.pool
	}
	c.pool = table.Pool(pool)
	return true
}

// findRoute finds the call's route and customer. If there are none, it sends the final answer and
// returns false.
func (c *call) findRoute(t *routing.Table) bool {
	c.table, c.customer = t, nil
	c.route = t.Route(hostOf(c.req), c.req.URL.EscapedPath())
	if c.route == nil {
		c.respondError(http.StatusNotFound, "no such route", 0)
		return false
	}
	if t.HasCustomers() && !c.route.Public {
		c.customer = t.Customer(c.info.Key)
		if c.customer == nil {
			c.respondError(http.StatusUnauthorized, "unknown key", 0)
			return false
		}
	}
	return true
}

// shutdownRetryAfter is short because another instance can take the call immediately.
const shutdownRetryAfter = 10 * time.Millisecond

// noDeclarationRetryAfter is sent by an instance that has no declaration yet.
const noDeclarationRetryAfter = 300 * time.Millisecond

func hostOf(req *http.Request) string {
	host, _, found := strings.Cut(req.Host, ":")
	if found {
		return host
	}
	return req.Host
}

// admitToMemory takes the memory for serving the call. If there is none, it sends the final answer and
// returns false.
func (c *call) admitToMemory() bool {
	var tenant string
	if c.customer != nil {
		tenant = c.customer.Name
	}
	if inbound.Admit(c.req, tenant) {
		return true
	}
	c.w.Header().Set("Connection", "close")
	c.respondError(http.StatusServiceUnavailable, "no memory for the call", inbound.RetryAfter)
	return false
}

// readBody reads the call's body within its deadline. If that fails, it sends the final answer and
// returns false.
func (c *call) readBody() bool {
	o := inbound.BodyOptions{Max: c.router.bodyLimit()}
	if c.route != nil {
		o.Deadline = c.latestEnd()
	}
	body, err := inbound.ReadBody(c.w, c.req, o)
	var refused *inbound.RefusedError
	switch {
	case errors.As(err, &refused):
		c.respondError(refused.Status, refused.Error(), refused.RetryAfter)
		return false
	case err != nil:
		log.WithError(err).WithFields(log.Fields{"step": "read call", "call": c.info.ID}).Debug("body could not be read")
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// budgetTime returns the time on the clock of the retry budgets.
func (r *Router) budgetTime() time.Duration { return time.Since(r.started) }

// budget returns the pool's retry budget. The caller must hold r.mu.
func (r *Router) budget(pool string) *retry.Window {
	w := r.budgets[pool]
	if w == nil {
		w = &retry.Window{Span: r.opt.Retry.Span, Ratio: r.opt.Retry.Ratio, Slack: r.opt.Retry.Slack}
		r.budgets[pool] = w
	}
	return w
}
