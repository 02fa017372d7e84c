package balance

import (
	"slices"
	"time"
)

// Limits of the learned pace.
const (
	// paceBuckets of paceBucket each are looked back: longer than a burst, in which
	// every stream is slowed by the prompts that its engine reads meanwhile.
	paceBuckets = 4
	paceBucket  = 8 * time.Second
	// leastEvents is how many events a stream must have to tell the pace.
	leastEvents = 8
	// leastOfUsual bounds an observation against the pool's usual one: events that
	// were held up on the way arrive all at once.
	leastOfUsual = 0.5
	// usualWeight is the weight of an observation in the pool's usual one.
	usualWeight = 0.02
	// slowest bounds the slowness.
	slowest = 1.5
	// pacePeriod is how often slowness is computed anew.
	pacePeriod = 500 * time.Millisecond
	// slowFrom is the pace, against the pool's middle one, from which an engine is slow,
	// fastUpTo the one up to which it is so no more. Slow engines take long prompts
	// first: where they read prompts without a pause, their events come too late
	// for a chat.
	slowFrom = 1.18
	fastUpTo = 1.1
)

// pace is the time from one event of a stream to the next at one engine that
// reads few prompts meanwhile: the least that its streams have shown lately.
type pace struct {
	perEvent time.Duration
	least    [paceBuckets]time.Duration
	bucket   int64
}

func (p *pace) observe(now time.Time, seen time.Duration) {
	p.advance(now)
	at := &p.least[p.bucket%paceBuckets]
	if *at == 0 || seen < *at {
		*at = seen
	}
	p.perEvent = 0
	for _, x := range p.least {
		if x > 0 && (p.perEvent == 0 || x < p.perEvent) {
			p.perEvent = x
		}
	}
}

func (p *pace) advance(now time.Time) {
	bucket := now.UnixNano() / int64(paceBucket)
	if bucket-p.bucket >= paceBuckets {
		p.least = [paceBuckets]time.Duration{}
		p.bucket = bucket
	}
	for ; p.bucket < bucket; p.bucket++ {
		p.least[(p.bucket+1)%paceBuckets] = 0
	}
}

// Streamed notes the times between the events of a whole stream that a server has
// sent. It sorts them.
func (b *Balancer) Streamed(now time.Time, t *Ticket, gaps []time.Duration) {
	s := b.servers[t.server]
	if s == nil {
		return
	}
	if t.long() {
		b.pool(s.Pool).streams.noteEnd(len(gaps))
	}
	if len(gaps) < leastEvents {
		return
	}
	slices.Sort(gaps)
	seen := gaps[len(gaps)/4]
	p := b.pool(s.Pool)
	p.usual = smooth(p.usual, seen, usualWeight)
	b.touch(s)
	s.pace.observe(now, max(seen, time.Duration(leastOfUsual*float64(p.usual))))
}

// perEvent is an engine's pace as all instances know it; zero when unknown.
func (b *Balancer) perEvent(s *server) time.Duration {
	sum := s.ownRow().EventInterval
	sum.Add(s.others.EventInterval)
	if sum.Instances == 0 {
		return 0
	}
	return time.Duration(sum.Microseconds/sum.Instances) * time.Microsecond
}

// refreshPaces computes each engine's slowness once for many placements: its
// pace against the middle one of its pool, 1 when unknown. The middle one is not
// moved by a single odd measurement, as the best one is.
func (b *Balancer) refreshPaces(now time.Time) {
	if now.Sub(b.pacedAt) < pacePeriod {
		return
	}
	b.pacedAt = now
	for _, p := range b.pools {
		b.comparePaces(p)
	}
}

func (b *Balancer) comparePaces(p *pool) {
	paces := make([]time.Duration, len(p.servers))
	var known []time.Duration
	for i, s := range p.servers {
		paces[i] = b.perEvent(s)
		if paces[i] > 0 {
			known = append(known, paces[i])
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	middle := known[(len(known)-1)/2]
	for i, s := range p.servers {
		s.slowness = max(1, min(slowest, float64(paces[i])/float64(middle)))
		switch {
		case s.slowness >= slowFrom:
			s.slow = true
		case s.slowness <= fastUpTo:
			s.slow = false
		}
	}
}
