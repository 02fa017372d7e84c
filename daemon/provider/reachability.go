package provider

import "time"

// unreachableTimeout is how long a holder may be unable to reach the provider before
// another instance takes the duty over.
const unreachableTimeout = 2 * time.Second

// Reachability tracks whether this instance reaches the provider. Not safe for concurrent
// use.
type Reachability struct{ lastReached time.Time }

// Reset starts the tracking for a new tenure.
func (r *Reachability) Reset(now time.Time) { r.lastReached = now }

// Record records the outcome of a call, and reports whether the provider has been
// unreachable for too long.
func (r *Reachability) Record(now time.Time, o Outcome) (unreachable bool) {
	if o != Unreachable && o != Unanswered {
		r.lastReached = now
	}
	return now.Sub(r.lastReached) >= unreachableTimeout
}
