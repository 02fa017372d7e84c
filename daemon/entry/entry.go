// Package entry serves callers: it checks a call, waits for a slot, makes sure
// of what must not happen twice, sends the call to a backend server and gives
// the caller exactly one final answer that names its outcome.
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

// Slots gives places on backend servers; scheduler.Scheduler does.
type Slots interface {
	// Acquire waits for a place. arrived is when the caller's request came.
	Acquire(ctx context.Context, pool string, t dispatch.Ticket, arrived, deadline time.Time) (scheduler.Slot, dispatch.Grant, error)
	// Load returns the waiting and running calls of this entry.
	Load() (waiting, running int)
}

// Options are the parts that an Entry works with.
type Options struct {
	Settings  *settings.Settings
	Holder    *lease.Holder
	Gossip    *gossip.Service
	Scheduler Slots
	Replicas  *replica.Client
	Metrics   *telemetry.Metrics
	// Quarantine says which requests are kept from the servers.
	Quarantine *quarantine.Manager
	// SpreadAnnouncements passes announcements to every instance, as the
	// baselines need it.
	SpreadAnnouncements bool
	// IgnoreTiers gives all calls the same priority at the engines.
	IgnoreTiers bool
	// Owner names this instance process in call records.
	Owner string
}

// Entry handles callers' requests.
type Entry struct {
	settings  *settings.Settings
	holder    *lease.Holder
	gossip    *gossip.Service
	scheduler Slots
	replicas  *replica.Client
	metrics   *telemetry.Metrics
	keeper    *quarantine.Manager
	owner     string
	spreadAll bool
	flatTiers bool

	// keys maps digests of bearer keys to customers; replaced with each
	// configuration.
	keys     atomic.Pointer[map[string]string]
	refusing atomic.Bool
	// work counts calls in flight, those without a waiting caller included.
	work     sync.WaitGroup
	inFlight atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns an entry that follows the holder's configuration.
func New(o Options) *Entry {
	e := &Entry{settings: o.Settings, holder: o.Holder, gossip: o.Gossip, scheduler: o.Scheduler, replicas: o.Replicas,
		metrics: o.Metrics, keeper: o.Quarantine, owner: o.Owner, spreadAll: o.SpreadAnnouncements, flatTiers: o.IgnoreTiers, budgets: map[string]*retry.Budget{}}
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

// customerOf finds the customer of a bearer key, which is kept hashed.
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
	c, err := e.parse(r, kind)
	out := newSink(w, c)
	if err == nil {
		err = e.admit(c)
	}
	var rep *reply
	if err != nil {
		rep = failed(err)
	} else {
		rep = e.execute(r.Context(), c, out)
	}
	out.finish(rep)
	e.note(c, out, rep)
}

// admit refuses calls while shutting down or without a fresh configuration.
func (e *Entry) admit(c *call) *callError {
	if e.refusing.Load() {
		return notRun(http.StatusServiceUnavailable, api.ErrorEntryDraining, "this entry is shutting down; use another address").
			after(time.Second).elsewhere(e.otherAddresses(c.customer))
	}
	if !e.mayServe(c) {
		return notRun(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry is cut off from the replicas; use another address").
			after(time.Second).elsewhere(e.otherAddresses(c.customer))
	}
	return nil
}

// mayServe reports whether the configuration may be acted on for a call.
func (e *Entry) mayServe(c *call) bool {
	if e.holder.Fresh() {
		return true
	}
	p := c.policy
	return p.Idempotent && p.WhenIsolated == bundle.IsolatedServe && e.holder.StaleFor() < p.IsolatedFor.D()
}

// mayDispatch is the last check before the wire: the lease, and whether the
// server was retired since the grant was made.
func (e *Entry) mayDispatch(c *call, server string) bool {
	_, retired := e.holder.Config().Retired[server]
	return !retired && e.mayServe(c)
}

func (e *Entry) budget(pool string) (*retry.Budget, func()) {
	e.mu.Lock()
	b := e.budgets[pool]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultReserve)
		e.budgets[pool] = b
	}
	return b, e.mu.Unlock
}

// note logs and counts a finished call.
func (e *Entry) note(c *call, out *sink, rep *reply) {
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

// Refuse makes new calls answered not_run with other addresses.
func (e *Entry) Refuse() { e.refusing.Store(true) }

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
