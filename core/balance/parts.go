package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of what is believed of kept parts.
const (
	// leastPart is the length in tokens from which shared parts are followed: to read
	// less again takes an engine some milliseconds.
	leastPart = 1000
	// usesWindow is how long a use is told to others: three exchanges, so that two
	// lost reports do no harm.
	usesWindow = 350 * time.Millisecond
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
type partKey uint32

func keyOf(home string) partKey { return partKey(xxhash.Sum64String(home)) }

// parts are the shared parts that a server has read, with the time of their last
// use. Engines do not tell what they keep without being asked for it, and their
// answer is late; but whoever places calls knows what every engine was given.
type parts struct {
	used map[partKey]time.Time
	// own are this instance's latest uses, to be told to others.
	own []partUse
}

type partUse struct {
	part partKey
	at   time.Time
}

// use notes that a call with the part was given to the server.
func (p *parts) use(now time.Time, part partKey) {
	if p.used == nil {
		p.used = map[partKey]time.Time{}
	}
	if len(p.used) >= keptParts {
		p.forget(now.Add(-mostHeld))
	}
	if len(p.used) < keptParts {
		p.used[part] = now
	}
}

// forget drops parts that were last used before a time.
func (p *parts) forget(before time.Time) {
	for part, at := range p.used {
		if at.Before(before) {
			delete(p.used, part)
		}
	}
}

// useOwn notes a use by this instance.
func (p *parts) useOwn(now time.Time, c *Call) {
	for _, x := range c.chain() {
		if x.Tokens >= leastPart {
			p.use(now, keyOf(x.ID))
			p.own = append(p.own, partUse{keyOf(x.ID), now})
		}
	}
}

// recent returns the parts that this instance has used lately.
func (p *parts) recent(now time.Time) []partKey {
	first := 0
	for first < len(p.own) && now.Sub(p.own[first].at) > usesWindow {
		first++
	}
	p.own = p.own[first:]
	if len(p.own) == 0 {
		return nil
	}
	out := make([]partKey, 0, len(p.own))
	for _, u := range p.own {
		out = append(out, u.part)
	}
	return out
}

// holds reports whether the server still keeps a part.
func (p *parts) holds(now time.Time, part partKey, held time.Duration) bool {
	at, known := p.used[part]
	return known && now.Sub(at) < held
}

// missing returns how many tokens of a chain of parts the server has to read. A part
// is of use only with all parts before it.
func (p *parts) missing(now time.Time, chain []Part, held time.Duration) int {
	missing := 0
	for _, x := range chain {
		if missing > 0 || x.Tokens >= leastPart && !p.holds(now, keyOf(x.ID), held) {
			missing += x.Tokens
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
	rates := b.rates(now, p, poolName)
	p.held = p.heldTime(rates)
	p.use = p.longUse(rates)
	p.seasoned = !b.since.IsZero() && now.Sub(b.since) >= seasonTime
}

// longUse returns the part of the long side's reading that what arrives there asks
// for.
func (p *pool) longUse(rates Rates) float64 {
	engines := 0
	for _, s := range p.servers {
		if s.long {
			engines++
		}
	}
	if engines == 0 {
		return 0
	}
	return rates.Long * (1 + p.stretch.beyond) / (p.speed.value() * float64(engines))
}

// heldTime estimates how long an engine of the pool keeps a part after its last
// use: until as much was written as its memory holds beside what runs.
func (p *pool) heldTime(rates Rates) time.Duration {
	running, engines := 0, 0
	for _, s := range p.servers {
		if s.long {
			running += s.load().Memory
			engines++
		}
	}
	if p.memory == 0 || engines == 0 {
		return leastHeld
	}
	perEngine := float64(p.memory) - float64(running)/float64(engines)
	written := rates.Long / float64(engines)
	if written <= 0 {
		return mostHeld
	}
	held := time.Duration(heldShare * perEngine / written * float64(time.Second))
	return max(leastHeld, min(mostHeld, held))
}

// heldShare covers engines that write more than the usual one.
const heldShare = 1.0

// busyUse is the use of the long side's reading from which a long prompt goes only
// where its shared parts are kept. Elsewhere they would have to be read again, which
// is as much work as another call: each call that leaves its home then makes more
// leave theirs. With 64 instances and 90 engines a fifth to a half of the prompts
// were read whole on a day without faults.
const busyUse = 0.85

// keepToHolders leaves a long prompt the engines that keep its shared parts, or the
// home of the last one where nobody does, while the long side has no reading to
// spare.
func (p *pool) keepToHolders(now time.Time, c Call, list []*server) []*server {
	if p.use < busyUse || c.Tokens < LongPrompt || !c.followed() {
		return list
	}
	var holders []*server
	for _, s := range list {
		if s.parts.missing(now, c.chain(), p.held) == 0 {
			holders = append(holders, s)
		}
	}
	if len(holders) == 0 {
		return []*server{home(c.Home, list)}
	}
	return holders
}

// unreadAt estimates the tokens that a server must read for the call. home: it is
// the first in the ranking of the call's last shared part, where a part that this
// instance has not seen in use may be all the same; known: some server of the pool
// is known to keep the part.
func (p *pool) unreadAt(now time.Time, s *server, c Call, home, known bool) float64 {
	if !c.followed() {
		if home {
			return float64(c.Unshared)
		}
		return float64(c.Tokens)
	}
	missing := float64(s.parts.missing(now, c.chain(), p.held))
	if !known && home && !p.seasoned {
		missing *= youngReread
	}
	return float64(c.Unshared) + missing
}

// keeps reports whether some server of the pool is known to keep the call's shared
// parts.
func (p *pool) keeps(now time.Time, c Call) bool {
	if !c.followed() {
		return false
	}
	key := keyOf(c.Home)
	return slices.ContainsFunc(p.servers, func(s *server) bool { return s.parts.holds(now, key, p.held) })
}
