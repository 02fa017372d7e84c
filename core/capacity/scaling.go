package capacity

import (
	"time"
)

// Scaling limits what may be ordered for a pool, as declared by operators.
type Scaling struct {
	// Min and Max bound the servers of both kinds together in each zone.
	Min int `msgpack:"l"`
	Max int `msgpack:"m"`
	// BootTime is the time from the order of a server until it accepts work.
	BootTime time.Duration `msgpack:"b"`
	// ReclaimablePrice is the price of a reclaimable server relative to a regular one;
	// zero if there are no reclaimable servers.
	ReclaimablePrice float64 `msgpack:"r"`
	// ZonePrices holds the price of a server in each zone.
	ZonePrices map[string]float64 `msgpack:"z"`
}

// Zone is the observed state of one availability zone.
type Zone struct {
	Name string
	// Regular and Reclaimable are the numbers of servers that take work.
	Regular, Reclaimable int
	// RegularLeaving and ReclaimableLeaving are the numbers of servers that have
	// announced their departure.
	RegularLeaving, ReclaimableLeaving int
}

// ready returns how many servers take work.
func (z *Zone) ready() int { return z.Regular + z.Reclaimable }

// Input is the information a plan is based on.
type Input struct {
	Pool    string
	Scaling Scaling
	// Zones lists the zones in which the pool has servers or may have them.
	Zones []Zone
	// Need is the number of servers that the calls need, negative while unknown.
	Need float64
}

func compareZones(s *Scaling, a, b string) int {
	pa, pb := s.price(a), s.price(b)
	switch {
	case pa < pb, pa == pb && a < b:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Price returns the cost of the servers of a zone, in regular servers of a zone with
// price 1.
func (s *Scaling) Price(z Zone) float64 {
	return s.price(z.Name) * (float64(z.Regular) + s.ReclaimablePrice*float64(z.Reclaimable))
}

func (s *Scaling) price(zone string) float64 {
	if x, ok := s.ZonePrices[zone]; ok {
		return x
	}
	return 1
}
