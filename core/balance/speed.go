package balance

import "time"

// Prefill speed estimation parameters.
const (
	// initialSpeed, in prompt tokens per second, applies until something is observed.
	initialSpeed = 50_000
	// minObservedTokens is the minimum number of processed tokens for a speed
	// observation. With fewer, the time to the first event is mostly that of the
	// network and of the first decoding step.
	minObservedTokens = 2500
	// maxBaseTokens is the number of processed tokens up to which the time to the
	// first event is an observation of baseLatency.
	maxBaseTokens = 700
	// baseDownWeight and baseUpWeight are the weights of observations of baseLatency
	// that are below and above its current value.
	baseDownWeight, baseUpWeight = 0.2, 0.02
	// minPrefillTime is the shortest prefill time used; below it, clock granularity
	// distorts the quotient.
	minPrefillTime = 5 * time.Millisecond
	// speedUpWeight and speedDownWeight are the weights of observations above and
	// below the current value. An engine that is busy with calls not yet known here
	// looks slow, but nothing makes one look fast. With equal weights, the estimate
	// fell to a third of the actual speed in a burst, and the boundary was misplaced.
	speedUpWeight, speedDownWeight = 0.3, 0.03
	// maxSpeedCalls bounds the weight of one instance's observations.
	maxSpeedCalls = 20
	// maxSpeedRatio and minSpeedRatio bound an observation relative to the current
	// value.
	maxSpeedRatio, minSpeedRatio = 2.0, 0.5
)

// SpeedSample is a sum of prefill speeds, in prompt tokens per second, and the number
// of calls in which they were observed.
type SpeedSample struct {
	Sum   float64 `msgpack:"s"`
	Calls float64 `msgpack:"c"`
}

func (s *SpeedSample) add(x SpeedSample) {
	s.Sum += x.Sum
	s.Calls += x.Calls
}

// speed estimates how fast the engines of a pool process prompts alongside their other
// work. It combines the observations of all instances: a single instance sees an idle
// engine process a long prompt too rarely to learn the speed within a burst, and all
// instances must use the same value to agree on the boundary.
type speed struct {
	own, others SpeedSample
	// baseLatency is the time to the first event of a call with almost no prompt
	// tokens to process.
	baseLatency time.Duration
}

func (s *speed) value() float64 {
	all := s.own
	all.add(s.others)
	if all.Calls == 0 {
		return initialSpeed
	}
	return all.Sum / all.Calls
}

// observe records the time in which an otherwise idle engine processed between least
// and most tokens of a prompt. The number is uncertain because it is unknown which
// shared prefixes were cached. The estimate moves only if it lies outside the possible
// range; using least alone, it started at half the speed while nothing was cached yet.
func (s *speed) observe(least, most float64, took time.Duration) {
	if most <= maxBaseTokens {
		s.observeBase(took)
		return
	}
	if least < minObservedTokens || s.baseLatency == 0 || took-s.baseLatency < minPrefillTime {
		return
	}
	v := s.value()
	prefill := (took - s.baseLatency).Seconds()
	seen := min(max(v, least/prefill), most/prefill)
	seen = min(maxSpeedRatio*v, max(minSpeedRatio*v, seen))
	own := seen
	if s.own.Calls > 0 {
		own = s.own.Sum / s.own.Calls
		weight := speedDownWeight
		if seen > own {
			weight = speedUpWeight
		}
		own += weight * (seen - own)
	}
	calls := min(maxSpeedCalls, s.own.Calls+1)
	s.own = SpeedSample{Sum: own * calls, Calls: calls}
}

func (s *speed) observeBase(took time.Duration) {
	weight := baseUpWeight
	if took < s.baseLatency {
		weight = baseDownWeight
	}
	s.baseLatency = ewma(s.baseLatency, took, weight)
}

// prefillTime estimates how long processing the tokens takes.
func (s *speed) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.value() * float64(time.Second))
}
