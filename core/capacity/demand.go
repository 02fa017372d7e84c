package capacity

import "time"

// Demand is the server capacity that the calls for a pool need, as seen by one entry.
type Demand struct {
	Pool string `msgpack:"p"`
	// Short and Long are the numbers of servers needed for short calls and for long
	// prompts, computed from arriving, running and waiting calls.
	Short float64 `msgpack:"s"`
	Long  float64 `msgpack:"l"`
	// Running is the number of calls that run or wait at servers.
	Running int `msgpack:"r"`
	// RateLimited is the capacity lost to the request limits of servers, in server
	// equivalents: two servers limited to half of the load of others count as one.
	RateLimited float64 `msgpack:"w,omitempty"`
}

// Servers returns the total number of servers needed.
func (d *Demand) Servers() float64 { return d.Short + d.Long + d.RateLimited }

// demandTTL is how long a reported demand is valid: two report intervals.
const demandTTL = 2500 * time.Millisecond

// Demands holds the latest reported demand of each pool. The zero value is empty; not
// safe for concurrent use.
type Demands struct {
	list map[string]datedDemand
}

type datedDemand struct {
	Demand
	at time.Time
}

// Update stores the demands reported by an entry.
func (d *Demands) Update(now time.Time, list []Demand) {
	if d.list == nil {
		d.list = map[string]datedDemand{}
	}
	for _, x := range list {
		d.list[x.Pool] = datedDemand{x, now}
	}
}

// Fresh returns the demands that are still valid and drops the others.
func (d *Demands) Fresh(now time.Time) []Demand {
	var out []Demand
	for pool, x := range d.list {
		if now.Sub(x.at) > demandTTL {
			delete(d.list, pool)
			continue
		}
		out = append(out, x.Demand)
	}
	return out
}
