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
	// speedWeight is the weight of the newest observation.
	speedWeight = 0.05
	// mostOfHeld and leastOfHeld bound an observation against the value held.
	mostOfHeld, leastOfHeld = 2.0, 0.5
)

// speed is how fast the engines of a pool read prompts, among all else that
// they do.
type speed struct {
	perSecond float64
	// base is the time to the first event of a call with next to nothing to read.
	base time.Duration
}

func (s *speed) value() float64 {
	if s.perSecond == 0 {
		return startSpeed
	}
	return s.perSecond
}

// observe takes the time in which an engine that had nothing else to read read
// a prompt.
func (s *speed) observe(tokens float64, took time.Duration) {
	if tokens <= smallRead {
		s.observeBase(took)
		return
	}
	took -= s.base
	if tokens < leastRead || took < leastTook {
		return
	}
	v := s.value()
	seen := min(mostOfHeld*v, max(leastOfHeld*v, tokens/took.Seconds()))
	s.perSecond = v + speedWeight*(seen-v)
}

func (s *speed) observeBase(took time.Duration) {
	weight := baseUp
	if took < s.base {
		weight = baseDown
	}
	if s.base == 0 {
		weight = 1
	}
	s.base += time.Duration(weight * float64(took-s.base))
}

// time estimates how long reading takes.
func (s *speed) time(tokens float64) time.Duration {
	return time.Duration(tokens / s.value() * float64(time.Second))
}
