package balance

import (
	"math"
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/counts"
)

// Limits of the boundary.
const (
	// leastLong is the part of the engines that long prompts keep when there are
	// too few for all.
	leastLong = 0.2
	// startShare holds before anything has arrived.
	startShare = 0.5
	// targetWeight is the weight of one long prompt in their usual target.
	targetWeight = 1.0 / 16
)

// sides parts a pool's engines into those for long prompts and the others.
type sides struct {
	long, short meter
	// longTarget is the usual target of long prompts.
	longTarget time.Duration
	share      float64
	// engines are the IDs on the long side, sorted.
	engines []string
	// marked are the engines that were last noted as such.
	marked []string
	// since is when this instance first asked for the boundary; taken: it has had
	// one from others.
	since time.Time
	taken bool
	// movedAt is when the boundary last moved.
	movedAt time.Time
	// moved is the last move of the boundary that was not asked for yet.
	moved *Move
	// swappedAt is when engines last changed sides for their pace.
	swappedAt time.Time
}

func (s *sides) arrive(now time.Time, c Call, long bool, unread float64) {
	if c.Tokens == 0 {
		return
	}
	if long {
		s.long.add(now, unread)
		s.longTarget = smooth(s.longTarget, c.target(), targetWeight)
		return
	}
	s.short.add(now, unread)
}

// longSide returns the engines for long prompts. One instance decides for all,
// so that an engine is on the same side for everyone.
func (b *Balancer) longSide(now time.Time, poolName string) []string {
	p := b.pool(poolName)
	if p.sides.since.IsZero() {
		p.sides.since = now
	}
	if decider := b.decider(now); decider == nil {
		p.markLong()
		b.decide(now, p, poolName)
	} else if x, ok := decider.boundaries[poolName]; ok {
		p.sides.take(x)
	}
	p.markLong()
	return p.sides.engines
}

// settleTime is how long an instance that has just started keeps its boundaries to
// itself, unless it hears of others: it may be the one that decides, and its usual
// beginning would move every second engine. The others notice a new instance, and
// tell it theirs, within a second.
const settleTime = 1500 * time.Millisecond

// settled reports whether others may go by this instance's boundary.
func (s *sides) settled(now time.Time) bool {
	return s.taken || !s.since.IsZero() && now.Sub(s.since) >= settleTime
}

func (s *sides) take(x counts.Boundary) {
	s.share, s.engines, s.taken = x.Share, x.Engines, true
}

// decider returns the peer whose boundaries hold, nil for this instance: a
// member goes by its collector's answer, a collector by the one with the first
// name.
func (b *Balancer) decider(now time.Time) *peer {
	var found *peer
	first := b.name
	for name, p := range b.peers {
		switch {
		case p.member() || !p.fresh(now):
		case p.kind == counts.MemberReply && len(p.boundaries) > 0:
			return p
		case p.decides && name < first:
			found, first = p, name
		}
	}
	return found
}

// markLong notes at each engine which side it is on.
func (p *pool) markLong() {
	if slices.Equal(p.sides.marked, p.sides.engines) {
		return
	}
	p.sides.marked = p.sides.engines
	long := make(map[string]bool, len(p.sides.engines))
	for _, id := range p.sides.engines {
		long[id] = true
	}
	for _, e := range p.servers {
		e.long = long[e.ID]
	}
}

// decide moves the boundary where the arriving work asks for it. Engines stay
// on their sides otherwise, since each move costs the shared parts they hold.
func (b *Balancer) decide(now time.Time, p *pool, poolName string) {
	s := &p.sides
	var long, others []*server
	for _, e := range p.servers {
		switch {
		case e.down(now):
		case e.long:
			long = append(long, e)
		default:
			others = append(others, e)
		}
	}
	if len(long)+len(others) == 0 {
		return
	}
	b.decideShare(now, p, poolName, len(long)+len(others))
	want := longCount(s.share, len(long)+len(others))
	keepLast(long)
	moveFirst(others)
	for len(long) < want {
		long = append(long, others[0])
		others = others[1:]
	}
	long, others = long[:want], append(others, long[want:]...)
	if now.Sub(s.swappedAt) >= swapPeriod && swapMisplaced(long, others) {
		s.swappedAt = now
	}
	s.engines = make([]string, 0, len(long))
	for _, e := range long {
		s.engines = append(s.engines, e.ID)
	}
	// In one order whatever their load: an unchanged side is told only once.
	slices.Sort(s.engines)
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

// moveFirst sorts the engines that should go to the long side first to the
// front: slow ones, then those with the fewest streams that long prompts would
// make late.
func moveFirst(others []*server) {
	sort.SliceStable(others, func(i, j int) bool {
		if others[i].slow != others[j].slow {
			return others[i].slow
		}
		return others[i].load().LatencySensitive < others[j].load().LatencySensitive
	})
}

// keepLast sorts the engines that should leave the long side first to the back:
// fast ones, of these the ones with the least to read, since a chat that comes
// there waits for it.
func keepLast(long []*server) {
	sort.SliceStable(long, func(i, j int) bool {
		if long[i].slow != long[j].slow {
			return long[i].slow
		}
		return long[i].load().PendingPromptTokens > long[j].load().PendingPromptTokens
	})
}

func longCount(share float64, n int) int {
	if n < 2 {
		return 0
	}
	return max(1, min(n-1, int(math.Round(share*float64(n)))))
}

// Move is a move of a pool's boundary, with what decided it.
type Move struct {
	Pool string
	// From and To are the parts of the engines that long prompts get.
	From, To float64
	// Engines were usable; Short and Long are how many each side needed.
	Engines     int
	Short, Long float64
	// TokensPerSecond is the speed at which an engine reads.
	TokensPerSecond float64
}

// Moves returns the moves of boundaries since the last call.
func (b *Balancer) Moves() []Move {
	var out []Move
	for _, p := range b.pools {
		if p.sides.moved != nil {
			out = append(out, *p.sides.moved)
			p.sides.moved = nil
		}
	}
	return out
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
	if short+long < leastNeed {
		return
	}
	all := float64(engines)
	onLong := float64(longCount(s.share, engines))
	if short <= all-onLong && long <= onLong {
		return
	}
	from := s.share
	to := long / (short + long)
	if short+long > all {
		to = max(leastLong, 1-short/all)
	}
	if math.Abs(to-from) < leastMove && now.Sub(s.movedAt) < movePeriod && short < all-onLong+1 {
		return
	}
	s.share, s.movedAt = to, now
	s.moved = &Move{Pool: poolName, From: from, To: s.share, Engines: engines, Short: short, Long: long, TokensPerSecond: p.speed.value()}
}

// leastMove is the part of the engines from which the boundary moves at once;
// smaller moves wait for movePeriod after the last one, unless the short side,
// whose calls rank higher, lacks an engine. While there are too few
// engines for all, needs change with every call, and each engine that changes
// sides takes the shared parts of its prompts away from those that come.
const (
	leastMove  = 0.1
	movePeriod = 2 * time.Second
)

// leastNeed is the need, in engines, from which the boundary is moved at all.
const leastNeed = 0.05
