package balance

import (
	"slices"
	"time"
)

// Limits of the learned pace.
const (
	// paceDown and paceUp are the weights of an observation below and above the
	// value held: short times are what the engine can do, longer ones come from
	// the prompts that it reads meanwhile.
	paceDown = 0.1
	paceUp   = 0.005
	// leastEvents is how many events a stream must have to tell the pace.
	leastEvents = 8
	// leastOfUsual bounds an observation against the pool's usual one: events that
	// were held up on the way arrive all at once.
	leastOfUsual = 0.5
	// usualWeight is the weight of an observation in the pool's usual one.
	usualWeight = 0.02
	// slowest bounds the slowness.
	slowest = 4.0
	// pacePeriod is how often slowness is computed anew.
	pacePeriod = 500 * time.Millisecond
	// slowFrom is the pace, against the pool's best, from which an engine is slow,
	// fastUpTo the one up to which it is so no more. Slow engines take long prompts
	// first: where they read prompts without a pause, their events come too late
	// for a chat.
	slowFrom = 1.18
	fastUpTo = 1.1
)

// pace is the time from one event of a stream to the next at one engine that
// reads few prompts meanwhile.
type pace struct {
	perEvent time.Duration
	streams  int
}

func (p *pace) observe(seen time.Duration) {
	p.streams++
	weight := paceUp
	if seen < p.perEvent || p.streams == 1 {
		weight = max(paceDown, 1/float64(p.streams))
	}
	p.perEvent += time.Duration(weight * float64(seen-p.perEvent))
}

// Streamed notes the times between the events of a stream that a server has
// sent. It sorts them.
func (b *Balancer) Streamed(id string, gaps []time.Duration) {
	s := b.servers[id]
	if s == nil || len(gaps) < leastEvents {
		return
	}
	slices.Sort(gaps)
	seen := gaps[len(gaps)/4]
	p := b.pool(s.Pool)
	if p.usual == 0 {
		p.usual = seen
	}
	p.usual += time.Duration(usualWeight * float64(seen-p.usual))
	s.pace.observe(max(seen, time.Duration(leastOfUsual*float64(p.usual))))
}

// perEvent is an engine's pace as all instances know it; zero when unknown.
func (b *Balancer) perEvent(s *server) time.Duration {
	sum, n := s.pace.perEvent, time.Duration(1)
	if sum == 0 {
		n = 0
	}
	for _, p := range b.peers {
		if x := p.paces[s.ID]; x > 0 {
			sum += time.Duration(x) * time.Microsecond
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// refreshPaces computes each engine's slowness once for many placements: its
// pace against the best of its pool, 1 when unknown.
func (b *Balancer) refreshPaces(now time.Time) {
	if now.Sub(b.pacedAt) < pacePeriod {
		return
	}
	b.pacedAt = now
	for _, p := range b.pools {
		b.comparePaces(p)
	}
}

func (b *Balancer) comparePaces(p *pool) {
	paces := make([]time.Duration, len(p.servers))
	var best time.Duration
	for i, s := range p.servers {
		paces[i] = b.perEvent(s)
		if paces[i] > 0 && (best == 0 || paces[i] < best) {
			best = paces[i]
		}
	}
	for i, s := range p.servers {
		s.slowness = 1
		if paces[i] > 0 {
			s.slowness = min(slowest, float64(paces[i])/float64(best))
		}
		switch {
		case s.slowness >= slowFrom:
			s.slow = true
		case s.slowness <= fastUpTo:
			s.slow = false
		}
	}
}
