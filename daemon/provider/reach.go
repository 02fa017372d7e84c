package provider

import "time"

// unreachableTime is how long the provider may be out of reach of a holder before another
// instance is to try.
const unreachableTime = 2 * time.Second

// Reach follows whether this instance reaches the provider. Not safe for concurrent use.
type Reach struct{ at time.Time }

// Begin notes that a tenure begins.
func (r *Reach) Begin(now time.Time) { r.at = now }

// Note takes the outcome of a call, and reports whether the provider has been out of
// reach for too long.
func (r *Reach) Note(now time.Time, o Outcome) (lost bool) {
	if o != Unreachable && o != Unanswered {
		r.at = now
	}
	return now.Sub(r.at) >= unreachableTime
}
