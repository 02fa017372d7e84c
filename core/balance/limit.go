package balance

import (
	"math"
	"slices"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/ratelimit"
)

// limited is what is known of a server's request limit.
type limited struct {
	ratelimit.Announced
	bucket ratelimit.Bucket
	// from told of it; nil when this instance has read it in an answer.
	from *peer
	// sent counts this instance's requests to the server since it named a limit.
	sent int
}

// LimitChange is a server's limit that has become known.
type LimitChange struct {
	Server, Pool string
	ratelimit.Limit
	// From is the instance that told of it, "" when this one has read it in an answer.
	From string
}

// mostLimitChanges bounds the changes that wait to be logged.
const mostLimitChanges = 256

// LimitChanges returns what has changed since it was last called.
func (b *Balancer) LimitChanges() []LimitChange {
	out := b.limitChanges
	b.limitChanges = nil
	return out
}

// HeardLimit takes what an answer of a server says of its request rate.
func (b *Balancer) HeardLimit(now time.Time, id string, l ratelimit.Limit) {
	s := b.servers[id]
	if s == nil || !l.Limited && s.limit.Since.IsZero() {
		return // most servers never name one
	}
	if s.limit.Observe(now, l) {
		b.limitChanged(now, s, nil)
	}
}

// takeLimits takes what other instances have read.
func (b *Balancer) takeLimits(now time.Time, from *peer, list []counts.Limit) {
	for _, l := range list {
		if s := b.servers[l.Server]; s != nil && s.limit.Merge(now, l.Limit, l.Age) {
			b.limitChanged(now, s, from)
		}
	}
}

// limitChanged follows a server's new word, told by a peer or read in an answer: nil.
func (b *Balancer) limitChanged(now time.Time, s *server, from *peer) {
	s.limit.from = from
	switch {
	case !s.limit.Limited:
		s.limit.bucket = ratelimit.Bucket{}
	case s.limit.bucket == ratelimit.Bucket{}:
		s.limit.bucket = ratelimit.NewBucket(now, b.drawn(s.ID))
		s.limit.sent = 0
	}
	b.touch(s)
	if len(b.limitChanges) < mostLimitChanges {
		c := LimitChange{Server: s.ID, Pool: s.Pool, Limit: s.limit.Limit}
		if from != nil {
			c.From = from.name
		}
		b.limitChanges = append(b.limitChanges, c)
	}
}

// drawn returns a number from [0, 1) that differs from instance to instance and from
// start to start.
func (b *Balancer) drawn(server string) float64 {
	return float64(score(b.name, server)^uint64(b.firstStream)<<32) / math.MaxUint64
}

// limitRates returns what tells the requests a second that this instance may send to each
// limited server of a pool. Nothing is computed where no server is limited.
func (b *Balancer) limitRates(now time.Time, poolName string) func(s *server) float64 {
	share := -1.0
	return func(s *server) float64 {
		if share < 0 {
			share = b.limitShare(now, poolName)
		}
		return s.limit.Rate(share)
	}
}

// limitShare is this instance's part of the limits of a pool's servers.
func (b *Balancer) limitShare(now time.Time, poolName string) float64 {
	p := b.pool(poolName)
	k := ratelimit.CallRates{Own: p.calls.rate(now), Instances: b.instances}
	for _, x := range b.peers {
		if x.fresh(now) {
			k.OthersKnown = true
			k.Others += x.rates[poolName].Calls
		}
	}
	return p.limitShare.Of(now, k)
}

// withTokens leaves out the limited servers that this instance may send nothing to now,
// and with leaveLimited all limited ones. It takes them out of the list itself.
func (b *Balancer) withTokens(now time.Time, poolName string, list []*server, leaveLimited bool) []*server {
	rate := b.limitRates(now, poolName)
	return slices.DeleteFunc(list, func(s *server) bool {
		return s.limit.Limited && (leaveLimited || s.limit.bucket.TimeUntil(now, rate(s)) > 0)
	})
}

// unconfirmed lists the servers whose limits were not heard lately. They get the next call
// that has a token: placement prefers others for seconds at times, and a limit that has
// ended would keep a server from work when the others can't take it any more.
func unconfirmed(now time.Time, list []*server) []*server {
	var out []*server
	for _, s := range list {
		if s.limit.Stale(now) {
			out = append(out, s)
		}
	}
	return out
}

// takeToken takes a token of a limited server.
func (b *Balancer) takeToken(now time.Time, s *server) {
	if s.limit.Limited {
		s.limit.bucket.Take(now, b.limitRates(now, s.Pool)(s))
		s.limit.sent++
	}
}

// begunToken is the part of a token that is begun at a server on average, and of no use
// until it is whole.
const begunToken = 0.5

// TokenIn returns how long it takes until one of a pool's limited servers takes a call
// before which others wait, ahead in number. limited is false when there are none, other
// than the excluded ones.
func (b *Balancer) TokenIn(now time.Time, poolName string, exclude func(id string) bool, ahead int) (wait time.Duration, limited bool) {
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
		tokens += s.limit.bucket.Tokens(now, r) - begunToken
		soonest = min(soonest, s.limit.bucket.TimeUntil(now, r))
	}
	if ahead == 0 || !limited {
		return soonest, limited
	}
	return max(soonest, ratelimit.RefillTime(float64(1+ahead)-tokens, all)), true
}
