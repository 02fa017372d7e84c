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
	// side may fill. Where engines have few slots, these and not the reading decide
	// how many engines chats need: with 0.6 of 12 slots, long prompts are refused while
	// engines kept for chats have five slots free; from 0.8 on, a replayed overload
	// makes a sixth of the chats late instead of a twelfth.
	shortSlots = 0.7
	longSlots  = 0.75
	// mostPiled bounds what running calls make the long side need against what its
	// reading does. Long prompts that pile up on a side that is behind must not make
	// it look ever more needy: that took all engines away from the chats.
	mostPiled = 1.5
	// lingerShare of a long prompt counts for the short side while it runs there, on an
	// engine that has changed sides: its slot is taken. Counted whole, these streams
	// made the short side look ever more needy until they ended, and took nearly all
	// engines from the long prompts; not at all, chats lacked slots.
	lingerShare = 0.5
	// backlogShare of a call's target is the time in which a side should have read
	// what waits there. A rate alone sees a burst of prompts whose shared parts
	// nobody has read yet as a quarter of what it is: for 7 s six of twelve engines
	// kept prompts waiting for 0.6 to 1.4 s beside six that were nearly idle.
	backlogShare = 0.5
)

// needs returns how many engines each side needs for what arrives and runs.
func (b *Balancer) needs(now time.Time, p *pool, poolName string) (short, long float64) {
	var all, onLong Load
	lingering := 0.0
	slots := 0
	for _, e := range p.servers {
		slots = max(slots, e.Slots)
		all.Add(e.load())
		if e.long {
			onLong.Add(e.load())
		} else {
			lingering += lingerShare * float64(e.load().LongPrompts)
		}
	}
	rates := b.rates(now, p, poolName)
	shortReading := rates.Short / (p.speed.value() * shortDuty)
	longReading := max(rates.Long/(p.speed.value()*longDuty), p.backlogNeed(onLong, p.sides.longTarget))
	short = max(shortReading, slotNeed(float64(all.Running-all.LongPrompts)+lingering, shortSlots, slots))
	long = max(longReading, min(slotNeed(float64(all.LongPrompts), longSlots, slots), mostPiled*longReading+1))
	return short, long
}

// backlogNeed returns how many engines it takes to read what waits on a side in
// time.
func (p *pool) backlogNeed(l Load, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return p.speed.time(float64(l.PendingPromptTokens)).Seconds() / (backlogShare * target.Seconds())
}

// rates is what arrives for a pool at all instances.
func (b *Balancer) rates(now time.Time, p *pool, poolName string) Rates {
	return b.ratesOf(now, p, poolName, func(*peer) bool { return true })
}

// ratesOf is what arrives for a pool here and at the chosen peers.
func (b *Balancer) ratesOf(now time.Time, p *pool, poolName string, chosen func(x *peer) bool) Rates {
	sum := Rates{Long: p.sides.long.rate(now), Short: p.sides.short.rate(now), Reading: p.speed.own, Calls: p.calls.rate(now)}
	for _, x := range b.peers {
		if x.fresh(now) && chosen(x) {
			sum.add(x.rates[poolName])
		}
	}
	return sum
}

// slotNeed returns how many engines it takes to run so many calls in the given part
// of their slots.
func slotNeed(running float64, share float64, slots int) float64 {
	if slots == 0 {
		return 0
	}
	return running / (share * float64(slots))
}
