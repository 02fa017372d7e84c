package balance

import (
	"slices"
	"time"
)

// Pace estimation parameters.
const (
	// paceBuckets of length paceBucket form the observation window. It must be longer
	// than a burst, during which every stream is slowed by the prompts that its engine
	// processes.
	paceBuckets = 4
	paceBucket  = 8 * time.Second
	// minStreamEvents is the number of events a stream must have to be used.
	minStreamEvents = 8
	// minIntervalRatio bounds an observation from below, relative to the pool's usual
	// interval: events delayed in transit arrive all at once.
	minIntervalRatio = 0.5
	// intervalWeight is the weight of an observation in the pool's usual interval.
	intervalWeight = 0.02
	maxSlowness    = 1.5
	// pacePeriod is the interval at which slowness is recomputed.
	pacePeriod = 500 * time.Millisecond
	// slowThreshold is the slowness at which an engine becomes slow, and fastThreshold
	// the one at which it ceases to be. Slow engines take long prompts first: while
	// they process prompts continuously, their events are too late for a chat.
	slowThreshold = 1.18
	fastThreshold = 1.1
)

// pace estimates the time between two events of a stream on an engine with little
// prefill running: the minimum observed in the window.
type pace struct {
	perEvent time.Duration
	minima   [paceBuckets]time.Duration
	bucket   int64
}

func (p *pace) observe(now time.Time, seen time.Duration) {
	p.advance(now)
	at := &p.minima[p.bucket%paceBuckets]
	if *at == 0 || seen < *at {
		*at = seen
	}
	p.perEvent = 0
	for _, x := range p.minima {
		if x > 0 && (p.perEvent == 0 || x < p.perEvent) {
			p.perEvent = x
		}
	}
}

func (p *pace) advance(now time.Time) {
	bucket := now.UnixNano() / int64(paceBucket)
	if bucket-p.bucket >= paceBuckets {
		p.minima = [paceBuckets]time.Duration{}
		p.bucket = bucket
	}
	for ; p.bucket < bucket; p.bucket++ {
		p.minima[(p.bucket+1)%paceBuckets] = 0
	}
}

// RecordStream records the gaps between the events of a complete stream. It sorts
// gaps.
func (b *Balancer) RecordStream(now time.Time, t *Ticket, gaps []time.Duration) {
	s := b.servers[t.server]
	if s == nil {
		return
	}
	if t.long() {
		b.pool(s.Pool).streams.observeLength(len(gaps))
	}
	if len(gaps) < minStreamEvents {
		return
	}
	slices.Sort(gaps)
	seen := gaps[len(gaps)/4]
	p := b.pool(s.Pool)
	p.usualInterval = ewma(p.usualInterval, seen, intervalWeight)
	b.markChanged(s)
	s.pace.observe(now, max(seen, time.Duration(minIntervalRatio*float64(p.usualInterval))))
}

// perEvent returns an engine's pace averaged over all instances; zero if unknown.
func (b *Balancer) perEvent(s *server) time.Duration {
	sum := s.ownRow().EventInterval
	sum.Add(s.peerRow.EventInterval)
	if sum.Instances == 0 {
		return 0
	}
	return time.Duration(sum.Microseconds/sum.Instances) * time.Microsecond
}

// refreshPaces periodically recomputes each engine's slowness, the ratio of its pace
// to the median of its pool; 1 if unknown. Unlike the minimum, the median is not
// affected by a single outlier.
func (b *Balancer) refreshPaces(now time.Time) {
	if now.Sub(b.pacesComparedAt) < pacePeriod {
		return
	}
	b.pacesComparedAt = now
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
	median := known[(len(known)-1)/2]
	for i, s := range p.servers {
		s.slowness = max(1, min(maxSlowness, float64(paces[i])/float64(median)))
		switch {
		case s.slowness >= slowThreshold:
			s.slow = true
		case s.slowness <= fastThreshold:
			s.slow = false
		}
	}
}
