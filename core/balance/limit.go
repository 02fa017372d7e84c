package balance

import (
	"math"
	"slices"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/rendezvous"
)

// limitState is the known request limit of a server.
type limitState struct {
	ratelimit.Announced
	bucket ratelimit.Bucket
	// from is the peer that reported the limit; nil if this instance received it from
	// the server.
	from *peer
	// sent counts this instance's requests to the server since it announced a limit.
	sent int
}

// LimitChange is a change of a server's request limit.
type LimitChange struct {
	Server, Pool string
	ratelimit.Limit
	// From is the instance that reported the limit, or "" if this instance received it
	// from the server.
	From string
}

// maxLimitChanges bounds the number of changes buffered for LimitChanges.
const maxLimitChanges = 256

// LimitChanges returns the changes since the previous call.
func (b *Balancer) LimitChanges() []LimitChange {
	out := b.limitChanges
	b.limitChanges = nil
	return out
}

// RecordLimit records the request limit announced in an answer of a server.
func (b *Balancer) RecordLimit(now time.Time, id string, l ratelimit.Limit) {
	s := b.servers[id]
	if s == nil || !l.Limited && s.limit.Since.IsZero() {
		return // most servers never announce a limit
	}
	if s.limit.Observe(now, l) {
		b.noteLimitChange(now, s, nil)
	}
}

// mergeLimits applies limits reported by another instance.
func (b *Balancer) mergeLimits(now time.Time, from *peer, list []counts.Limit) {
	for _, l := range list {
		if s := b.servers[l.Server]; s != nil && s.limit.Merge(now, l.Limit, l.Age) {
			b.noteLimitChange(now, s, from)
		}
	}
}

// noteLimitChange updates the token bucket after a change of a server's limit. from is
// the reporting peer, or nil if the server announced it to this instance.
func (b *Balancer) noteLimitChange(now time.Time, s *server, from *peer) {
	s.limit.from = from
	switch {
	case !s.limit.Limited:
		s.limit.bucket = ratelimit.Bucket{}
	case s.limit.bucket == ratelimit.Bucket{}:
		s.limit.bucket = ratelimit.NewBucket(now, b.bucketPhase(s.ID))
		s.limit.sent = 0
	}
	b.markChanged(s)
	if len(b.limitChanges) < maxLimitChanges {
		c := LimitChange{Server: s.ID, Pool: s.Pool, Limit: s.limit.Limit}
		if from != nil {
			c.From = from.name
		}
		b.limitChanges = append(b.limitChanges, c)
	}
}

// bucketPhase returns the initial fill of a token bucket, from [0, 1). It differs
// between instances and between starts of an instance, so that their tokens do not
// become available at the same time.
func (b *Balancer) bucketPhase(server string) float64 {
	return float64(rendezvous.Score(b.name, server)^uint64(b.firstStream)<<32) / math.MaxUint64
}

// limitRates returns a function that computes the requests per second this instance
// may send to a limited server of the pool. Pools without limits cost nothing.
func (b *Balancer) limitRates(now time.Time, poolName string) func(s *server) float64 {
	share := b.lazyShare(now, poolName)
	return func(s *server) float64 { return s.limit.Rate(share()) }
}

// lazyShare returns a function that computes this instance's share of the pool's requests on
// first use.
func (b *Balancer) lazyShare(now time.Time, poolName string) func() float64 {
	share := -1.0
	return func() float64 {
		if share < 0 {
			share = b.limitShare(now, poolName)
		}
		return share
	}
}

// limitShare returns this instance's share of the request limits of a pool's servers.
func (b *Balancer) limitShare(now time.Time, poolName string) float64 {
	p := b.pool(poolName)
	k := ratelimit.CallRates{Own: p.calls.rate(now), Instances: b.instances}
	for _, x := range b.peers {
		if x.fresh(now) {
			k.OthersKnown = true
			k.Others += x.rates[poolName].CallsPerSecond
		}
	}
	return p.limitShare.Of(now, k)
}

// filterLimited removes limited servers without an available token, or all limited
// servers if skipLimited is set. It modifies the list in place.
func (b *Balancer) filterLimited(now time.Time, poolName string, list []*server, skipLimited bool) []*server {
	rate := b.limitRates(now, poolName)
	return slices.DeleteFunc(list, func(s *server) bool {
		return s.limit.Limited && (skipLimited || s.limit.bucket.TimeUntil(now, rate(s)) > 0)
	})
}

// unconfirmed returns the servers whose limits were not confirmed recently. They get
// the next call that has a token. Otherwise, while placement prefers other servers, a
// limit that has ended would not be noticed, and the server would stay unused when the
// others run out of capacity.
func unconfirmed(now time.Time, list []*server) []*server {
	var out []*server
	for _, s := range list {
		if s.limit.Stale(now) {
			out = append(out, s)
		}
	}
	return out
}

// takeToken consumes a token if the server is limited.
func (b *Balancer) takeToken(now time.Time, s *server) {
	if s.limit.Limited {
		s.limit.bucket.Take(now, b.limitRates(now, s.Pool)(s))
		s.limit.sent++
	}
}

// partialToken is the average fraction of a token in a bucket that cannot be used
// until the token is complete.
const partialToken = 0.5

// TokenWait estimates how long a call has to wait for a limited server of the pool
// when ahead calls are queued before it. limited is false if there is no limited
// server other than the excluded ones.
func (b *Balancer) TokenWait(now time.Time, poolName string, exclude func(s *fleet.Server) bool, ahead int) (wait time.Duration, limited bool) {
	rate := b.limitRates(now, poolName)
	var all, tokens float64
	soonest := time.Duration(math.MaxInt64)
	for _, s := range usable(now, b.pool(poolName).servers, exclude) {
		if !s.limit.Limited {
			continue
		}
		limited = true
		r := rate(s)
		all += r
		tokens += s.limit.bucket.Tokens(now, r) - partialToken
		soonest = min(soonest, s.limit.bucket.TimeUntil(now, r))
	}
	if ahead == 0 || !limited {
		return soonest, limited
	}
	return max(soonest, ratelimit.RefillTime(float64(1+ahead)-tokens, all)), true
}
