package balance

import "time"

// Demand is what the calls for a pool of model engines ask of it, over all instances.
type Demand struct {
	// Short and Long are how many engines the calls of each side need, by what arrives,
	// runs and waits.
	Short, Long float64
	// Running are the calls that run or wait at engines.
	Running int
}

// Demand returns what the calls for a pool ask of it now.
func (b *Balancer) Demand(now time.Time, poolName string) Demand {
	p := b.pool(poolName)
	var d Demand
	d.Short, d.Long = b.needs(now, p, poolName)
	for _, s := range p.servers {
		d.Running += s.load().Running
	}
	return d
}
