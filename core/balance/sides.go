package balance

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Limits of the boundary.
const (
	// shortDuty and longDuty are the parts of an engine's time that may go into
	// reading prompts on each side. Short calls have targets of some hundred
	// milliseconds, so that little may queue; on the long side streams still have
	// to end within their time while prompts are read between their tokens.
	shortDuty = 0.45
	longDuty  = 0.7
	// shortSlots is the part of the slots that short calls may fill.
	shortSlots = 0.6
	// leastLong is the part of the engines that long prompts keep when there are
	// too few for all.
	leastLong = 0.2
	// startShare holds before anything has arrived.
	startShare = 0.5
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

func (s *sides) has(id string) bool { return slices.Contains(s.engines, id) }

func (s *sides) arrive(now time.Time, c Call, long bool) {
	if c.Tokens == 0 {
		return
	}
	if long {
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
	var long, others []*server
	for _, e := range p.servers {
		switch {
		case e.down(now):
		case slices.Contains(s.engines, e.ID):
			long = append(long, e)
		default:
			others = append(others, e)
		}
	}
	b.decideShare(now, p, poolName, len(long)+len(others))
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

// decideShare moves the boundary when one side needs more engines than it has.
// When there are too few for all, the short side comes first: its calls are
// worth most for an engine's time.
func (b *Balancer) decideShare(now time.Time, p *pool, poolName string, engines int) {
	s := &p.sides
	if s.share == 0 {
		s.share = startShare
	}
	short, long := b.needs(now, p, poolName)
	if short+long < leastNeed || engines == 0 {
		return
	}
	all := float64(engines)
	onLong := float64(longCount(s.share, engines))
	if short <= all-onLong && long <= onLong {
		return
	}
	s.share = long / (short + long)
	if short+long > all {
		s.share = max(leastLong, 1-short/all)
	}
}

// leastNeed is the need, in engines, from which the boundary is moved at all.
const leastNeed = 0.05

// needs returns how many engines each side needs for what arrives and runs.
func (b *Balancer) needs(now time.Time, p *pool, poolName string) (short, long float64) {
	shortRate, longRate := p.sides.short.rate(now), p.sides.long.rate(now)
	for _, x := range b.peers {
		if x.fresh(now) {
			shortRate += x.sides[poolName].Short
			longRate += x.sides[poolName].Long
		}
	}
	short = shortRate / (p.speed.value() * shortDuty)
	long = longRate / (p.speed.value() * longDuty)
	running, slots := 0, 0
	for _, e := range p.servers {
		slots = max(slots, e.Slots)
		if !p.sides.has(e.ID) {
			running += b.load(now, e).Running
		}
	}
	if slots > 0 {
		short = max(short, float64(running)/(shortSlots*float64(slots)))
	}
	return short, long
}
