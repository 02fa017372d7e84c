package balance

import (
	"math"
	"time"
)

// Limits of admission.
const (
	// fullShare of its slots is what an engine may run and keep waiting of long
	// prompts. The tenth above the slots covers counts that are some hundred
	// milliseconds old.
	fullShare = 1.1
	// lateShare of a call's target is what the reading before its first event may
	// take; what takes longer goes behind the calls that can still be in time. The
	// rest of the target is for counts that are old and for the way.
	lateShare = 0.9
	// timeMargin of the time that a call has left must suffice for its first event
	// and its stream. Beyond, it would be read and generated in vain.
	timeMargin = 0.9
	// leastSpare is the least part of the reading that is left to late calls.
	leastSpare = 0.1
)

// Admission is what becomes of a long prompt.
type Admission uint8

// Admissions.
const (
	// InTime calls are expected to make their target.
	InTime Admission = iota
	// Late calls are not, but to be answered within their time: they go behind those
	// that can still be in time.
	Late
	// Hopeless calls can't be answered within their time.
	Hopeless
)

// String returns the name used in logs.
func (a Admission) String() string { return [...]string{"in_time", "late", "hopeless"}[a] }

// Forecast is what is expected of a long prompt that comes now.
type Forecast struct {
	Admission Admission
	// First is the time to its first event at the engine that is the least behind,
	// Stream the time from there to its end.
	First, Stream time.Duration
	// Room is when a call that comes back may expect to be in time.
	Room time.Duration
}

// Forecast tells what to expect of a long prompt whose caller waits so long for the
// first event, and for the end. Other calls count as in time, and so do prompts that
// rank higher than others of their pool.
//
// The load pattern it answers: bursts of long prompts that ask for more than all
// engines can read. While a burst is shorter than the time that its callers have,
// the queue empties in time: each refusal would be one too many. What has lost its
// target is still worth a part, but must not make the next ones lose theirs too: it
// is read when nothing in time waits. What can't end within its time is refused
// before anything is spent on it.
func (b *Balancer) Forecast(now time.Time, poolName string, c Call, firstLeft, left time.Duration) Forecast {
	p := b.pool(poolName)
	if c.Tokens < LongPrompt || c.Tier < p.lowestTier {
		return Forecast{}
	}
	b.follow(now, p, poolName)
	f, ok := b.leastBehind(now, p, poolName, c)
	if !ok {
		return Forecast{}
	}
	inTime := portion(lateShare, c.target())
	if f.First <= inTime {
		return f
	}
	f.Room = f.First - inTime
	// Whether there is hope is decided as for a prompt of the usual length: large ones
	// must not be refused more often than small ones.
	f.First -= p.stretch.of(p.speed.time(max(0, float64(c.Unshared)-p.unshared)))
	f.First = portion(1/max(leastSpare, 1-p.use), f.First)
	f.Admission = Hopeless
	if f.First <= portion(timeMargin, firstLeft) && f.First+f.Stream <= portion(timeMargin, left) {
		f.Admission = Late
	}
	return f
}

func portion(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}

// leastBehind returns what to expect at the engine of the long side that has the
// call's first event soonest.
func (b *Balancer) leastBehind(now time.Time, p *pool, poolName string, c Call) (Forecast, bool) {
	r := p.request(now, c)
	least := Forecast{First: math.MaxInt64}
	rate := b.limitRates(now, poolName)
	for _, s := range p.keepToHolders(now, r, c.keepToSide(usable(now, p.servers, nil))) {
		l := s.load()
		own := p.unreadAt(now, s, r, true)
		first := p.stretch.of(portion(s.slowness, p.speed.time(float64(l.Unread)+own)))
		first = max(first, s.slotWait(now, p, c, l))
		if s.limit.Limited {
			first += s.limit.bucket.TimeUntil(now, rate(s))
		}
		if first < least.First {
			least.First, least.Stream = first, portion(s.slowness, p.streams.length())
		}
	}
	return least, least.First != math.MaxInt64
}

// slotWait estimates how long a call waits for a slot and for memory: as many
// streams as are in its way must end, and slots are freed at the rate at which
// streams of the usual length end.
func (s *server) slotWait(now time.Time, p *pool, c Call, l Load) time.Duration {
	if s.Slots == 0 || !s.isFull(now, p, c, l) {
		return 0
	}
	inTheWay := max(1, l.Running-s.Slots+1)
	return portion(s.slowness*float64(inTheWay)/float64(s.Slots), p.streams.length())
}

// isFull reports whether an engine has neither slots nor memory for one more call.
func (s *server) isFull(now time.Time, p *pool, c Call, l Load) bool {
	most := float64(s.Slots)
	if c.Tokens >= LongPrompt {
		most *= fullShare
	}
	return s.Slots > 0 && float64(l.Running) >= most || now.Before(s.fullUntil) ||
		p.memory > 0 && float64(l.Memory+c.memory()) > memoryShare*float64(p.memory)
}
