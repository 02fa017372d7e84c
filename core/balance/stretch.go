package balance

import "time"

// Limits of the learned stretch.
const (
	// leastExpected keeps the network's time out of the quotient.
	leastExpected = 50 * time.Millisecond
	// leastStretch and mostStretch bound one observation.
	leastStretch = 1.0
	mostStretch  = 4.0
	// stretchWeight is the weight of one call.
	stretchWeight = 1.0 / 16
)

// stretch is how much longer the reading before a call's first event takes than the
// speed of an idle engine lets expect. It answers engines that generate for many
// streams beside, contexts whose reading gets slower with their length, and counts
// that come late: in a replayed burst prompts waited for twice as long as expected.
// The zero value stretches nothing.
type stretch struct{ beyond float64 }

func (x *stretch) observe(expected, took time.Duration) {
	if expected < leastExpected {
		return
	}
	seen := min(mostStretch, max(leastStretch, took.Seconds()/expected.Seconds()))
	x.beyond += stretchWeight * (seen - 1 - x.beyond)
}

// of stretches a reading time.
func (x *stretch) of(d time.Duration) time.Duration { return portion(1+x.beyond, d) }
