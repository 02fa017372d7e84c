package balance

import "time"

// Limits of the learned speed.
const (
	// startSpeed holds before anything was observed, in prompt tokens per second.
	startSpeed = 50_000
	// leastRead is the least reading that tells the speed: for less, the time to
	// the first event is mostly the network's and the first step's.
	leastRead = 2500
	// smallRead is the reading up to which the time to the first event is taken for
	// what every call needs.
	smallRead = 700
	// baseDown and baseUp are the weights of an observation of that time below and
	// above the value held.
	baseDown, baseUp = 0.2, 0.02
	// leastTook keeps the clock's grain out of the quotient.
	leastTook = 5 * time.Millisecond
	// speedUp and speedDown are the weights of an observation above and below the
	// value held. An engine that was busy with calls that are not known here yet
	// looks slow; nothing makes it look fast. Even weights came down to a third of
	// the speed in a burst, and the boundary stood where nobody needed it.
	speedUp, speedDown = 0.3, 0.03
	// mostCalls bounds the weight of one instance's value among all.
	mostCalls = 20
	// mostOfHeld and leastOfHeld bound an observation against the value held.
	mostOfHeld, leastOfHeld = 2.0, 0.5
)

// Reading is the sum of the speeds, in prompt tokens per second, that were
// observed in so many calls.
type Reading struct {
	Sum   float64 `msgpack:"s"`
	Calls float64 `msgpack:"c"`
}

func (r *Reading) add(x Reading) {
	r.Sum += x.Sum
	r.Calls += x.Calls
}

// speed is how fast the engines of a pool read prompts, among all else that
// they do. It is taken from what all instances observe: one of many sees an idle
// engine read a long prompt too seldom to know it within a burst, and what one
// believes of the boundary all have to believe.
type speed struct {
	own, others Reading
	// base is the time to the first event of a call with next to nothing to read.
	base time.Duration
}

func (s *speed) value() float64 {
	all := s.own
	all.add(s.others)
	if all.Calls == 0 {
		return startSpeed
	}
	return all.Sum / all.Calls
}

// observe takes the time in which an engine that had nothing else to read read
// between least and most tokens of a prompt: whether it had the shared parts
// already is not known. Only what can't be so moves the value held; with the
// least alone it began at half the speed, while nothing was cached yet.
func (s *speed) observe(least, most float64, took time.Duration) {
	if most <= smallRead {
		s.observeBase(took)
		return
	}
	if least < leastRead || s.base == 0 || took-s.base < leastTook {
		return
	}
	v := s.value()
	read := (took - s.base).Seconds()
	seen := min(max(v, least/read), most/read)
	seen = min(mostOfHeld*v, max(leastOfHeld*v, seen))
	own := seen
	if s.own.Calls > 0 {
		own = s.own.Sum / s.own.Calls
		weight := speedDown
		if seen > own {
			weight = speedUp
		}
		own += weight * (seen - own)
	}
	calls := min(mostCalls, s.own.Calls+1)
	s.own = Reading{Sum: own * calls, Calls: calls}
}

func (s *speed) observeBase(took time.Duration) {
	weight := baseUp
	if took < s.base {
		weight = baseDown
	}
	s.base = smooth(s.base, took, weight)
}

// time estimates how long reading takes.
func (s *speed) time(tokens float64) time.Duration {
	return time.Duration(tokens / s.value() * float64(time.Second))
}
