package balance

import "time"

// Target utilization of an engine, used to compute the number of engines each side
// needs.
const (
	// maxShortPrefill and maxLongPrefill are the target fractions of an engine's time
	// spent on prefill on each side. Short calls have targets of a few hundred
	// milliseconds, so only little may queue: with 0.6 instead of 0.45, a replay with
	// three times too many long prompts has three times as many late chats. On the
	// long side, streams must still finish in time while prompts are processed between
	// their tokens.
	maxShortPrefill = 0.45
	maxLongPrefill  = 0.7
	// maxShortSlotUse and maxLongSlotUse are the target fractions of the slots in use
	// on each side. For engines with few slots, they determine how many engines chats
	// need. With 0.6 of 12 slots, long prompts are refused while engines reserved for
	// chats have five free slots; from 0.8 on, a replayed overload makes a sixth of
	// the chats late instead of a twelfth.
	maxShortSlotUse = 0.7
	maxLongSlotUse  = 0.75
	// maxSlotNeedFactor bounds the long side's need by running calls relative to its
	// need by prefill. Otherwise, long prompts that pile up on a backlogged side
	// increase its need until it takes all engines from the chats.
	maxSlotNeedFactor = 1.5
	// misplacedLongWeight is the weight, in the short side's need, of a long prompt
	// that still runs on an engine moved to the short side and occupies a slot there.
	// With weight 1, these streams drove the short side's need up until they ended and
	// took nearly all engines from long prompts; with weight 0, chats lacked slots.
	misplacedLongWeight = 0.5
	// backlogTargetShare is the fraction of the calls' target within which a side
	// should be able to process its backlog. The arrival rate shows only a quarter of
	// a burst whose shared prefixes are not cached yet: without the backlog, six of
	// twelve engines delayed prompts by 0.6 to 1.4 s for 7 s while the other six were
	// nearly idle.
	backlogTargetShare = 0.5
)

// needs returns how many engines each side needs for the arriving and running calls.
func (b *Balancer) needs(now time.Time, p *pool, poolName string) (short, long float64) {
	var all, onLong Load
	misplacedLong := 0.0
	slots := 0
	for _, e := range p.servers {
		slots = max(slots, e.Slots)
		all.Add(e.load())
		if e.long {
			onLong.Add(e.load())
		} else {
			misplacedLong += misplacedLongWeight * float64(e.load().LongPrompts)
		}
	}
	rates := b.rates(now, p, poolName)
	shortPrefill := rates.ShortTokens / (p.speed.value() * maxShortPrefill)
	longPrefill := max(rates.LongTokens/(p.speed.value()*maxLongPrefill), p.backlogNeed(onLong, p.sides.meanLongTarget))
	short = max(shortPrefill, slotNeed(float64(all.Running-all.LongPrompts)+misplacedLong, maxShortSlotUse, slots))
	long = max(longPrefill, min(slotNeed(float64(all.LongPrompts), maxLongSlotUse, slots), maxSlotNeedFactor*longPrefill+1))
	return short, long
}

// backlogNeed returns how many engines are needed to process a side's backlog in time.
func (p *pool) backlogNeed(l Load, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return p.speed.prefillTime(float64(l.PendingPromptTokens)).Seconds() / (backlogTargetShare * target.Seconds())
}

// rates returns the arrival rates of a pool over all instances.
func (b *Balancer) rates(now time.Time, p *pool, poolName string) ArrivalRates {
	return b.sumRates(now, p, poolName, func(*peer) bool { return true })
}

// sumRates returns the arrival rates of a pool at this instance and at the peers that
// included accepts.
func (b *Balancer) sumRates(now time.Time, p *pool, poolName string, included func(x *peer) bool) ArrivalRates {
	sum := ArrivalRates{LongTokens: p.sides.long.rate(now), ShortTokens: p.sides.short.rate(now), PrefillSpeed: p.speed.own, CallsPerSecond: p.calls.rate(now)}
	for _, x := range b.peers {
		if x.fresh(now) && included(x) {
			sum.add(x.rates[poolName])
		}
	}
	return sum
}

// slotNeed returns how many engines are needed to run the calls with the given share
// of slots in use.
func slotNeed(running float64, share float64, slots int) float64 {
	if slots == 0 {
		return 0
	}
	return running / (share * float64(slots))
}
