package balance

import (
	"time"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/collect"
)

// SeesAllLoad reports whether this instance's level in the tree of collectors gives it
// the load of all other instances.
func (b *Balancer) SeesAllLoad() bool { return b.level == collect.LevelZone }

// Demand returns the current demand on a pool of model engines over all instances.
func (b *Balancer) Demand(now time.Time, poolName string) capacity.Demand {
	p := b.pool(poolName)
	d := capacity.Demand{Pool: poolName}
	d.Short, d.Long = b.needs(now, p, poolName)
	for _, s := range p.servers {
		d.Running += s.load().Running
	}
	d.RateLimited = b.rateLimited(now, p, poolName)
	return d
}

// rateLimited returns how many servers' worth of capacity the request limits make
// unavailable, assuming that the calls are spread evenly.
func (b *Balancer) rateLimited(now time.Time, p *pool, poolName string) float64 {
	calls := b.rates(now, p, poolName).CallsPerSecond
	rateLimited, takeWork := 0.0, 0
	for _, s := range p.servers {
		if s.AcceptsWork() {
			takeWork++
		}
	}
	for _, s := range p.servers {
		if s.AcceptsWork() && s.limit.Limited && calls > 0 {
			rateLimited += max(0, 1-s.limit.PerSecond*float64(takeWork)/calls)
		}
	}
	return rateLimited
}
