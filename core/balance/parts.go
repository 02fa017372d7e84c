package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomwick.example/core/counts"
)

// Limits of what is believed of kept parts.
const (
	// leastPart is the length in tokens from which shared parts are followed: to read
	// less again takes an engine some milliseconds.
	leastPart = 1000
	// leastHeld and mostHeld bound the time that a part is taken to be kept after its
	// last use. The engine with the least memory measured (217,000 tokens) writes over
	// it in 12 s at a fully used long side; with 2 s, parts that were kept were read
	// again elsewhere in the first seconds of a burst.
	leastHeld = 12 * time.Second
	mostHeld  = time.Minute
	// seasonTime is how long an instance must have heard of all uses before a part that
	// it has not seen counts as read by nobody. Until then youngReread of such a part
	// is taken to be read again.
	seasonTime  = 8 * time.Second
	youngReread = 0.2
	// keptParts bounds the parts followed at one server.
	keptParts = 4096
)

// partKey stands for a shared part.
type partKey = counts.PrefixKey

func keyOf(id string) partKey { return partKey(xxhash.Sum64String(id)) }

// parts are the shared parts that a server has read, with the time of their last
// use. Engines do not tell what they keep without being asked for it, and their
// answer is late; but whoever places calls knows what every engine was given.
type parts struct {
	used map[partKey]time.Time
}

// use notes that a call with the part was given to the server, and reports whether
// others are to be told.
func (p *parts) use(now time.Time, part partKey) bool {
	if p.used == nil {
		p.used = map[partKey]time.Time{}
	}
	if len(p.used) >= keptParts {
		p.forget(now.Add(-mostHeld))
	}
	before, known := p.used[part]
	if known || len(p.used) < keptParts {
		p.used[part] = now
	}
	return !known || now.Sub(before) >= retellTime
}

// forget drops parts that were last used before a time.
func (p *parts) forget(before time.Time) {
	for part, at := range p.used {
		if at.Before(before) {
			delete(p.used, part)
		}
	}
}

// use notes a use of a chain of parts by this instance.
func (b *Balancer) use(now time.Time, s *server, chain []keyedPart) {
	for _, x := range chain {
		if x.tokens < leastPart {
			continue
		}
		b.pool(s.Pool).noteHolder(x.key, s)
		if s.parts.use(now, x.key) {
			b.uses.add(now, nil, counts.Use{Server: s.ID, Prefix: x.key})
		}
	}
}

// holds reports whether the server still keeps a part.
func (p *parts) holds(now time.Time, part partKey, held time.Duration) bool {
	at, known := p.used[part]
	return known && now.Sub(at) < held
}

// missing returns how many tokens of a chain of parts the server has to read. A part
// is of use only with all parts before it.
func (p *parts) missing(now time.Time, chain []keyedPart, held time.Duration) int {
	missing := 0
	for _, x := range chain {
		if missing > 0 || x.tokens >= leastPart && !p.holds(now, x.key, held) {
			missing += x.tokens
		}
	}
	return missing
}

// followed reports whether the call's shared parts are worth knowing of.
func (c *Call) followed() bool { return c.Home != "" && c.shared() >= leastPart }

// shared is the length of the parts that other calls have too.
func (c *Call) shared() int { return c.Tokens - c.Unshared }

// follow brings up to date what placement derives from the arriving work.
func (b *Balancer) follow(now time.Time, p *pool, poolName string) {
	b.longSide(now, poolName)
	rates := b.rates(now, p, poolName)
	engines, running := p.onLong()
	p.held = p.heldTime(rates, engines, running)
	p.use = p.longUse(rates, engines)
	p.seasoned = !b.since.IsZero() && now.Sub(b.since) >= seasonTime
}

// onLong counts the engines of the long side, and the memory in use there.
func (p *pool) onLong() (engines, memory int) {
	for _, s := range p.servers {
		if s.long {
			engines++
			memory += s.load().KVTokens
		}
	}
	return engines, memory
}

// longUse returns the part of the long side's reading that what arrives there asks
// for.
func (p *pool) longUse(rates Rates, engines int) float64 {
	if engines == 0 {
		return 0
	}
	return rates.Long * (1 + p.stretch.beyond) / (p.speed.value() * float64(engines))
}

// heldTime estimates how long an engine of the pool keeps a part after its last
// use: until as much was written as its memory holds beside what runs.
func (p *pool) heldTime(rates Rates, engines, running int) time.Duration {
	if p.memory == 0 || engines == 0 {
		return leastHeld
	}
	perEngine := float64(p.memory) - float64(running)/float64(engines)
	written := rates.Long / float64(engines)
	if written <= 0 {
		return mostHeld
	}
	held := time.Duration(perEngine / written * float64(time.Second))
	return max(leastHeld, min(mostHeld, held))
}

// busyUse is the use of the long side's reading from which a long prompt goes only
// where its shared parts are kept. Elsewhere they would have to be read again, which
// is as much work as another call: each call that leaves its home then makes more
// leave theirs. With 64 instances and 90 engines a fifth to a half of the prompts
// were read whole on a day without faults.
const busyUse = 0.85

// keepToHolders leaves a long prompt the engines that keep its shared parts, or the
// home of the last one where nobody does, while the long side has no reading to
// spare.
func (p *pool) keepToHolders(now time.Time, c request, list []*server) []*server {
	if p.use < busyUse || c.Tokens < LongPrompt || !c.followed() {
		return list
	}
	var holders []*server
	for _, s := range list {
		if s.parts.missing(now, c.parts, p.held) == 0 {
			holders = append(holders, s)
		}
	}
	if len(holders) == 0 {
		return []*server{home(c.Home, list)}
	}
	return holders
}

// request is a call with what all servers are asked about its shared parts.
type request struct {
	Call
	parts []keyedPart
	// known: some server of the pool is known to keep the last part.
	known bool
}

// keyedPart is a shared part under its key.
type keyedPart struct {
	key    partKey
	tokens int
}

func (p *pool) request(now time.Time, c Call) request {
	r := request{Call: c}
	if !c.followed() {
		return r
	}
	for _, x := range c.chain() {
		r.parts = append(r.parts, keyedPart{keyOf(x.ID), x.Tokens})
	}
	r.known = p.kept(now, r.parts[len(r.parts)-1].key)
	return r
}

// kept reports whether some server of the pool is known to keep a part. The latest
// holder is looked at first: asking 2,000 servers takes 0.2 ms.
func (p *pool) kept(now time.Time, part partKey) bool {
	holds := func(s *server) bool { return s.parts.holds(now, part, p.held) }
	if s := p.holders[part]; s != nil && s.slot != noSlot && holds(s) {
		return true
	}
	return slices.ContainsFunc(p.servers, holds)
}

// mostHolders bounds the parts whose latest holder is remembered in a pool.
const mostHolders = 4 * keptParts

// noteHolder remembers the latest server to which a part's call was given.
func (p *pool) noteHolder(part partKey, s *server) {
	if p.holders == nil || len(p.holders) >= mostHolders {
		p.holders = map[partKey]*server{}
	}
	p.holders[part] = s
}

// unreadAt estimates the tokens that a server must read for the call. home: it is
// the first in the ranking of the call's last shared part, where a part that this
// instance has not seen in use may be all the same.
func (p *pool) unreadAt(now time.Time, s *server, c request, home bool) float64 {
	if !c.followed() {
		if home {
			return float64(c.Unshared)
		}
		return float64(c.Tokens)
	}
	missing := float64(s.parts.missing(now, c.parts, p.held))
	if !c.known && home && !p.seasoned {
		missing *= youngReread
	}
	return float64(c.Unshared) + missing
}
