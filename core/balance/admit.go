package balance

import (
	"math"
	"time"
)

// Admission parameters.
const (
	// longPromptSlotFactor times its slots is the number of calls, running or queued,
	// from which an engine counts as full for long prompts. The factor exceeds 1 because
	// counts from peers are a few hundred milliseconds old.
	longPromptSlotFactor = 1.1
	// targetMargin is the fraction of a call's target that the wait for its first
	// event may take. Calls expected to take longer are queued behind those that can
	// still meet their target. The rest of the target covers stale counts and network
	// time.
	targetMargin = 0.9
	// deadlineMargin is the fraction of a call's remaining time in which its first
	// event and its stream must be expected. Otherwise the prompt would be processed
	// and the output generated in vain.
	deadlineMargin = 0.9
	// minSpareShare is the minimum fraction of prefill capacity assumed to be
	// available to late calls.
	minSpareShare = 0.1
)

// Admission is the admission decision for a long prompt.
type Admission uint8

// Admission decisions.
const (
	// InTime calls are expected to meet their target.
	InTime Admission = iota
	// Late calls are expected to miss their target but to be answered before their
	// deadline. They are queued behind calls that can still meet theirs.
	Late
	// Infeasible calls cannot be answered before their deadline.
	Infeasible
)

// String returns the name used in logs.
func (a Admission) String() string { return [...]string{"in_time", "late", "hopeless"}[a] }

// Forecast is the expected outcome of a long prompt that arrives now.
type Forecast struct {
	Admission Admission
	// First is the expected time to the first event on the best server; Stream is the
	// expected time from the first event to the end.
	First, Stream time.Duration
	// RetryAfter is the time after which a retry can be expected to meet the target.
	RetryAfter time.Duration
}

// Forecast predicts the outcome of a call whose caller waits firstLeft for the first
// event and left for the end. Short calls, and prompts of a tier above the pool's
// lowest, are always reported as in time.
//
// Bursts of long prompts can exceed the prefill capacity of all engines. While a burst
// is shorter than the time its callers allow, the queue drains in time and nothing
// needs to be refused. A call that has missed its target still has some value but must
// not delay others past theirs, so it is processed only when no call that can still be
// in time is waiting. A call that cannot finish before its deadline is refused before
// any work is spent on it.
func (b *Balancer) Forecast(now time.Time, poolName string, c Call, firstLeft, left time.Duration) Forecast {
	p := b.pool(poolName)
	if c.Tokens < LongPromptTokens || c.Tier < p.lowestTier {
		return Forecast{}
	}
	b.refreshPool(now, p, poolName)
	f, ok := b.bestForecast(now, p, poolName, c)
	if !ok {
		return Forecast{}
	}
	inTime := scaleDuration(targetMargin, c.targetLatency())
	if f.First <= inTime {
		return f
	}
	f.RetryAfter = f.First - inTime
	// Feasibility is decided as for a prompt of average length, so that large prompts
	// are not refused more often than small ones.
	f.First -= p.slowdown.apply(p.speed.prefillTime(max(0, float64(c.Unshared)-p.meanUnshared)))
	f.First = scaleDuration(1/max(minSpareShare, 1-p.longLoad), f.First)
	f.Admission = Infeasible
	if f.First <= scaleDuration(deadlineMargin, firstLeft) && f.First+f.Stream <= scaleDuration(deadlineMargin, left) {
		f.Admission = Late
	}
	return f
}

// scaleDuration returns d multiplied by factor.
func scaleDuration(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// bestForecast returns the forecast for the server that is expected to send the call's
// first event soonest.
func (b *Balancer) bestForecast(now time.Time, p *pool, poolName string, c Call) (Forecast, bool) {
	r := p.request(now, c)
	least := Forecast{First: math.MaxInt64}
	rate := b.limitRates(now, poolName)
	for _, s := range p.filterHolders(now, r, c.filterBySide(usable(now, p.servers, nil))) {
		l := s.load()
		own := p.prefillTokens(now, s, r, true)
		first := p.slowdown.apply(scaleDuration(s.slowness, p.speed.prefillTime(float64(l.PendingPromptTokens)+own)))
		first = max(first, s.slotWait(now, p, c, l))
		if s.limit.Limited {
			first += s.limit.bucket.TimeUntil(now, rate(s))
		}
		if first < least.First {
			least.First, least.Stream = first, scaleDuration(s.slowness, p.streams.duration())
		}
	}
	return least, least.First != math.MaxInt64
}

// slotWait estimates how long a call waits for a slot or KV cache. It assumes that slots
// become free at the rate at which streams of average length end.
func (s *server) slotWait(now time.Time, p *pool, c Call, l Load) time.Duration {
	if s.Slots == 0 || !s.isFull(now, p, c, l) {
		return 0
	}
	surplus := max(1, l.Running-s.Slots+1)
	return scaleDuration(s.slowness*float64(surplus)/float64(s.Slots), p.streams.duration())
}

// isFull reports whether the server lacks the slots or the KV cache for one more call.
func (s *server) isFull(now time.Time, p *pool, c Call, l Load) bool {
	limit := float64(s.Slots)
	if c.Tokens >= LongPromptTokens {
		limit *= longPromptSlotFactor
	}
	return s.Slots > 0 && float64(l.Running) >= limit || now.Before(s.fullUntil) ||
		p.kvTokens > 0 && float64(l.KVTokens+c.kvTokens()) > maxKVUse*float64(p.kvTokens)
}
