// Package placement decides which engine is to load what next, so that pools
// come to the version that the bundle names while they go on serving: one
// engine of a pool at a time. It is pure; the daemon holds the lease, records
// the orders and sends them.
package placement

import (
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

// OrderTimeout is how long an engine may take to load before another order is
// given in its pool.
const OrderTimeout = 2 * time.Minute

// Engine is one announced engine.
type Engine struct {
	ID       string
	Pool     string
	Version  string
	Adapters []string
	Usable   bool
	Retired  bool
}

// Planner remembers what it has ordered. Not safe for concurrent use.
type Planner struct {
	// open maps pools to the order that is being carried out.
	open map[string]openOrder
}

type openOrder struct {
	server string
	since  time.Time
}

// NewPlanner returns a planner without open orders, as a new leaseholder needs
// it.
func NewPlanner() *Planner { return &Planner{open: map[string]openOrder{}} }

// Next returns the orders to give now, at most one per pool, sorted by pool.
func (p *Planner) Next(now time.Time, b *bundle.Bundle, engines []Engine) []state.EngineOrder {
	byPool := map[string][]Engine{}
	for _, e := range engines {
		if !e.Retired {
			byPool[e.Pool] = append(byPool[e.Pool], e)
		}
	}
	var out []state.EngineOrder
	for name, pool := range b.Pools {
		if pool.EngineVersion == "" || p.busy(now, name, pool, byPool[name]) {
			continue
		}
		if e, ok := firstWrong(pool, byPool[name]); ok {
			out = append(out, state.EngineOrder{Server: e.ID, Pool: name, Version: pool.EngineVersion, Adapters: pool.Adapters})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// OrderSent notes that an order was sent.
func (p *Planner) OrderSent(now time.Time, o *state.EngineOrder) {
	p.open[o.Pool] = openOrder{o.Server, now}
}

// busy reports whether an order of a pool is still being carried out.
func (p *Planner) busy(now time.Time, name string, pool bundle.Pool, engines []Engine) bool {
	o, ok := p.open[name]
	if !ok {
		return false
	}
	for _, e := range engines {
		if e.ID == o.server && right(pool, e) {
			delete(p.open, name)
			return false
		}
	}
	if now.Sub(o.since) > OrderTimeout {
		delete(p.open, name)
		return false
	}
	return true
}

func right(pool bundle.Pool, e Engine) bool {
	return e.Version == pool.EngineVersion && slices.Equal(e.Adapters, pool.Adapters)
}

// firstWrong returns the first usable engine, by ID, that has something else
// loaded.
func firstWrong(pool bundle.Pool, engines []Engine) (Engine, bool) {
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	for _, e := range engines {
		if e.Usable && !right(pool, e) {
			return e, true
		}
	}
	return Engine{}, false
}
