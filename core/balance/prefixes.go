package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomwick.example/core/counts"
)

// Parameters of the estimate of cached prefixes.
const (
	// minTrackedTokens is the Prefix.Tokens from which a shared prefix is tracked.
	// Processing fewer tokens again takes an engine only some milliseconds.
	minTrackedTokens = 1000
	// minCacheLifetime and maxCacheLifetime bound the time for which a prefix is assumed
	// to be cached after its last use. On a fully used long side, the engine with the
	// smallest KV cache (217,000 tokens) overwrites it in 12 s; with a minimum of
	// 2 s, cached prefixes were processed again elsewhere in the first seconds of a burst.
	minCacheLifetime = 12 * time.Second
	maxCacheLifetime = time.Minute
	// cacheViewDelay is how long an instance must have received all prefix uses before
	// it treats an unseen prefix as not cached anywhere. Until then, it assumes a miss
	// share of warmupMissShare for such a prefix on its home server.
	cacheViewDelay  = 8 * time.Second
	warmupMissShare = 0.2
	// maxTrackedPrefixes bounds the number of prefixes tracked per server.
	maxTrackedPrefixes = 4096
)

// prefixKey is the hash of a shared prefix's ID.
type prefixKey = counts.PrefixKey

func keyOf(id string) prefixKey { return prefixKey(xxhash.Sum64String(id)) }

// prefixCache estimates which shared prefixes a server has cached, from the time of their
// last use. Engines report their cache contents only on request and with a delay, but
// the instances that place calls know what each engine was sent.
type prefixCache struct {
	used map[prefixKey]time.Time
}

// recordUse records that a call with the prefix was sent to the server. It reports
// whether the use is to be announced to other instances.
func (p *prefixCache) recordUse(now time.Time, prefix prefixKey) bool {
	if p.used == nil {
		p.used = map[prefixKey]time.Time{}
	}
	if len(p.used) >= maxTrackedPrefixes {
		p.expire(now.Add(-maxCacheLifetime))
	}
	before, known := p.used[prefix]
	if known || len(p.used) < maxTrackedPrefixes {
		p.used[prefix] = now
	}
	return !known || now.Sub(before) >= reannouncePeriod
}

// expire removes prefixes that were last used before the given time.
func (p *prefixCache) expire(before time.Time) {
	for prefix, at := range p.used {
		if at.Before(before) {
			delete(p.used, prefix)
		}
	}
}

// recordUses records that this instance sent a call with these prefixes to a server.
func (b *Balancer) recordUses(now time.Time, s *server, prefixes []hashedPrefix) {
	for _, x := range prefixes {
		if x.tokens < minTrackedTokens {
			continue
		}
		b.pool(s.Pool).recordHolder(x.key, s)
		if s.cache.recordUse(now, x.key) {
			b.uses.add(now, nil, counts.Use{Server: s.ID, Prefix: x.key})
		}
	}
}

// holds reports whether the server is expected to have a prefix cached.
func (p *prefixCache) holds(now time.Time, prefix prefixKey, lifetime time.Duration) bool {
	at, known := p.used[prefix]
	return known && now.Sub(at) < lifetime
}

// missing returns how many of the prefixes' tokens the server has to process. A cached
// prefix is usable only if all shorter ones are cached.
func (p *prefixCache) missing(now time.Time, prefixes []hashedPrefix, lifetime time.Duration) int {
	missing := 0
	for _, x := range prefixes {
		if missing > 0 || x.tokens >= minTrackedTokens && !p.holds(now, x.key, lifetime) {
			missing += x.tokens
		}
	}
	return missing
}

// tracksCache reports whether the call's shared prefixes are long enough to be tracked.
func (c *Call) tracksCache() bool { return c.AffinityKey != "" && c.shared() >= minTrackedTokens }

// shared returns the number of prompt tokens that other calls share.
func (c *Call) shared() int { return c.Tokens - c.Unshared }

// refreshPool updates the state of a pool that is derived from arrivals.
func (b *Balancer) refreshPool(now time.Time, p *pool, poolName string) {
	b.longSide(now, poolName)
	rates := b.rates(now, p, poolName)
	engines, kvTokens := p.longSideUsage()
	p.cacheLifetime = p.estimateCacheLifetime(rates, engines, kvTokens)
	p.longLoad = p.longUtilization(rates, engines)
	p.cacheViewComplete = !b.exchangeSince.IsZero() && now.Sub(b.exchangeSince) >= cacheViewDelay
}

// longSideUsage returns the number of engines on the long side and the KV tokens of the
// calls there.
func (p *pool) longSideUsage() (engines, kvTokens int) {
	for _, s := range p.servers {
		if s.long {
			engines++
			kvTokens += s.load().KVTokens
		}
	}
	return engines, kvTokens
}

// longUtilization returns the prefill demand on the long side as a fraction of its
// capacity.
func (p *pool) longUtilization(rates ArrivalRates, engines int) float64 {
	if engines == 0 {
		return 0
	}
	return rates.LongTokens * (1 + p.slowdown.excess) / (p.speed.value() * float64(engines))
}

// estimateCacheLifetime estimates how long an engine of the pool caches a prefix after
// its last use: until the KV cache that the calls on the long side do not occupy has been
// overwritten.
func (p *pool) estimateCacheLifetime(rates ArrivalRates, engines, kvTokens int) time.Duration {
	if p.kvTokens == 0 || engines == 0 {
		return minCacheLifetime
	}
	unoccupied := float64(p.kvTokens) - float64(kvTokens)/float64(engines)
	written := rates.LongTokens / float64(engines)
	if written <= 0 {
		return maxCacheLifetime
	}
	lifetime := time.Duration(unoccupied / written * float64(time.Second))
	return max(minCacheLifetime, min(maxCacheLifetime, lifetime))
}

// busyUtilization is the long side's utilization from which a long prompt is sent only
// to servers that have its shared prefixes cached. Elsewhere they would be processed
// again, which costs as much as another call, so each call that leaves its home makes
// more calls leave theirs. With 64 instances and 90 engines, a fifth to a half of all
// prompts were processed in full on a day without faults.
const busyUtilization = 0.85

// filterHolders restricts a long prompt to the servers that have its shared prefixes
// cached, or to its home server if there are none, while the long side has no spare
// prefill capacity.
func (p *pool) filterHolders(now time.Time, c request, list []*server) []*server {
	if p.longLoad < busyUtilization || c.Tokens < LongPromptTokens || !c.tracksCache() {
		return list
	}
	var holders []*server
	for _, s := range list {
		if s.cache.missing(now, c.prefixes, p.cacheLifetime) == 0 {
			holders = append(holders, s)
		}
	}
	if len(holders) == 0 {
		return []*server{rendezvousFirst(c.AffinityKey, list)}
	}
	return holders
}

// request is a call with the data about its shared prefixes that is the same for all
// servers.
type request struct {
	Call
	prefixes []hashedPrefix
	// cached is set if some server of the pool is known to have the longest prefix cached.
	cached bool
}

// hashedPrefix is a Prefix with the hash of its ID.
type hashedPrefix struct {
	key    prefixKey
	tokens int
}

func (p *pool) request(now time.Time, c Call) request {
	r := request{Call: c}
	if !c.tracksCache() {
		return r
	}
	for _, x := range c.prefixes() {
		r.prefixes = append(r.prefixes, hashedPrefix{keyOf(x.ID), x.Tokens})
	}
	r.cached = p.cachedAnywhere(now, r.prefixes[len(r.prefixes)-1].key)
	return r
}

// cachedAnywhere reports whether some server of the pool is known to have a prefix
// cached. The latest holder is checked first, because checking 2,000 servers takes
// 0.2 ms.
func (p *pool) cachedAnywhere(now time.Time, prefix prefixKey) bool {
	holds := func(s *server) bool { return s.cache.holds(now, prefix, p.cacheLifetime) }
	if s := p.latestHolder[prefix]; s != nil && s.slot != noSlot && holds(s) {
		return true
	}
	return slices.ContainsFunc(p.servers, holds)
}

// maxHolders bounds the number of prefixes in pool.latestHolder.
const maxHolders = 4 * maxTrackedPrefixes

// recordHolder records the server that most recently received a prefix.
func (p *pool) recordHolder(prefix prefixKey, s *server) {
	if p.latestHolder == nil || len(p.latestHolder) >= maxHolders {
		p.latestHolder = map[prefixKey]*server{}
	}
	p.latestHolder[prefix] = s
}

// prefillTokens estimates the tokens that a server has to process for the call. home
// is set for the first server in the ranking of the longest shared prefix, which may have
// the prefix cached even if this instance has seen no use of it.
func (p *pool) prefillTokens(now time.Time, s *server, c request, home bool) float64 {
	if !c.tracksCache() {
		if home {
			return float64(c.Unshared)
		}
		return float64(c.Tokens)
	}
	missing := float64(s.cache.missing(now, c.prefixes, p.cacheLifetime))
	if !c.cached && home && !p.cacheViewComplete {
		missing *= warmupMissShare
	}
	return float64(c.Unshared) + missing
}
