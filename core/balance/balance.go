// Package balance places routed calls on the backend servers of a pool.
//
// The load pattern it answers: long prompts (thousands of tokens) and short
// chats come in bursts, one after the other, to engines that batch. An engine
// reads a long prompt in chunks between the tokens of everything else it runs:
// one chunk delays the next event of each running stream by tens of
// milliseconds, two make a chat late. Counting calls can't see that. So engines
// are parted in two sides, one for long prompts and one for the rest, and the
// boundary follows the prompt tokens that arrive for each side. Within its side
// a call goes to the engine that has read its shared part before, by rendezvous
// hashing, unless that engine is behind.
//
// The package is pure: the clock and the randomness are passed in. Load is
// counted from this instance's own calls and from what the other instances say
// of theirs; servers' own reports lag and are read by all at once, so they only
// tell whether a server is full.
package balance

import (
	"math"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
)

// Limits of placement.
const (
	// memoryShare of an engine's memory is given to running calls; beyond it the
	// engine preempts, and what was read is read again.
	memoryShare = 0.9
	// peerTime is how long another instance's counts are believed.
	peerTime = 700 * time.Millisecond
)

type server struct {
	fleet.Server
	// order is the server's place among those of its pool, the same at all instances.
	order uint64
	// listing is that of the fleet in which the server was last.
	listing uint64
	// slot is the server's place in Balancer.slots.
	slot int
	// version rises with each change of what is told of the server.
	version uint64
	own     Load
	// others is what the other instances have there, as they last said; below is the
	// part of it that this instance reports for them.
	others, below counts.Row
	fullUntil     time.Time
	health        health
	pace          pace
	parts         parts
	// slowness is the pace against the pool's middle one.
	slowness float64
	slow     bool
	// long: the server is on the long side.
	long  bool
	limit limited
}

type pool struct {
	servers []*server // in boundary order
	memory  int
	sides   sides
	speed   speed
	// lowestTier is the rank of the pool's least urgent prompts.
	lowestTier int
	// usual is the usual time between two events.
	usual   time.Duration
	streams longStreams
	// stretch is how much longer reading takes beside other work than on an idle
	// engine.
	stretch stretch
	// holders are the servers that shared parts were last given to.
	holders map[partKey]*server
	// held is how long engines keep a shared part after its last use.
	held time.Duration
	// reread is the part of the shared tokens that was to be read lately.
	reread float64
	// use is the part of the long side's reading that is asked for.
	use float64
	// unshared is the usual length of a long prompt's own part, in tokens.
	unshared float64
	// seasoned: this instance has followed the uses of parts for long enough.
	seasoned bool
	// calls are those that come to this instance, limitShare its part of the servers'
	// limits.
	calls      meter
	limitShare ratelimit.Share
}

// Balancer places calls on all pools. Not safe for concurrent use.
type Balancer struct {
	name    string
	servers map[string]*server
	pools   map[string]*pool
	peers   map[string]*peer
	// slots are the servers under numbers that stay while they are there, nil for
	// numbers that are free.
	slots []*server
	// changes are those at all servers.
	changes counts.ChangeLog
	// free are the slots without a server.
	free []int
	// listing counts how often the fleet was set.
	listing uint64
	// level is this instance's place in the tree of collectors, instances counts all.
	level     uint8
	instances int
	// limitChanges are those that were not asked for yet.
	limitChanges []LimitChange
	uses         usesLog
	told         toldBoundaries
	// firstStream is what streams of messages begin with.
	firstStream uint32

	pacedAt time.Time
	// since is when this instance began to exchange counts.
	since time.Time
}

// New returns a balancer for the named instance that knows no servers. start is a
// number that no earlier start of the instance had: others must notice that it knows
// nothing of what it told them before.
func New(name string, start uint32) *Balancer {
	return &Balancer{name: name, firstStream: start, servers: map[string]*server{}, pools: map[string]*pool{}, peers: map[string]*peer{}}
}

// SetEngines tells of a pool of model engines how many tokens one of them keeps,
// and the rank of its least urgent prompts.
func (b *Balancer) SetEngines(poolName string, memory, lowestTier int) {
	p := b.pool(poolName)
	p.memory, p.lowestTier = memory, lowestTier
}

func (b *Balancer) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{reread: startReread}
		b.pools[name] = p
	}
	return p
}

// Arrive notes a call for a pool, placed or not.
func (b *Balancer) Arrive(now time.Time, poolName string, c Call) {
	p := b.pool(poolName)
	p.calls.add(now, 1)
	p.sides.arrive(now, c, c.long(&p.speed), c.unread(p.reread))
}

// Choice is a server with what decided for it.
type Choice struct {
	fleet.Server
	// Rank is the server's place in the ranking of the call's shared part: 0 is its
	// home, -1 a server on the other side of the boundary.
	Rank int
	// Loss is the loss that was expected, the least of all servers.
	Loss float64
}

// Choose returns the server for a call, other than the excluded ones; ok is
// false when none can take it now. random draws uniformly from [0, 1).
func (b *Balancer) Choose(now time.Time, poolName string, c Call, exclude func(id string) bool, random func() float64) (Choice, bool) {
	p := b.pool(poolName)
	b.refreshPaces(now)
	if c.Tokens > 0 {
		b.follow(now, p, poolName)
	}
	candidates := c.keepToSide(b.withTokens(now, poolName, usable(now, p.servers, exclude), c.LeaveLimited))
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if list := unconfirmed(now, candidates); len(list) > 0 {
		candidates = list
	}
	if c.Tokens == 0 {
		candidates = twoOf(candidates, random)
	}
	r := p.request(now, c)
	candidates = p.keepToHolders(now, r, candidates)
	onLong := c.long(&p.speed)
	ranks := rankByHome(c.Home, candidates, func(s *server) bool { return c.Tokens == 0 || s.long == onLong })
	best := 0
	least := math.Inf(1)
	for i, s := range candidates {
		loss := p.loss(now, s, r, ranks[i])
		if ranks[i] != 0 || c.Home == "" {
			loss += spreadLoss * random()
		}
		if loss < least {
			best, least = i, loss
		}
	}
	return Choice{candidates[best].Server, ranks[best], least}, true
}

// twoOf draws two servers. The counts of other instances are older than a plain
// call takes: the server with the fewest calls got the next ones of all instances,
// and its answers came half as late again as with two drawn by lot.
func twoOf(list []*server, random func() float64) []*server {
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

// load counts the server's calls over all instances.
func (s *server) load() Load {
	l := s.own
	l.Add(s.others.Load)
	return l
}

// down reports whether a server is taken to be gone, for the time being.
func (s *server) down(now time.Time) bool {
	return !s.AcceptsWork() || s.health.avoided(now)
}

// usable prefers servers in this order: announced and healthy, announced,
// overdue. Draining ones take nothing.
func usable(now time.Time, list []*server, exclude func(id string) bool) []*server {
	var healthy, announced, overdue []*server
	for _, s := range list {
		switch {
		case s.Phase != fleet.Ready || exclude != nil && exclude(s.ID):
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

// Ticket accounts for one call at one server.
type Ticket struct {
	server string
	load   Load
	sent   time.Time
	// ahead is what the engine had to read up to the end of this call's prompt.
	ahead float64
	// tokens is the prompt's length, unshared the part of it that no other call has.
	tokens, unshared int
}

// long reports whether the call is a long prompt.
func (t *Ticket) long() bool { return t.load.LongPrompts > 0 }

// Ahead is how many prompt tokens the server had to read up to the end of the
// call's own, when the call was sent.
func (t *Ticket) Ahead() float64 { return t.ahead }

// ReadingTime estimates how long the server needs for what it had to read up to
// the end of the call's prompt.
func (b *Balancer) ReadingTime(poolName string, t Ticket) time.Duration {
	return b.pool(poolName).speed.time(t.ahead)
}

// Start notes that a call was sent to a server.
func (b *Balancer) Start(now time.Time, id string, c Call) Ticket {
	t := Ticket{server: id, sent: now, load: c.load(), tokens: c.Tokens, unshared: c.Unshared}
	s := b.servers[id]
	if s == nil {
		return t
	}
	p := b.pool(s.Pool)
	r := p.request(now, c)
	unread := p.unreadAt(now, s, r, true)
	t.load.PendingPromptTokens = int(unread)
	if t.long() {
		p.unshared = smooth(p.unshared, float64(c.Unshared), rereadWeight)
	}
	if c.followed() {
		p.noteReread((unread - float64(c.Unshared)) / float64(c.shared()))
		b.use(now, s, r.parts)
	}
	s.own.Add(t.load)
	b.takeToken(now, s)
	b.touch(s)
	t.ahead = float64(s.load().PendingPromptTokens)
	return t
}

// Began notes that the server has read the call's prompt.
func (b *Balancer) Began(now time.Time, t *Ticket) {
	if s := b.servers[t.server]; s != nil {
		p := b.pool(s.Pool)
		s.own.PendingPromptTokens -= t.load.PendingPromptTokens
		b.touch(s)
		if t.ahead <= float64(t.load.PendingPromptTokens) {
			p.speed.observe(float64(t.unshared), float64(t.tokens), now.Sub(t.sent))
		}
		if t.long() {
			p.stretch.observe(portion(s.slowness, p.speed.time(t.ahead)), now.Sub(t.sent))
		}
	}
	t.load.PendingPromptTokens = 0
}

// End notes that a call is over at a server.
func (b *Balancer) End(t Ticket) {
	if s := b.servers[t.server]; s != nil {
		s.own.Sub(t.load)
		b.touch(s)
	}
}

// fullTime is how long a server that refused is taken to be full: the time of
// a few calls at an engine's usual speed.
const fullTime = 150 * time.Millisecond

// Full notes that a server refused a call because it has no room.
func (b *Balancer) Full(now time.Time, id string) {
	if s := b.servers[id]; s != nil {
		s.fullUntil = now.Add(fullTime)
	}
}

// Good notes that a server answered a call as it should.
func (b *Balancer) Good(now time.Time, id string) {
	if s := b.servers[id]; s != nil {
		s.health.good(now)
	}
}

// Bad notes a failure. Unreachable: not even a connection was made, or it broke
// without any answer.
func (b *Balancer) Bad(now time.Time, id string, unreachable bool) {
	if s := b.servers[id]; s != nil {
		s.health.bad(now, unreachable)
	}
}
