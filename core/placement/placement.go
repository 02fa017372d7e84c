// Package placement plans rolling updates of engines to the model version and adapters in
// the bundle. It updates one engine of a pool at a time, so that the pool keeps serving.
// An order instructs an engine to load a version and its adapters.
//
// The package performs no I/O: the daemon holds the lease and records and sends the
// orders.
package placement

import (
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

// OrderTimeout is how long an engine may take to load before the next order in its pool
// is issued.
const OrderTimeout = 2 * time.Minute

// Engine is the state of one announced engine.
type Engine struct {
	ID       string
	Pool     string
	Version  string
	Adapters []string
	Usable   bool
	Retired  bool
}

// Planner issues engine orders and tracks the pending ones. Not safe for concurrent use.
type Planner struct {
	// pending maps pools to the order that is being executed.
	pending map[string]pendingOrder
}

type pendingOrder struct {
	server string
	since  time.Time
}

// NewPlanner returns a planner without pending orders, for a new lease holder.
func NewPlanner() *Planner { return &Planner{pending: map[string]pendingOrder{}} }

// Next returns the orders to send now, at most one per pool, sorted by pool.
func (p *Planner) Next(now time.Time, b *bundle.Bundle, engines []Engine) []state.EngineOrder {
	byPool := map[string][]Engine{}
	for _, e := range engines {
		if !e.Retired {
			byPool[e.Pool] = append(byPool[e.Pool], e)
		}
	}
	var out []state.EngineOrder
	for name, pool := range b.Pools {
		if pool.EngineVersion == "" || p.hasPendingOrder(now, name, pool, byPool[name]) {
			continue
		}
		if e, ok := firstOutdated(pool, byPool[name]); ok {
			out = append(out, state.EngineOrder{Server: e.ID, Pool: name, Version: pool.EngineVersion, Adapters: pool.Adapters})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// OrderSent records that an order was sent.
func (p *Planner) OrderSent(now time.Time, o *state.EngineOrder) {
	p.pending[o.Pool] = pendingOrder{o.Server, now}
}

// hasPendingOrder reports whether an order of a pool is still being executed.
func (p *Planner) hasPendingOrder(now time.Time, name string, pool bundle.Pool, engines []Engine) bool {
	o, ok := p.pending[name]
	if !ok {
		return false
	}
	for _, e := range engines {
		if e.ID == o.server && upToDate(pool, e) {
			delete(p.pending, name)
			return false
		}
	}
	if now.Sub(o.since) > OrderTimeout {
		delete(p.pending, name)
		return false
	}
	return true
}

func upToDate(pool bundle.Pool, e Engine) bool {
	return e.Version == pool.EngineVersion && slices.Equal(e.Adapters, pool.Adapters)
}

// firstOutdated returns the first usable engine, by ID, with another version or other
// adapters loaded.
func firstOutdated(pool bundle.Pool, engines []Engine) (Engine, bool) {
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	for _, e := range engines {
		if e.Usable && !upToDate(pool, e) {
			return e, true
		}
	}
	return Engine{}, false
}
