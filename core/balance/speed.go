package balance

import "time"

// Limits of the learned speed.
const (
	// startSpeed holds before anything was observed, in prompt tokens per second.
	startSpeed = 50_000
	// leastRead is the least reading that tells the speed: for less, the time to
	// the first event is mostly the network's and the first step's.
	leastRead = 2500
	// speedWeight is the weight of the newest observation.
	speedWeight = 0.05
	// mostOfHeld and leastOfHeld bound an observation against the value held.
	mostOfHeld, leastOfHeld = 2.0, 0.5
)

// speed is how fast the engines of a pool read prompts, among all else that
// they do.
type speed struct{ perSecond float64 }

func (s *speed) value() float64 {
	if s.perSecond == 0 {
		return startSpeed
	}
	return s.perSecond
}

// observe takes the time in which an engine that had nothing else to read read
// a prompt.
func (s *speed) observe(tokens float64, took time.Duration) {
	if tokens < leastRead || took <= 0 {
		return
	}
	v := s.value()
	seen := min(mostOfHeld*v, max(leastOfHeld*v, tokens/took.Seconds()))
	s.perSecond = v + speedWeight*(seen-v)
}

// time estimates how long reading takes.
func (s *speed) time(tokens float64) time.Duration {
	return time.Duration(tokens / s.value() * float64(time.Second))
}
