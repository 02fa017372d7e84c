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

// Limits and weights.
const (
	// LongPrompt is the prompt length in tokens from which a call belongs to the
	// long side. Two chunks of 2,048 tokens take longer to read than the pause
	// that a chat allows between two events.
	LongPrompt = 4000
	// rankCost is what the next engine in a shared part's ranking costs, in
	// running calls. Reading a shared part again takes about as long as five
	// running calls delay a new one.
	rankCost = 5
	// shortWeight gives the short side more room than its tokens ask for, since
	// its calls have targets of some hundred milliseconds.
	shortWeight = 1.5
	// rateTime is the time constant of the arriving tokens: bursts last seconds.
	rateTime = 1500 * time.Millisecond
	// peerTime is how long another instance's counts are believed.
	peerTime = 700 * time.Millisecond
	// sharedUnread is the share of a prompt's shared parts that is taken to be
	// read again.
	sharedUnread = 0.2
)

// Call is what placement needs to know.
type Call struct {
	// Tokens is the prompt's length, zero for plain calls.
	Tokens int
	// Unshared is how many of them no other call has.
	Unshared int
	// Home names the last shared part, "" for none.
	Home string
}

func (c *Call) long() bool { return c.Tokens >= LongPrompt }

// unread estimates the tokens that an engine must read.
func (c *Call) unread() float64 {
	return float64(c.Unshared) + sharedUnread*float64(c.Tokens-c.Unshared)
}

// Count is an instance's own load at one server.
type Count struct {
	Server  string `msgpack:"s"`
	Running int    `msgpack:"r"`
}

// Report is what an instance tells the others.
type Report struct {
	Counts []Count `msgpack:"c"`
	// Long and Short are prompt tokens per second by pool.
	Rates []Rate `msgpack:"t"`
}

// Rate is the arriving work of a pool at one instance, in prompt tokens per
// second for each side.
type Rate struct {
	Pool  string  `msgpack:"p"`
	Long  float64 `msgpack:"l"`
	Short float64 `msgpack:"s"`
}

type server struct {
	fleet.Server
	running int
	// reported is the server's own count of calls, at reportedAt.
	reported   int
	reportedAt time.Time
	fullUntil  time.Time
	health     health
}

type pool struct {
	servers []*server // in boundary order
	long    meter
	short   meter
}

type peer struct {
	at     time.Time
	counts map[string]int
	rates  map[string]Rate
}

// Balancer places calls on all pools. Not safe for concurrent use.
type Balancer struct {
	servers map[string]*server
	pools   map[string]*pool
	peers   map[string]*peer
	zone    string
}

// New returns a balancer for an instance in a zone that knows no servers.
func New(zone string) *Balancer {
	return &Balancer{servers: map[string]*server{}, pools: map[string]*pool{}, peers: map[string]*peer{}, zone: zone}
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
	p := b.pool(poolName)
	if c.long() {
		p.long.add(now, c.unread())
		return
	}
	p.short.add(now, c.unread())
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
		candidates = b.side(now, poolName, candidates, c.long())
	}
	ranks := rankByHome(c.Home, candidates)
	best, bestCost := candidates[0], math.Inf(1)
	offset := int(random * float64(len(candidates)))
	for i := range candidates {
		k := (i + offset) % len(candidates)
		s := candidates[k]
		if cost := b.cost(now, s, ranks[k]); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best.Server, true
}

// cost compares servers: running calls, the distance from the shared part's
// home, and failures seen.
func (b *Balancer) cost(now time.Time, s *server, rank int) float64 {
	load := float64(b.running(now, s))
	cost := load + rankCost*float64(rank) + s.health.cost(now)
	if s.Slots > 0 && int(load) >= s.Slots {
		cost += float64(s.Slots)
	}
	if now.Before(s.fullUntil) {
		cost += float64(s.Slots)
	}
	return cost
}

// running counts a server's calls over all instances.
func (b *Balancer) running(now time.Time, s *server) int {
	n := s.running
	for _, p := range b.peers {
		if now.Sub(p.at) < peerTime {
			n += p.counts[s.ID]
		}
	}
	return n
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

// side returns the engines for long prompts or those for the rest.
func (b *Balancer) side(now time.Time, poolName string, list []*server, long bool) []*server {
	if len(list) < 2 {
		return list
	}
	k := int(math.Round(b.longShare(now, poolName) * float64(len(list))))
	k = max(1, min(len(list)-1, k))
	if long {
		return list[:k]
	}
	return list[k:]
}

// longShare is the part of the arriving work that long prompts make up.
func (b *Balancer) longShare(now time.Time, poolName string) float64 {
	p := b.pool(poolName)
	long, short := p.long.rate(now), p.short.rate(now)
	for _, x := range b.peers {
		if now.Sub(x.at) < peerTime {
			long += x.rates[poolName].Long
			short += x.rates[poolName].Short
		}
	}
	if long+short == 0 {
		return 0.5
	}
	return long / (long + shortWeight*short)
}

// Start notes that a call was sent to a server.
func (b *Balancer) Start(id string) {
	if s := b.servers[id]; s != nil {
		s.running++
	}
}

// End notes that a call is over at a server.
func (b *Balancer) End(id string) {
	if s := b.servers[id]; s != nil && s.running > 0 {
		s.running--
	}
}

// Full notes that a server refused a call because it has no room.
func (b *Balancer) Full(now time.Time, id string) {
	if s := b.servers[id]; s != nil {
		s.fullUntil = now.Add(fullTime)
	}
}

// fullTime is how long a server that refused is taken to be full: the time of
// a few calls at an engine's usual speed.
const fullTime = 150 * time.Millisecond

// Good and Bad note how a call ended at a server, for its health.
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

// Report returns this instance's counts for the others.
func (b *Balancer) Report(now time.Time) Report {
	var r Report
	for id, s := range b.servers {
		if s.running > 0 {
			r.Counts = append(r.Counts, Count{id, s.running})
		}
	}
	for name, p := range b.pools {
		if long, short := p.long.rate(now), p.short.rate(now); long+short >= 1 {
			r.Rates = append(r.Rates, Rate{name, long, short})
		}
	}
	return r
}

// TakeReport takes another instance's counts.
func (b *Balancer) TakeReport(now time.Time, from string, r Report) {
	p := &peer{at: now, counts: make(map[string]int, len(r.Counts)), rates: make(map[string]Rate, len(r.Rates))}
	for _, c := range r.Counts {
		p.counts[c.Server] = c.Running
	}
	for _, x := range r.Rates {
		p.rates[x.Pool] = x
	}
	b.peers[from] = p
}

// Forget drops counts of instances that are silent.
func (b *Balancer) Forget(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.at) >= 2*peerTime {
			delete(b.peers, name)
		}
	}
}
