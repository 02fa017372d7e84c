package balance

import (
	"time"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/collect"
)

// KnowsAll reports whether this instance's place in the tree of collectors makes it know
// the load of all others.
func (b *Balancer) KnowsAll() bool { return b.level == collect.LevelZone }

// Demand returns what the calls for a pool of model engines ask of it now, at all
// instances.
func (b *Balancer) Demand(now time.Time, poolName string) capacity.Demand {
	p := b.pool(poolName)
	d := capacity.Demand{Pool: poolName}
	d.Short, d.Long = b.needs(now, p, poolName)
	for _, s := range p.servers {
		d.Running += s.load().Running
	}
	d.RateLimited = b.withheld(now, p, poolName)
	return d
}

// withheld is how many of a pool's servers their request limits keep from work, by what
// each would get of the calls that come.
func (b *Balancer) withheld(now time.Time, p *pool, poolName string) float64 {
	calls := b.rates(now, p, poolName).Calls
	withheld, takeWork := 0.0, 0
	for _, s := range p.servers {
		if s.TakesWork() {
			takeWork++
		}
	}
	for _, s := range p.servers {
		if s.TakesWork() && s.limit.Limited && calls > 0 {
			withheld += max(0, 1-s.limit.PerSecond*float64(takeWork)/calls)
		}
	}
	return withheld
}
