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
	return d
}
