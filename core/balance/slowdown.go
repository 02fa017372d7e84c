package balance

import "time"

// Slowdown estimation parameters.
const (
	// minExpected is the shortest expected time used; below it, network time distorts
	// the quotient.
	minExpected = 50 * time.Millisecond
	// minSlowdown and maxSlowdown bound one observation.
	minSlowdown = 1.0
	maxSlowdown = 4.0
	// slowdownWeight is the weight of one call.
	slowdownWeight = 1.0 / 16
)

// slowdown estimates the ratio of the actual time to a call's first event to the time
// expected from the speed of an idle engine. It accounts for engines that decode many
// streams at the same time, for prefill that gets slower with the length of the
// context, and for stale counts: in a replayed burst, prompts waited twice as long as
// expected. The zero value means no slowdown.
type slowdown struct{ excess float64 }

func (x *slowdown) observe(expected, took time.Duration) {
	if expected < minExpected {
		return
	}
	seen := min(maxSlowdown, max(minSlowdown, took.Seconds()/expected.Seconds()))
	x.excess += slowdownWeight * (seen - 1 - x.excess)
}

// apply scales an expected prefill time by the slowdown.
func (x *slowdown) apply(d time.Duration) time.Duration { return scaleDuration(1+x.excess, d) }
