package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomwick.example/core/counts"
)

// Parameters of the estimate of cached parts.
const (
	// minTrackedTokens is the length from which shared parts are tracked. Processing a
	// shorter part again takes an engine only some milliseconds.
	minTrackedTokens = 1000
	// minCacheLifetime and maxCacheLifetime bound the time for which a part is assumed
	// to be cached after its last use. On a fully used long side, the engine with the
	// least memory (217,000 tokens) overwrites its cache in 12 s; with a minimum of
	// 2 s, cached parts were processed again elsewhere in the first seconds of a burst.
	minCacheLifetime = 12 * time.Second
	maxCacheLifetime = time.Minute
	// cacheViewDelay is how long an instance must have received all part uses before
	// it treats an unseen part as not cached anywhere. Until then, it assumes a miss
	// share of warmupMissShare for such a part on its home server.
	cacheViewDelay  = 8 * time.Second
	warmupMissShare = 0.2
	// maxTrackedParts bounds the number of parts tracked per server.
	maxTrackedParts = 4096
)

// partKey is the hash of a shared part's ID.
type partKey = counts.PrefixKey

func keyOf(id string) partKey { return partKey(xxhash.Sum64String(id)) }

// partCache estimates which shared parts a server has cached, from the time of their
// last use. Engines report their cache contents only on request and with a delay, but
// the instances that place calls know what each engine was sent.
type partCache struct {
	used map[partKey]time.Time
}

// recordUse records that a call with the part was sent to the server. It reports
// whether the use is to be announced to other instances.
func (p *partCache) recordUse(now time.Time, part partKey) bool {
	if p.used == nil {
		p.used = map[partKey]time.Time{}
	}
	if len(p.used) >= maxTrackedParts {
		p.expire(now.Add(-maxCacheLifetime))
	}
	before, known := p.used[part]
	if known || len(p.used) < maxTrackedParts {
		p.used[part] = now
	}
	return !known || now.Sub(before) >= reannouncePeriod
}

// expire removes parts that were last used before the given time.
func (p *partCache) expire(before time.Time) {
	for part, at := range p.used {
		if at.Before(before) {
			delete(p.used, part)
		}
	}
}

// recordUses records that this instance sent a call with a chain of parts to a server.
func (b *Balancer) recordUses(now time.Time, s *server, chain []hashedPart) {
	for _, x := range chain {
		if x.tokens < minTrackedTokens {
			continue
		}
		b.pool(s.Pool).recordHolder(x.key, s)
		if s.parts.recordUse(now, x.key) {
			b.uses.add(now, nil, counts.Use{Server: s.ID, Prefix: x.key})
		}
	}
}

// holds reports whether the server is expected to have a part cached.
func (p *partCache) holds(now time.Time, part partKey, lifetime time.Duration) bool {
	at, known := p.used[part]
	return known && now.Sub(at) < lifetime
}

// missing returns how many tokens of a chain of parts the server has to process. A
// cached part is usable only if all parts before it are cached.
func (p *partCache) missing(now time.Time, chain []hashedPart, lifetime time.Duration) int {
	missing := 0
	for _, x := range chain {
		if missing > 0 || x.tokens >= minTrackedTokens && !p.holds(now, x.key, lifetime) {
			missing += x.tokens
		}
	}
	return missing
}

// tracksCache reports whether the call's shared parts are long enough to be tracked.
func (c *Call) tracksCache() bool { return c.AffinityKey != "" && c.shared() >= minTrackedTokens }

// shared returns the number of prompt tokens that other calls share.
func (c *Call) shared() int { return c.Tokens - c.Unshared }

// refreshPool updates the state of a pool that is derived from arrivals.
func (b *Balancer) refreshPool(now time.Time, p *pool, poolName string) {
	b.longSide(now, poolName)
	rates := b.rates(now, p, poolName)
	engines, running := p.longSideUsage()
	p.cacheLifetime = p.estimateCacheLifetime(rates, engines, running)
	p.longLoad = p.longUtilization(rates, engines)
	p.cacheViewComplete = !b.exchangeSince.IsZero() && now.Sub(b.exchangeSince) >= cacheViewDelay
}

// longSideUsage returns the number of engines on the long side and the memory in use
// there.
func (p *pool) longSideUsage() (engines, memory int) {
	for _, s := range p.servers {
		if s.long {
			engines++
			memory += s.load().KVTokens
		}
	}
	return engines, memory
}

// longUtilization returns the prefill demand on the long side as a fraction of its
// capacity.
func (p *pool) longUtilization(rates Rates, engines int) float64 {
	if engines == 0 {
		return 0
	}
	return rates.Long * (1 + p.slowdown.excess) / (p.speed.value() * float64(engines))
}

// estimateCacheLifetime estimates how long an engine of the pool caches a part after
// its last use: until the memory not used by running calls has been overwritten.
func (p *pool) estimateCacheLifetime(rates Rates, engines, running int) time.Duration {
	if p.memory == 0 || engines == 0 {
		return minCacheLifetime
	}
	perEngine := float64(p.memory) - float64(running)/float64(engines)
	written := rates.Long / float64(engines)
	if written <= 0 {
		return maxCacheLifetime
	}
	lifetime := time.Duration(perEngine / written * float64(time.Second))
	return max(minCacheLifetime, min(maxCacheLifetime, lifetime))
}

// busyUtilization is the long side's utilization from which a long prompt is sent only
// to servers that have its shared parts cached. Elsewhere the parts would be processed
// again, which costs as much as another call, so each call that leaves its home makes
// more calls leave theirs. With 64 instances and 90 engines, a fifth to a half of all
// prompts were processed in full on a day without faults.
const busyUtilization = 0.85

// filterHolders restricts a long prompt to the servers that have its shared parts
// cached, or to its home server if there are none, while the long side has no spare
// prefill capacity.
func (p *pool) filterHolders(now time.Time, c request, list []*server) []*server {
	if p.longLoad < busyUtilization || c.Tokens < LongPromptTokens || !c.tracksCache() {
		return list
	}
	var holders []*server
	for _, s := range list {
		if s.parts.missing(now, c.parts, p.cacheLifetime) == 0 {
			holders = append(holders, s)
		}
	}
	if len(holders) == 0 {
		return []*server{rendezvousFirst(c.AffinityKey, list)}
	}
	return holders
}

// request is a call with the data about its shared parts that is the same for all
// servers.
type request struct {
	Call
	parts []hashedPart
	// cached is set if some server of the pool is known to have the last part cached.
	cached bool
}

// hashedPart is a shared part identified by its hash.
type hashedPart struct {
	key    partKey
	tokens int
}

func (p *pool) request(now time.Time, c Call) request {
	r := request{Call: c}
	if !c.tracksCache() {
		return r
	}
	for _, x := range c.chain() {
		r.parts = append(r.parts, hashedPart{keyOf(x.ID), x.Tokens})
	}
	r.cached = p.cachedAnywhere(now, r.parts[len(r.parts)-1].key)
	return r
}

// cachedAnywhere reports whether some server of the pool is known to have a part
// cached. The latest holder is checked first, because checking 2,000 servers takes
// 0.2 ms.
func (p *pool) cachedAnywhere(now time.Time, part partKey) bool {
	holds := func(s *server) bool { return s.parts.holds(now, part, p.cacheLifetime) }
	if s := p.latestHolder[part]; s != nil && s.slot != noSlot && holds(s) {
		return true
	}
	return slices.ContainsFunc(p.servers, holds)
}

// maxHolders bounds the number of parts in pool.latestHolder.
const maxHolders = 4 * maxTrackedParts

// recordHolder records the server that most recently received a part.
func (p *pool) recordHolder(part partKey, s *server) {
	if p.latestHolder == nil || len(p.latestHolder) >= maxHolders {
		p.latestHolder = map[partKey]*server{}
	}
	p.latestHolder[part] = s
}

// prefillTokens estimates the tokens that a server has to process for the call. home
// is set for the first server in the ranking of the last shared part, which may have
// the part cached even if this instance has seen no use of it.
func (p *pool) prefillTokens(now time.Time, s *server, c request, home bool) float64 {
	if !c.tracksCache() {
		if home {
			return float64(c.Unshared)
		}
		return float64(c.Tokens)
	}
	missing := float64(s.parts.missing(now, c.parts, p.cacheLifetime))
	if !c.cached && home && !p.cacheViewComplete {
		missing *= warmupMissShare
	}
	return float64(c.Unshared) + missing
}
