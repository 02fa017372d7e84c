package capacity

import (
	"time"
)

// Scaling is what may be ordered for a pool, as operators declare it.
type Scaling struct {
	// Least and Most bound the servers of both kinds together in each zone.
	Least int `msgpack:"l"`
	Most  int `msgpack:"m"`
	// Boot is how long a new server takes before it serves.
	Boot time.Duration `msgpack:"b"`
	// ReclaimablePrice is the price of a reclaimable server against a regular one; zero
	// where there are none.
	ReclaimablePrice float64 `msgpack:"r"`
	// ZonePrices are the prices of a server in each zone.
	ZonePrices map[string]float64 `msgpack:"z"`
}

// Zone is what is seen in one availability zone.
type Zone struct {
	Name string
	// Regular and Reclaimable are the servers that take work.
	Regular, Reclaimable int
	// RegularLeaving and ReclaimableLeaving are the servers that say they leave.
	RegularLeaving, ReclaimableLeaving int
}

// ready is how many servers take work.
func (z *Zone) ready() int { return z.Regular + z.Reclaimable }

// Input is what a plan is made from.
type Input struct {
	Pool    string
	Scaling Scaling
	// Zones are those where the pool has servers or may have them.
	Zones []Zone
	// Need is how many servers the calls need, negative while unknown.
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

// Price is what the servers of a zone cost, in regular servers of a zone with price 1.
func (s *Scaling) Price(z Zone) float64 {
	return s.price(z.Name) * (float64(z.Regular) + s.ReclaimablePrice*float64(z.Reclaimable))
}

func (s *Scaling) price(zone string) float64 {
	if x, ok := s.ZonePrices[zone]; ok {
		return x
	}
	return 1
}
