package balance

import (
	"slices"
	"time"
)

// Weights of the learned pace.
const (
	// paceDown and paceUp are the weights of an observation below and above the
	// value held: the short times between events are what the engine can do, all
	// longer ones have other reasons.
	paceDown = 0.4
	paceUp   = 0.02
	// leastEvents is how many events a stream must have to tell the pace.
	leastEvents = 8
)

// pace is the usual short time between two events of a stream at one engine.
type pace struct{ least time.Duration }

func (p *pace) observe(gaps []time.Duration) {
	if len(gaps) < leastEvents {
		return
	}
	slices.Sort(gaps)
	// The lower quartile: single gaps are shortened by the network.
	short := gaps[len(gaps)/4]
	if p.least == 0 {
		p.least = short
		return
	}
	weight := paceUp
	if short < p.least {
		weight = paceDown
	}
	p.least += time.Duration(weight * float64(short-p.least))
}

// Streamed notes the times between the events of a stream that a server has
// sent. It sorts gaps.
func (b *Balancer) Streamed(id string, gaps []time.Duration) {
	if s := b.servers[id]; s != nil {
		s.pace.observe(gaps)
	}
}

// leastGap is an engine's pace as known to any instance; zero when unknown.
func (b *Balancer) leastGap(s *server) time.Duration {
	least := s.pace.least
	for _, p := range b.peers {
		if x := time.Duration(p.paces[s.ID]) * time.Microsecond; x > 0 && (least == 0 || x < least) {
			least = x
		}
	}
	return least
}

// slowness is an engine's time per event against the best of its pool; 1 when
// unknown.
func (b *Balancer) slowness(s *server) float64 {
	own := b.leastGap(s)
	if own == 0 {
		return 1
	}
	best := own
	for _, other := range b.pool(s.Pool).servers {
		if x := b.leastGap(other); x > 0 && x < best {
			best = x
		}
	}
	return float64(own) / float64(best)
}

// refreshPaces computes each engine's slowness once for many placements.
func (b *Balancer) refreshPaces(now time.Time) {
	if now.Sub(b.pacedAt) < pacePeriod {
		return
	}
	b.pacedAt = now
	for _, s := range b.servers {
		s.slowness = b.slowness(s)
		switch {
		case s.slowness >= slowFrom:
			s.slow = true
		case s.slowness <= fastUpTo:
			s.slow = false
		}
	}
}

// pacePeriod is how often slowness is computed anew.
const pacePeriod = 500 * time.Millisecond
