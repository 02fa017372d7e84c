package balance

import (
	"math"
	"time"
)

// Limits of the boundary.
const (
	// shortWeight gives the short side more room than its tokens ask for, since
	// its calls have targets of some hundred milliseconds.
	shortWeight = 1.5
	// shareStep is how far the wanted share must be from the one in force before
	// the boundary moves. Each move takes engines away from the shared parts that
	// they hold, so that noise in the arrivals must not move it.
	shareStep = 0.1
	// startShare holds before anything has arrived.
	startShare = 0.5
)

// sides parts a pool's engines into those for long prompts and the others.
type sides struct {
	long, short meter
	share       float64
}

func (s *sides) arrive(now time.Time, c Call) {
	if c.Tokens == 0 {
		return
	}
	if c.long() {
		s.long.add(now, c.unread())
		return
	}
	s.short.add(now, c.unread())
}

// longEngines returns how many of n engines take long prompts.
func (b *Balancer) longEngines(now time.Time, poolName string, n int) int {
	if n < 2 {
		return n
	}
	k := int(math.Round(b.longShare(now, poolName) * float64(n)))
	return max(1, min(n-1, k))
}

// part returns the first k engines for long prompts, the rest for others.
func part(list []*server, k int, long bool) []*server {
	if len(list) < 2 {
		return list
	}
	if long {
		return list[:k]
	}
	return list[k:]
}

// longShare is the part of the engines for long prompts. One instance decides
// for all, the one with the first name, so that an engine is on the same side
// for everyone.
func (b *Balancer) longShare(now time.Time, poolName string) float64 {
	first, share := b.name, 0.0
	for name, p := range b.peers {
		if side, ok := p.sides[poolName]; ok && p.fresh(now) && name < first {
			first, share = name, side.Share
		}
	}
	if first != b.name {
		b.pool(poolName).sides.share = share
		return share
	}
	return b.decideShare(now, poolName)
}

func (b *Balancer) decideShare(now time.Time, poolName string) float64 {
	s := &b.pool(poolName).sides
	if s.share == 0 {
		s.share = startShare
	}
	long, short := s.long.rate(now), s.short.rate(now)
	for _, p := range b.peers {
		if p.fresh(now) {
			long += p.sides[poolName].Long
			short += p.sides[poolName].Short
		}
	}
	if long+short < 1 {
		return s.share
	}
	if want := long / (long + shortWeight*short); math.Abs(want-s.share) >= shareStep {
		s.share = want
	}
	return s.share
}
