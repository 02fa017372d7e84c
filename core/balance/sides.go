package balance

import (
	"math"
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/counts"
)

// Boundary parameters.
const (
	// minLongShare is the fraction of the engines that the long side keeps when there
	// are too few for both sides.
	minLongShare = 0.2
	// initialLongShare is the long side's share before any calls have arrived.
	initialLongShare = 0.5
	// targetWeight is the weight of one long prompt in their average target.
	targetWeight = 1.0 / 16
)

// sides partitions a pool's engines into a long side, for long prompts, and a short
// side, for all other calls. The boundary is the current partition.
type sides struct {
	long, short meter
	// meanLongTarget is the moving average of the long prompts' targets.
	meanLongTarget time.Duration
	// share is the fraction of the engines on the long side. A move of the boundary
	// changes it.
	share float64
	// engines are the IDs of the engines on the long side, sorted.
	engines []string
	// applied is the value of engines that was last applied to the servers.
	applied []string
	// createdAt is when this instance first computed the boundary. adopted is set once
	// it has used a boundary of another instance.
	createdAt time.Time
	adopted   bool
	// movedAt is when the boundary last moved.
	movedAt time.Time
	// pendingMove is the latest move not yet returned by BoundaryMoves.
	pendingMove *BoundaryMove
	// swappedAt is when engines were last swapped between the sides because of their
	// slowness.
	swappedAt time.Time
}

func (s *sides) recordArrival(now time.Time, c Call, long bool, pending float64) {
	if c.Tokens == 0 {
		return
	}
	if long {
		s.long.add(now, pending)
		s.meanLongTarget = ewma(s.meanLongTarget, c.targetLatency(), targetWeight)
		return
	}
	s.short.add(now, pending)
}

// longSide returns the engines for long prompts. A single instance decides for all, so
// that an engine is on the same side everywhere.
func (b *Balancer) longSide(now time.Time, poolName string) []string {
	p := b.pool(poolName)
	if p.sides.createdAt.IsZero() {
		p.sides.createdAt = now
	}
	if decider := b.decider(now); decider == nil {
		b.applySides(p, poolName)
		b.assignSides(now, p, poolName)
	} else if x, ok := decider.boundaries[poolName]; ok {
		p.sides.adopt(x)
	}
	b.applySides(p, poolName)
	return p.sides.engines
}

// startupGrace is how long an instance that has just started does not advertise its
// boundaries unless it has received others. If it is the one that decides, its initial
// boundary would move every second engine. The other instances discover it and send
// theirs within a second.
const startupGrace = 1500 * time.Millisecond

// ready reports whether this instance's boundary may be advertised.
func (s *sides) ready(now time.Time) bool {
	return s.adopted || !s.createdAt.IsZero() && now.Sub(s.createdAt) >= startupGrace
}

func (s *sides) adopt(x counts.Boundary) {
	s.share, s.engines, s.adopted = x.Share, x.Engines, true
}

// decider returns the peer whose boundaries apply, or nil if this instance decides. A
// member uses the boundaries in its collector's reply; among collectors, the one with
// the lowest name decides.
func (b *Balancer) decider(now time.Time) *peer {
	var found *peer
	first := b.name
	for name, p := range b.peers {
		switch {
		case p.member() || !p.fresh(now):
		case p.kind == counts.MemberReply && len(p.boundaries) > 0:
			return p
		case p.decidesBoundaries && name < first:
			found, first = p, name
		}
	}
	return found
}

// applySides updates the side of each server of a pool.
func (b *Balancer) applySides(p *pool, poolName string) {
	if equalLists(p.sides.applied, p.sides.engines) {
		return
	}
	p.sides.applied = p.sides.engines
	for _, e := range p.servers {
		e.long = false
	}
	for _, id := range p.sides.engines {
		if e := b.servers[id]; e != nil && e.Pool == poolName {
			e.long = true
		}
	}
}

// equalLists reports whether two lists are equal. Lists that are never modified are usually the
// same one, which takes no comparison of thousands of strings.
func equalLists(a, b []string) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// assignSides moves the boundary where arrivals require it. Otherwise engines stay on
// their side, since each move loses the shared prefixes they have cached.
func (b *Balancer) assignSides(now time.Time, p *pool, poolName string) {
	s := &p.sides
	var long, short []*server
	for _, e := range p.servers {
		switch {
		case e.down(now):
		case e.long:
			long = append(long, e)
		default:
			short = append(short, e)
		}
	}
	if len(long)+len(short) == 0 {
		return
	}
	b.updateShare(now, p, poolName, len(long)+len(short))
	want := longCount(s.share, len(long)+len(short))
	swapDue := now.Sub(s.swappedAt) >= swapPeriod && isMisplaced(long, short)
	if len(long) == want && !swapDue {
		s.setEngines(long)
		return
	}
	sortStayFirst(long)
	sortMoveFirst(short)
	for len(long) < want {
		long = append(long, short[0])
		short = short[1:]
	}
	long, short = long[:want], append(short, long[want:]...)
	if swapDue && swapMisplaced(long, short) {
		s.swappedAt = now
	}
	s.setEngines(long)
}

// setEngines sets the engines on the long side. It keeps the list if nothing has changed, so that
// the comparison with it is cheap.
func (s *sides) setEngines(long []*server) {
	if equalLists(s.applied, s.engines) && len(long) == len(s.engines) && !slices.ContainsFunc(long, func(e *server) bool { return !e.long }) {
		return
	}
	s.engines = make([]string, 0, len(long))
	for _, e := range long {
		s.engines = append(s.engines, e.ID)
	}
	// Sorted by ID, so that an unchanged side compares equal and is not sent again.
	slices.Sort(s.engines)
}

// isMisplaced reports whether the long side has a fast engine and the short side a slow one.
func isMisplaced(long, short []*server) bool {
	return slices.ContainsFunc(short, func(e *server) bool { return e.slow }) && slices.ContainsFunc(long, func(e *server) bool { return !e.slow })
}

// swapPeriod is the minimum time between two swaps of engines because of their slowness.
const swapPeriod = 3 * time.Second

// swapMisplaced exchanges a fast engine of the long side for a slow one of the short
// side, if there are both. Slow engines belong on the long side: while they process
// prompts continuously, their events are too late for a chat.
func swapMisplaced(long, short []*server) bool {
	fast := slices.IndexFunc(long, func(e *server) bool { return !e.slow })
	slow := slices.IndexFunc(short, func(e *server) bool { return e.slow })
	if fast < 0 || slow < 0 {
		return false
	}
	long[fast], short[slow] = short[slow], long[fast]
	return true
}

// sortMoveFirst sorts engines by their suitability for the long side: slow ones first,
// then those with the fewest latency-sensitive streams, which long prompts would delay.
func sortMoveFirst(short []*server) {
	sort.SliceStable(short, func(i, j int) bool {
		if short[i].slow != short[j].slow {
			return short[i].slow
		}
		return short[i].load().LatencySensitive < short[j].load().LatencySensitive
	})
}

// sortStayFirst sorts the engines of the long side so that those to move to the short
// side come last: fast ones and, among these, the ones with the smallest backlog,
// since chats sent there have to wait for it.
func sortStayFirst(long []*server) {
	sort.SliceStable(long, func(i, j int) bool {
		if long[i].slow != long[j].slow {
			return long[i].slow
		}
		return long[i].load().PendingPromptTokens > long[j].load().PendingPromptTokens
	})
}

// longCount returns the number of engines on the long side. Both sides get at least
// one engine if there are two or more.
func longCount(share float64, n int) int {
	if n < 2 {
		return 0
	}
	return max(1, min(n-1, int(math.Round(share*float64(n)))))
}

// BoundaryMove describes a move of a pool's boundary and its cause.
type BoundaryMove struct {
	Pool string
	// From and To are the long side's shares of the engines.
	From, To float64
	// Engines is the number of usable engines; Short and Long are how many each side
	// needed.
	Engines     int
	Short, Long float64
	// TokensPerSecond is the estimated prefill speed of an engine.
	TokensPerSecond float64
}

// BoundaryMoves returns the boundary moves since the previous call.
func (b *Balancer) BoundaryMoves() []BoundaryMove {
	var out []BoundaryMove
	for _, p := range b.pools {
		if p.sides.pendingMove != nil {
			out = append(out, *p.sides.pendingMove)
			p.sides.pendingMove = nil
		}
	}
	return out
}

// updateShare moves the boundary when one side needs more engines than it has. When
// there are too few for both, the short side takes precedence, because its calls have
// the higher value per engine time.
func (b *Balancer) updateShare(now time.Time, p *pool, poolName string, engines int) {
	s := &p.sides
	if s.share == 0 {
		s.share = initialLongShare
	}
	short, long := b.needs(now, p, poolName)
	if short+long < minNeed {
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
		to = max(minLongShare, 1-short/all)
	}
	if math.Abs(to-from) < minMove && now.Sub(s.movedAt) < movePeriod && short < all-onLong+1 {
		return
	}
	s.share, s.movedAt = to, now
	s.pendingMove = &BoundaryMove{Pool: poolName, From: from, To: s.share, Engines: engines, Short: short, Long: long, TokensPerSecond: p.speed.value()}
}

// minMove is the change of the long side's share from which the boundary moves
// immediately. Smaller moves wait until movePeriod after the last one, unless the
// short side, whose calls take precedence, lacks an engine. When engines are scarce,
// needs change with every call, and calls lose the cached prefixes of each engine that
// changes sides.
const (
	minMove    = 0.1
	movePeriod = 2 * time.Second
)

// minNeed is the total need, in engines, below which the boundary does not move.
const minNeed = 0.05
