// Package entry serves callers: it validates a call, waits for a slot, claims the
// idempotency key of a call that must not run twice, sends the call to a backend
// server and gives the caller exactly one final answer that states its outcome.
package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/dispatch"

	"github.com/apex/log"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/lease"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/scheduler"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/telemetry"
)

// Slots grants slots on backend servers. scheduler.Scheduler implements it.
type Slots interface {
	// Acquire waits for a slot. arrived is when the caller's request arrived.
	Acquire(ctx context.Context, pool string, t dispatch.Ticket, arrived, deadline time.Time) (scheduler.Slot, dispatch.Grant, error)
	// Load returns the numbers of waiting and running calls of this entry.
	Load() (waiting, running int)
}

// Options holds the dependencies and settings of an Entry.
type Options struct {
	Settings  *settings.Settings
	Holder    *lease.Holder
	Gossip    *gossip.Service
	Scheduler Slots
	Replicas  *replica.Client
	Metrics   *telemetry.Metrics
	// AnswerMemory is what the answers of servers may hold together while they are read.
	AnswerMemory *membudget.Pool
	// Quarantine decides which requests are withheld from the servers.
	Quarantine *quarantine.Manager
	// BroadcastAnnouncements forwards announcements to every instance, as the
	// baselines require.
	BroadcastAnnouncements bool
	// IgnoreTiers sends all calls to the engines with the same priority.
	IgnoreTiers bool
	// Owner identifies this process in call records.
	Owner string
}

// Entry handles callers' requests.
type Entry struct {
	settings    *settings.Settings
	holder      *lease.Holder
	gossip      *gossip.Service
	scheduler   Slots
	replicas    *replica.Client
	metrics     *telemetry.Metrics
	answers     *membudget.Pool
	quarantine  *quarantine.Manager
	owner       string
	broadcast   bool
	ignoreTiers bool

	// keys maps digests of bearer keys to customers. It is replaced with each
	// configuration.
	keys     atomic.Pointer[map[string]string]
	draining atomic.Bool
	// work tracks calls in flight, including those that no caller waits for.
	work     sync.WaitGroup
	inFlight atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns an entry that uses the holder's current configuration.
func New(o Options) *Entry {
	e := &Entry{settings: o.Settings, holder: o.Holder, gossip: o.Gossip, scheduler: o.Scheduler, replicas: o.Replicas,
		metrics: o.Metrics, answers: o.AnswerMemory, quarantine: o.Quarantine, owner: o.Owner, broadcast: o.BroadcastAnnouncements, ignoreTiers: o.IgnoreTiers, budgets: map[string]*retry.Budget{}}
	e.keys.Store(&map[string]string{})
	o.Holder.OnChange(e.indexKeys)
	return e
}

func (e *Entry) indexKeys(c state.Config) {
	keys := map[string]string{}
	if c.Bundle != nil {
		for name, customer := range c.Bundle.Customers {
			for _, d := range customer.Keys {
				keys[d] = name
			}
		}
	}
	e.keys.Store(&keys)
}

const bearerPrefix = "Bearer "

// customerOf returns the customer of the request's bearer key, looked up by its hash.
func (e *Entry) customerOf(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := (*e.keys.Load())[hex.EncodeToString(sum[:])]
	return name, ok
}

// Chat serves POST /v1/chat/completions.
func (e *Entry) Chat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, bundle.PoolModel) }

// Service serves /v1/services/{service}/....
func (e *Entry) Service(w http.ResponseWriter, r *http.Request) { e.serve(w, r, bundle.PoolService) }

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, kind bundle.PoolKind) {
	e.work.Add(1)
	e.inFlight.Add(1)
	defer e.work.Done()
	defer e.inFlight.Add(-1)
	c, err := e.parse(w, r, kind)
	out := newSink(w, c)
	if err == nil {
		err = e.checkServing(c)
	}
	var rep *reply
	if err != nil {
		rep = errorReply(err)
	} else {
		rep = e.execute(r.Context(), c, out)
	}
	out.finish(rep)
	e.recordCall(c, out, rep)
}

// checkServing refuses the call during a shutdown or without a fresh configuration.
func (e *Entry) checkServing(c *call) *callError {
	if e.draining.Load() {
		return notRun(http.StatusServiceUnavailable, api.ErrorEntryDraining, "this entry is shutting down; use another address").
			withRetryAfter(time.Second).withAddresses(e.otherAddresses(c.customer))
	}
	if !e.mayServe(c) {
		return notRun(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry is cut off from the replicas; use another address").
			withRetryAfter(time.Second).withAddresses(e.otherAddresses(c.customer))
	}
	return nil
}

// mayServe reports whether the configuration is fresh enough for the call.
func (e *Entry) mayServe(c *call) bool {
	if e.holder.Fresh() {
		return true
	}
	p := c.policy
	return p.Idempotent && p.WhenIsolated == bundle.IsolatedServe && e.holder.StaleFor() < p.IsolatedFor.D()
}

// mayDispatch is the last check before a call is sent: that the lease holds, and that the
// server has not been retired since the grant.
func (e *Entry) mayDispatch(c *call, server string) bool {
	_, retired := e.holder.Config().Retired[server]
	return !retired && e.mayServe(c)
}

// budget returns the pool's retry budget with e.mu held; the caller must call the
// returned function to unlock it.
func (e *Entry) budget(pool string) (*retry.Budget, func()) {
	e.mu.Lock()
	b := e.budgets[pool]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultReserve)
		e.budgets[pool] = b
	}
	return b, e.mu.Unlock
}

// recordCall logs and counts a finished call.
func (e *Entry) recordCall(c *call, out *sink, rep *reply) {
	total := time.Since(c.arrived)
	tokens, attempts := out.counts()
	e.metrics.Call(telemetry.Call{Class: c.class, Policy: c.policy, Outcome: rep.outcome, Refused: rep.err != nil,
		FirstToken: out.firstToken(rep), Total: total, Tokens: tokens})
	fields := log.Fields{"request_id": c.id, "class": c.class, "customer": c.customer, "pool": c.pool, "outcome": string(rep.outcome),
		"ms": total.Milliseconds(), "attempts": attempts}
	if rep.err != nil {
		fields["error"] = string(rep.err.Type)
		fields["reason"] = rep.err.Reason
		log.WithFields(fields).Info("call failed")
		return
	}
	log.WithFields(fields).Debug("call completed")
}

// Drain makes the entry answer new calls with not_run and other entries' addresses.
func (e *Entry) Drain() { e.draining.Store(true) }

// Wait blocks until every call in flight has ended, or the context has.
func (e *Entry) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of calls being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }
