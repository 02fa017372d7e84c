package balance

import "time"

// Limits of what an engine is asked for, by which needs are counted. Replayed with
// three times too many long prompts, a short side that may read for 0.6 of its time
// has three times as many late chats.
const (
	// shortDuty and longDuty are the parts of an engine's time that may go into
	// reading prompts on each side. Short calls have targets of some hundred
	// milliseconds, so that little may queue; on the long side streams still have
	// to end within their time while prompts are read between their tokens.
	shortDuty = 0.45
	longDuty  = 0.7
	// shortSlots and longSlots are the parts of the slots that the calls of each
	// side may fill.
	shortSlots = 0.6
	longSlots  = 0.75
	// mostPiled bounds what running calls make a side need against what its
	// reading does.
	mostPiled = 1.5
	// backlogShare of a call's target is the time in which a side should have read
	// what waits there. A rate alone sees a burst of prompts whose shared parts
	// nobody has read yet as a quarter of what it is: for 7 s six of twelve engines
	// kept prompts waiting for 0.6 to 1.4 s beside six that were nearly idle.
	backlogShare = 0.5
)

// needs returns how many engines each side needs for what arrives and runs.
func (b *Balancer) needs(now time.Time, p *pool, poolName string) (short, long float64) {
	var onShort, onLong Load
	slots := 0
	for _, e := range p.servers {
		slots = max(slots, e.Slots)
		if e.long {
			onLong.add(e.load())
		} else {
			onShort.add(e.load())
		}
	}
	rates := b.rates(now, p, poolName)
	shortReading := rates.Short / (p.speed.value() * shortDuty)
	longReading := max(rates.Long/(p.speed.value()*longDuty), p.backlogNeed(onLong, p.sides.longTarget))
	short = sideNeed(shortReading, float64(onShort.Running), shortSlots*float64(slots))
	long = sideNeed(longReading, float64(onLong.Running), longSlots*float64(slots))
	return short, long
}

// backlogNeed returns how many engines it takes to read what waits on a side in
// time.
func (p *pool) backlogNeed(l Load, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return p.speed.time(float64(l.Unread)).Seconds() / (backlogShare * target.Seconds())
}

// longNeed returns how many engines the reading of the long prompts that arrive
// needs.
func (b *Balancer) longNeed(now time.Time, p *pool, poolName string) float64 {
	return b.rates(now, p, poolName).Long / (p.speed.value() * longDuty)
}

// rates is what arrives for a pool at all instances.
func (b *Balancer) rates(now time.Time, p *pool, poolName string) Rates {
	sum := Rates{Short: p.sides.short.rate(now), Long: p.sides.long.rate(now)}
	for _, x := range b.peers {
		if x.fresh(now) {
			sum.add(x.Rates[poolName])
		}
	}
	return sum
}

// sideNeed is the larger of what a side needs for reading and for its running
// calls. Calls that pile up on a side that is behind must not make it look ever
// more needy: that took all engines away from the other side.
func sideNeed(reading, running, slots float64) float64 {
	if slots == 0 {
		return reading
	}
	return max(reading, min(running/slots, mostPiled*reading+1))
}
