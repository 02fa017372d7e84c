package balance

import (
	"math"
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/fleet"
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
	// slowFrom is the pace, against the pool's best, from which an engine is slow,
	// fastUpTo the one up to which it is so no more. Slow engines take long prompts
	// first: where they read prompts without a pause, their events come too late
	// for a chat.
	slowFrom = 1.18
	fastUpTo = 1.1
)

// sides parts a pool's engines into those for long prompts and the others.
type sides struct {
	long, short meter
	share       float64
	// engines are the IDs on the long side.
	engines []string
	// swappedAt is when engines last changed sides for their pace.
	swappedAt time.Time
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

// longSide returns the engines for long prompts. One instance decides for all,
// the one with the first name, so that an engine is on the same side for
// everyone.
func (b *Balancer) longSide(now time.Time, poolName string) []string {
	p := b.pool(poolName)
	first := b.name
	for name, x := range b.peers {
		if side, ok := x.sides[poolName]; ok && x.fresh(now) && name < first {
			first = name
			p.sides.share, p.sides.engines = side.Share, side.Engines
		}
	}
	if first == b.name {
		b.decide(now, p, poolName)
	}
	return p.sides.engines
}

// decide moves the boundary where the arriving work asks for it. Engines stay
// on their sides otherwise, since each move costs the shared parts they hold.
func (b *Balancer) decide(now time.Time, p *pool, poolName string) {
	s := &p.sides
	b.decideShare(now, s, poolName)
	var long, others []*server
	for _, e := range p.servers {
		switch {
		case e.Phase != fleet.Ready:
		case slices.Contains(s.engines, e.ID):
			long = append(long, e)
		default:
			others = append(others, e)
		}
	}
	want := longCount(s.share, len(long)+len(others))
	bySlowness(long)
	bySlowness(others)
	for len(long) < want {
		long = append(long, others[0])
		others = others[1:]
	}
	long, others = long[:want], append(others, long[want:]...)
	if now.Sub(s.swappedAt) >= swapPeriod && swapMisplaced(long, others) {
		s.swappedAt = now
	}
	s.engines = s.engines[:0:0]
	for _, e := range long {
		s.engines = append(s.engines, e.ID)
	}
}

// swapPeriod bounds how often two engines change sides for their pace alone.
const swapPeriod = 3 * time.Second

// swapMisplaced exchanges a fast engine on the long side for a slow one among
// the others, if there are such.
func swapMisplaced(long, others []*server) bool {
	fast := slices.IndexFunc(long, func(e *server) bool { return !e.slow })
	slow := slices.IndexFunc(others, func(e *server) bool { return e.slow })
	if fast < 0 || slow < 0 {
		return false
	}
	long[fast], others[slow] = others[slow], long[fast]
	return true
}

// bySlowness sorts slow engines first, in the pool's order otherwise.
func bySlowness(list []*server) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].slow && !list[j].slow })
}

func longCount(share float64, n int) int {
	if n < 2 {
		return 0
	}
	return max(1, min(n-1, int(math.Round(share*float64(n)))))
}

func (b *Balancer) decideShare(now time.Time, s *sides, poolName string) {
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
		return
	}
	if want := long / (long + shortWeight*short); math.Abs(want-s.share) >= shareStep {
		s.share = want
	}
}
