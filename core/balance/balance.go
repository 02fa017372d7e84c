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
	"sort"
	"time"

	"cardamomwick.example/core/fleet"
)

// Weights of the cost of a server, in running calls.
const (
	// rankCost is what the next engine in a shared part's ranking costs. Reading a
	// shared part again takes about as long as five running calls delay a new one.
	rankCost = 5
	// backlogTokens is how many unread prompt tokens weigh as one running call.
	backlogTokens = 600
	// fullCost keeps calls off a server whose memory or slots are used up, as long
	// as another one has room.
	fullCost = 200
	// memoryShare of an engine's memory is given to running calls; beyond it the
	// engine preempts, and what was read is read again.
	memoryShare = 0.9
	// peerTime is how long another instance's counts are believed.
	peerTime = 700 * time.Millisecond
)

// Load is what runs at one server.
type Load struct {
	// Running counts calls.
	Running int `msgpack:"r"`
	// Unread counts prompt tokens of calls that have no answer yet.
	Unread int `msgpack:"u,omitempty"`
	// Memory counts the tokens that running calls may fill.
	Memory int `msgpack:"m,omitempty"`
}

func (l *Load) add(x Load) {
	l.Running += x.Running
	l.Unread += x.Unread
	l.Memory += x.Memory
}

func (l *Load) sub(x Load) {
	l.Running -= x.Running
	l.Unread -= x.Unread
	l.Memory -= x.Memory
}

type server struct {
	fleet.Server
	own       Load
	fullUntil time.Time
	health    health
}

type pool struct {
	servers []*server // in boundary order
	memory  int
	sides   sides
}

// Balancer places calls on all pools. Not safe for concurrent use.
type Balancer struct {
	name    string
	servers map[string]*server
	pools   map[string]*pool
	peers   map[string]*peer
}

// New returns a balancer for the named instance that knows no servers.
func New(name string) *Balancer {
	return &Balancer{name: name, servers: map[string]*server{}, pools: map[string]*pool{}, peers: map[string]*peer{}}
}

// SetFleet takes the servers that are there. What is known of those that stay
// is kept.
func (b *Balancer) SetFleet(list []fleet.Server) {
	next := make(map[string]*server, len(list))
	for _, p := range b.pools {
		p.servers = p.servers[:0]
	}
	for _, f := range list {
		s := b.servers[f.ID]
		if s == nil {
			s = &server{}
		}
		s.Server = f
		next[f.ID] = s
		p := b.pool(f.Pool)
		p.servers = append(p.servers, s)
	}
	b.servers = next
	for _, p := range b.pools {
		sort.Slice(p.servers, func(i, j int) bool { return score("", p.servers[i].ID) < score("", p.servers[j].ID) })
	}
}

// SetMemory tells how many tokens one engine of a pool keeps; zero for plain
// services.
func (b *Balancer) SetMemory(poolName string, tokens int) { b.pool(poolName).memory = tokens }

func (b *Balancer) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{}
		b.pools[name] = p
	}
	return p
}

// Known reports whether a server is in the fleet.
func (b *Balancer) Known(id string) bool { return b.servers[id] != nil }

// Arrive notes a call for a pool, placed or not.
func (b *Balancer) Arrive(now time.Time, poolName string, c Call) {
	b.pool(poolName).sides.arrive(now, c)
}

// Choose returns the server for a call, other than the excluded ones; ok is
// false when none can take it. random is uniform in [0, 1).
func (b *Balancer) Choose(now time.Time, poolName string, c Call, exclude func(id string) bool, random float64) (fleet.Server, bool) {
	p := b.pool(poolName)
	candidates := usable(now, p.servers, exclude)
	if len(candidates) == 0 {
		return fleet.Server{}, false
	}
	if c.Tokens > 0 {
		candidates = part(candidates, b.longEngines(now, poolName, len(candidates)), c.long())
	}
	ranks := rankByHome(c.Home, candidates)
	best, bestCost := candidates[0], math.Inf(1)
	offset := int(random * float64(len(candidates)))
	for i := range candidates {
		k := (i + offset) % len(candidates)
		s := candidates[k]
		if cost := b.cost(now, p, s, c, ranks[k]); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best.Server, true
}

// cost compares servers: what runs and waits there, the distance from the
// shared part's home, and failures seen.
func (b *Balancer) cost(now time.Time, p *pool, s *server, c Call, rank int) float64 {
	l := b.load(now, s)
	cost := float64(l.Running) + float64(l.Unread)/backlogTokens + rankCost*float64(rank) + s.health.cost(now)
	if s.Slots > 0 && l.Running >= s.Slots {
		cost += fullCost
	}
	if p.memory > 0 && float64(l.Memory+c.memory()) > memoryShare*float64(p.memory) {
		cost += fullCost
	}
	if now.Before(s.fullUntil) {
		cost += fullCost
	}
	return cost
}

// load counts a server's calls over all instances.
func (b *Balancer) load(now time.Time, s *server) Load {
	l := s.own
	for _, p := range b.peers {
		if p.fresh(now) {
			l.add(p.loads[s.ID])
		}
	}
	return l
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
}

// Start notes that a call was sent to a server.
func (b *Balancer) Start(id string, c Call) Ticket {
	t := Ticket{id, Load{Running: 1, Unread: int(c.unread()), Memory: c.memory()}}
	if s := b.servers[id]; s != nil {
		s.own.add(t.load)
	}
	return t
}

// Began notes that the server has read the call's prompt.
func (b *Balancer) Began(t *Ticket) {
	if s := b.servers[t.server]; s != nil {
		s.own.Unread -= t.load.Unread
	}
	t.load.Unread = 0
}

// End notes that a call is over at a server.
func (b *Balancer) End(t Ticket) {
	if s := b.servers[t.server]; s != nil {
		s.own.sub(t.load)
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
