// Package balance places routed calls on the backend servers of a pool.
//
// Long prompts (thousands of tokens) and short chats arrive in bursts at engines that
// batch. An engine processes a long prompt in chunks between the decoding steps of its
// running streams: one chunk delays the next event of every stream by tens of
// milliseconds, and two make a chat late. Call counts do not show that. Each pool's
// engines are therefore partitioned into a long side, for long prompts, and a short
// side, for all other calls; the boundary follows the prompt tokens that arrive for
// each side. Within a side, rendezvous hashing sends a call to the engine that is
// likely to have its shared prompt prefixes cached, unless that engine is backlogged.
//
// The package is pure: time and randomness are passed in. Load is the sum of this
// instance's own calls and the counts reported by other instances. Reports of the
// servers themselves are delayed and reach all instances at the same time, so they are
// used only to detect a full server.
package balance

import (
	"math"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
)

// Placement parameters.
const (
	// maxKVUse is the fraction of an engine's KV cache that running calls may use.
	// Above it the engine preempts streams and has to process their prompts again.
	maxKVUse = 0.9
	// peerTTL is how long another instance's counts remain valid.
	peerTTL = 700 * time.Millisecond
)

type server struct {
	fleet.Server
	// order is the server's position in the boundary order of its pool. It is the same
	// on all instances.
	order uint64
	// slot is the server's index in Balancer.slots.
	slot int
	// version increases with each change of the reported counts or limit.
	version uint64
	own     Load
	// peerRow sums the latest counts of all other instances. subtreeRow is the part of
	// it that this instance includes in its own reports.
	peerRow, subtreeRow counts.Row
	fullUntil           time.Time
	health              health
	eventInterval       eventInterval
	// cache estimates the prefixes that the server has cached.
	cache prefixCache
	// slowness is the ratio of the server's event interval to the median of its pool.
	// slow is set and cleared by the thresholds in event_interval.go.
	slowness float64
	slow     bool
	// long is set if the server is on the long side.
	long    bool
	limit   limitState
	brittle brittleState
}

type pool struct {
	servers []*server // in boundary order
	// kvTokens is the capacity of one engine's KV cache; zero for pools without engines.
	kvTokens int
	sides    sides
	speed    speed
	// lowestTier is the tier of the pool's least urgent prompts.
	lowestTier int
	// meanEventInterval is the moving average of the values that streams contribute to the
	// servers' eventInterval.
	meanEventInterval time.Duration
	streams           longStreams
	// slowdown is the ratio of actual prefill times to those of an idle engine.
	slowdown slowdown
	// latestHolder maps a shared prefix to the server that most recently received it.
	latestHolder map[prefixKey]*server
	// cacheLifetime is how long engines are expected to cache a prefix after its last
	// use.
	cacheLifetime time.Duration
	// missShare is the moving average of the fraction of shared tokens that are not
	// cached where the call is placed.
	missShare float64
	// longLoad is the prefill demand on the long side as a fraction of its capacity.
	longLoad float64
	// meanUnshared is the average number of unshared tokens of a long prompt.
	meanUnshared float64
	// cacheViewComplete is set once this instance has received prefix uses for long
	// enough to know which prefixes are cached.
	cacheViewComplete bool
	// calls measures the calls that arrive at this instance; limitShare tracks its
	// share of the servers' request limits.
	calls      meter
	limitShare ratelimit.Share
	// brittle is the latest announcement of any of the servers.
	brittle ratelimit.Announced
	// room is the least room that rejections have shown of any of the brittle servers.
	room ratelimit.RoomEstimate
	// proven is the highest number of calls that any of the brittle servers has run.
	proven int
	// runsOnUntil is until when the servers are expected to go on with abandoned runs.
	runsOnUntil time.Time
	// requests are those of other instances for slots, by their names; requestedAt is when this one
	// last requested some, and nextLent the server that was last searched for one to lend.
	requests    map[string]slotRequest
	requestedAt time.Time
	nextLent    int
	// answered is set once a server has answered this instance.
	answered bool
}

// Balancer places calls on the servers of all pools. It is not safe for concurrent
// use.
type Balancer struct {
	name    string
	servers map[string]*server
	pools   map[string]*pool
	peers   map[string]*peer
	// slots holds the servers by slot number, which is stable while a server is
	// present. Unused slots are nil.
	slots []*server
	// changes logs the slots whose counts have changed.
	changes counts.ChangeLog
	// freeSlots are the unused slot numbers.
	freeSlots []int
	// current holds the servers of the latest fleet update, sorted by ID.
	current []*server
	// running is the number of this instance's own running calls.
	running int
	// level is this instance's level in the tree of collectors; instances is the
	// number of instances.
	level     uint8
	instances int
	// limitChanges are the changes not yet returned by LimitChanges.
	limitChanges []LimitChange
	// divisions is how the slots of brittle servers are divided among the instances.
	divisions slotDivisions
	// startedAt is when the owners were first set. informed is set once another instance has
	// said which pools are brittle.
	startedAt time.Time
	informed  bool
	// borrowedAt holds the IDs of the servers at which this instance has borrowed slots.
	borrowedAt map[string]struct{}
	// brittleChanges are those not yet returned by BrittleChanges.
	brittleChanges []LimitChange
	uses           useLog
	advertised     advertisedBoundaries
	// firstStream is the counts stream number of the first messages after the start.
	firstStream uint32

	slownessUpdatedAt time.Time
	// exchangeSince is when this instance sent its first counts.
	exchangeSince time.Time
}

// New returns a balancer without servers for the named instance. start must differ
// from that of every earlier start of the instance, so that peers notice that its
// previous state is lost.
func New(name string, start uint32) *Balancer {
	return &Balancer{name: name, firstStream: start, servers: map[string]*server{}, pools: map[string]*pool{}, peers: map[string]*peer{}, borrowedAt: map[string]struct{}{}}
}

// SetEngines sets the capacity of the KV cache, in tokens, of one engine of a pool and
// the tier of the pool's least urgent prompts.
func (b *Balancer) SetEngines(poolName string, kvTokens, lowestTier int) {
	p := b.pool(poolName)
	p.kvTokens, p.lowestTier = kvTokens, lowestTier
}

func (b *Balancer) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{missShare: initialMissShare}
		b.pools[name] = p
	}
	return p
}

// RecordArrival records the arrival of a call for a pool, whether or not it is placed.
func (b *Balancer) RecordArrival(now time.Time, poolName string, c Call) {
	p := b.pool(poolName)
	p.calls.add(now, 1)
	p.sides.recordArrival(now, c, c.usesLongSide(&p.speed), c.pendingPromptTokens(p.missShare))
}

// Choice is the selected server and the reasons for its selection.
type Choice struct {
	fleet.Server
	// Rank is the server's position in the rendezvous ranking for the call's affinity
	// key: 0 is the home server, -1 a server on the other side of the boundary.
	Rank int
	// Loss is the expected loss, the lowest of all candidates.
	Loss float64
}

// Choose selects a server for a call, skipping the excluded ones. ok is false if no
// server can take the call now. random returns uniform values from [0, 1).
func (b *Balancer) Choose(now time.Time, poolName string, c Call, exclude func(s *fleet.Server) bool, random func() float64) (Choice, bool) {
	p := b.pool(poolName)
	b.refreshSlowness(now)
	if c.Tokens > 0 {
		b.refreshPool(now, p, poolName)
	}
	candidates := b.filterLimited(now, poolName, usable(now, p.servers, exclude), c.SkipLimited)
	candidates = c.filterBySide(b.filterBrittle(now, poolName, c, candidates))
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if list := unconfirmed(now, candidates); len(list) > 0 {
		candidates = list
	}
	if c.Tokens == 0 {
		candidates = sampleTwo(candidates, random)
	}
	r := p.request(now, c)
	candidates = p.filterHolders(now, r, candidates)
	onLong := c.usesLongSide(&p.speed)
	list := rankByHome(c.AffinityKey, candidates, func(s *server) bool { return c.Tokens == 0 || s.long == onLong })
	best, least := p.leastLoss(now, r, list, random)
	return Choice{best.Server, best.rank, least}, true
}

// leastLoss returns the candidate with the least loss. It skips those whose rank alone costs more
// than that: in a pool of thousands of servers they are nearly all.
func (p *pool) leastLoss(now time.Time, r request, list []ranked, random func() float64) (best ranked, least float64) {
	least = math.Inf(1)
	for _, s := range list {
		if r.rankLoss(s.rank) >= least {
			continue
		}
		loss := p.loss(now, s.server, r, s.rank)
		if s.rank != 0 || r.AffinityKey == "" {
			loss += jitterLoss * random()
		}
		if loss < least {
			best, least = s, loss
		}
	}
	return best, least
}

// sampleTwo returns two random servers. Counts of other instances are older than a
// plain call lasts, so choosing the server with the fewest calls sent the calls of all
// instances to the same one: answers took half as long again as with two random
// candidates.
func sampleTwo(list []*server, random func() float64) []*server {
	if len(list) <= 2 {
		return list
	}
	i := int(random() * float64(len(list)))
	j := int(random() * float64(len(list)-1))
	if j >= i {
		j++
	}
	return []*server{list[i], list[j]}
}

// load returns the server's load over all instances.
func (s *server) load() Load {
	l := s.own
	l.Add(s.peerRow.Load)
	return l
}

// down reports whether the server is currently considered unavailable.
func (s *server) down(now time.Time) bool {
	return !s.AcceptsWork() || s.health.avoided(now)
}

// usable returns the healthy servers, or the announced but unhealthy ones if there are
// none, or else the overdue ones. Draining servers are never returned.
func usable(now time.Time, list []*server, exclude func(s *fleet.Server) bool) []*server {
	var healthy, announced, overdue []*server
	for _, s := range list {
		switch {
		case s.Phase != fleet.Ready || exclude != nil && exclude(&s.Server):
		case s.Overdue:
			overdue = append(overdue, s)
		case s.health.avoided(now):
			announced = append(announced, s)
		default:
			healthy = append(healthy, s)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(announced) > 0:
		return announced
	}
	return overdue
}

// Ticket accounts for one call on one server.
type Ticket struct {
	server string
	load   Load
	sent   time.Time
	// ahead is the number of prompt tokens the engine had to process, up to and
	// including this call's prompt, when the call was sent.
	ahead float64
	// tokens is the length of the prompt; unshared is the number of its tokens that no
	// other call shares.
	tokens, unshared int
}

// long reports whether the call is a long prompt.
func (t *Ticket) long() bool { return t.load.LongPrompts > 0 }

// Ahead returns the number of prompt tokens that the server had to process, up to and
// including this call's prompt, when the call was sent.
func (t *Ticket) Ahead() float64 { return t.ahead }

// PrefillTime estimates how long the server needs to process the tokens returned by
// Ticket.Ahead.
func (b *Balancer) PrefillTime(poolName string, t Ticket) time.Duration {
	return b.pool(poolName).speed.prefillTime(t.ahead)
}

// Start records that a call was sent to a server.
func (b *Balancer) Start(now time.Time, id string, c Call) Ticket {
	t := Ticket{server: id, sent: now, load: c.load(), tokens: c.Tokens, unshared: c.Unshared}
	s := b.servers[id]
	if s == nil {
		return t
	}
	p := b.pool(s.Pool)
	r := p.request(now, c)
	pending := p.prefillTokens(now, s, r, true)
	t.load.PendingPromptTokens = int(pending)
	if t.long() {
		p.meanUnshared = ewma(p.meanUnshared, float64(c.Unshared), missShareWeight)
	}
	if c.tracksCache() {
		p.observeMissShare((pending - float64(c.Unshared)) / float64(c.shared()))
		b.recordUses(now, s, r.prefixes)
	}
	s.own.Add(t.load)
	b.running += t.load.Running
	b.takeToken(now, s)
	b.markChanged(s)
	t.ahead = float64(s.load().PendingPromptTokens)
	return t
}

// RecordFirstEvent records that the server has processed the call's prompt.
func (b *Balancer) RecordFirstEvent(now time.Time, t *Ticket) {
	if s := b.servers[t.server]; s != nil {
		p := b.pool(s.Pool)
		s.own.PendingPromptTokens -= t.load.PendingPromptTokens
		b.markChanged(s)
		if t.ahead <= float64(t.load.PendingPromptTokens) {
			p.speed.observe(float64(t.unshared), float64(t.tokens), now.Sub(t.sent))
		}
		if t.long() {
			p.slowdown.observe(scaleDuration(s.slowness, p.speed.prefillTime(t.ahead)), now.Sub(t.sent))
		}
	}
	t.load.PendingPromptTokens = 0
}

// End records that a call on a server is over.
func (b *Balancer) End(t Ticket) {
	if s := b.servers[t.server]; s != nil {
		s.own.Sub(t.load)
		b.running -= t.load.Running
		b.markChanged(s)
	}
}

// fullTime is how long a server is treated as full after refusing a call: about the
// duration of a few calls at an engine's usual speed.
const fullTime = 150 * time.Millisecond

// RecordSuccess records a successful answer of a server.
func (b *Balancer) RecordSuccess(now time.Time, id string) {
	if s := b.servers[id]; s != nil {
		s.health.recordSuccess(now)
		s.brittle.endedUntil = time.Time{}
	}
}

// RecordFailure records a failed call. unreachable is set if no connection could be
// made or it broke before any answer.
func (b *Balancer) RecordFailure(now time.Time, id string, unreachable bool) {
	if s := b.servers[id]; s != nil {
		s.health.recordFailure(now, unreachable)
	}
}
