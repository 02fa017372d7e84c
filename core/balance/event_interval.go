package balance

import (
	"slices"
	"time"
)

// Event interval estimation parameters.
const (
	// intervalBuckets of length intervalBucket form the observation window, which must be
	// longer than a burst, during which every stream is slowed by the prompts that its engine
	// processes.
	intervalBuckets = 4
	intervalBucket  = 8 * time.Second
	// minStreamEvents is the number of events a stream must have to be used.
	minStreamEvents = 8
	// minIntervalRatio bounds an observation from below, relative to the pool's mean event
	// interval: events delayed in transit arrive all at the same time.
	minIntervalRatio = 0.5
	// intervalWeight is the weight of an observation in the pool's mean event
	// interval.
	intervalWeight = 0.02
	maxSlowness    = 1.5
	// slownessPeriod is the period at which slowness is recomputed.
	slownessPeriod = 500 * time.Millisecond
	// slowThreshold is the slowness at which an engine becomes slow, and fastThreshold
	// the one at which it ceases to be. Slow engines take long prompts first: while
	// they process prompts continuously, their events are too late for a chat.
	slowThreshold = 1.18
	fastThreshold = 1.1
)

// eventInterval estimates the time between two events of a stream on an engine with
// little prefill running: the minimum observed in the window.
type eventInterval struct {
	minimum time.Duration
	minima  [intervalBuckets]time.Duration
	bucket  int64
}

func (e *eventInterval) observe(now time.Time, seen time.Duration) {
	e.advance(now)
	at := &e.minima[e.bucket%intervalBuckets]
	if *at == 0 || seen < *at {
		*at = seen
	}
	e.minimum = 0
	for _, x := range e.minima {
		if x > 0 && (e.minimum == 0 || x < e.minimum) {
			e.minimum = x
		}
	}
}

func (e *eventInterval) advance(now time.Time) {
	bucket := now.UnixNano() / int64(intervalBucket)
	if bucket-e.bucket >= intervalBuckets {
		e.minima = [intervalBuckets]time.Duration{}
		e.bucket = bucket
	}
	for ; e.bucket < bucket; e.bucket++ {
		e.minima[(e.bucket+1)%intervalBuckets] = 0
	}
}

// RecordStream records the event intervals of a complete stream. It sorts intervals.
func (b *Balancer) RecordStream(now time.Time, t *Ticket, intervals []time.Duration) {
	s := b.servers[t.server]
	if s == nil {
		return
	}
	if t.long() {
		b.pool(s.Pool).streams.observeEvents(len(intervals))
	}
	if len(intervals) < minStreamEvents {
		return
	}
	slices.Sort(intervals)
	seen := intervals[len(intervals)/4]
	p := b.pool(s.Pool)
	p.meanEventInterval = ewma(p.meanEventInterval, seen, intervalWeight)
	b.markChanged(s)
	s.eventInterval.observe(now, max(seen, time.Duration(minIntervalRatio*float64(p.meanEventInterval))))
}

// eventInterval returns an engine's event interval averaged over all instances; zero if
// unknown.
func (b *Balancer) eventInterval(s *server) time.Duration {
	sum := s.ownRow().EventInterval
	sum.Add(s.peerRow.EventInterval)
	if sum.Instances == 0 {
		return 0
	}
	return time.Duration(sum.Microseconds/sum.Instances) * time.Microsecond
}

// refreshSlowness periodically recomputes each engine's slowness, the ratio of its event
// interval to the median of its pool; 1 if unknown. Unlike the minimum, the median is not
// affected by a single outlier.
func (b *Balancer) refreshSlowness(now time.Time) {
	if now.Sub(b.slownessUpdatedAt) < slownessPeriod {
		return
	}
	b.slownessUpdatedAt = now
	for _, p := range b.pools {
		b.updateSlowness(p)
	}
}

func (b *Balancer) updateSlowness(p *pool) {
	intervals := make([]time.Duration, len(p.servers))
	var known []time.Duration
	for i, s := range p.servers {
		intervals[i] = b.eventInterval(s)
		if intervals[i] > 0 {
			known = append(known, intervals[i])
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	for i, s := range p.servers {
		s.slowness = max(1, min(maxSlowness, float64(intervals[i])/float64(median)))
		switch {
		case s.slowness >= slowThreshold:
			s.slow = true
		case s.slowness <= fastThreshold:
			s.slow = false
		}
	}
}
