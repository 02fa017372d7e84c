// Package duty holds the rules by which one instance at a time does a job that must not
// be done twice: a lease in the replicated log, and the fencing tokens of what its
// holder does.
//
// The load pattern it answers: holders are paused, cut off, restarted and lost while
// their calls to an outside system are on the way, and those calls may take effect
// seconds later. So a lease changes hands only when it has been still for its whole
// length, each effect gets a token of its own, and tokens rise over all holders.
//
// The package is pure: clocks and randomness are passed in. No clock is compared with
// another instance's.
package duty

import "time"

// Lease says who has a duty. Whoever takes it over names what it has seen: a renewal in
// between makes the claim stale.
type Lease struct {
	// Holder is empty before the first holder, and after one has released it.
	Holder string `msgpack:"o"`
	// Term rises with each new holder.
	Term uint64 `msgpack:"f"`
	// Renewals counts the holder's renewals.
	Renewals uint64 `msgpack:"r"`
}

// Claim asks for a lease.
type Claim struct {
	Holder string `msgpack:"o"`
	// Expected is what the claimant has seen last.
	Expected Lease `msgpack:"e"`
	// Release gives the lease back instead.
	Release bool `msgpack:"x,omitempty"`
}

// Take applies a claim and reports whether it was granted.
func (l *Lease) Take(c Claim) bool {
	switch {
	case c.Expected != *l:
		return false
	case c.Release && c.Holder != l.Holder:
		return false
	case c.Release:
		l.Holder = ""
	case c.Holder == l.Holder:
		l.Renewals++
	default:
		*l = Lease{Holder: c.Holder, Term: l.Term + 1}
	}
	return true
}

// State is what the log holds of one duty.
type State struct {
	Lease Lease `msgpack:"l"`
	// Fence is the last fencing token given out.
	Fence uint64 `msgpack:"f"`
}

// NextFence gives the holder of a term the token of its next effect, which renews its
// lease: nobody may take it over while the effect is on the way. Tokens rise over
// all holders, and begin at the time of day in milliseconds: a group that has lost all
// of its disks does not begin below what outside systems have seen.
func (s *State) NextFence(holder string, term uint64, unixMillis int64) (fence uint64, ok bool) {
	if holder == "" || s.Lease.Holder != holder || s.Lease.Term != term {
		return 0, false
	}
	s.Fence = max(s.Fence+1, uint64(max(0, unixMillis)))
	s.Lease.Renewals++
	return s.Fence, true
}

// Rules are the times of a lease, each on one instance's own clock, which must go on
// while the instance is suspended.
type Rules struct {
	// Exclusive is how long a holder that has acted keeps the lease before it may release
	// it.
	Exclusive time.Duration
	// Validity is how long a renewal counts, from its sending.
	Validity time.Duration
	// TakeOver is how long a contender must have seen the lease unchanged.
	TakeOver time.Duration
	// Rest is how long a former holder, and an instance that has just started and may
	// be one, leaves a released lease to others.
	Rest time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Spread is the most that is added by lot to a contender's wait, so that not all
	// claim at once.
	Spread time.Duration
}

// Shares of the time in which no two holders may act in turn.
const (
	validityShare = 0.7
	// takeOverShare is more than 1 by the time that a holder's last effect may be on its
	// way, a second of three.
	takeOverShare = 1.35
	renewShare    = 0.2
	restShare     = 2
	spreadShare   = 0.15
)

// RulesFor returns the rules under which a former holder does not act again within a
// time after it has acted and another one has acted since. A holder acts no later than
// Validity after its last renewal; another one acts TakeOver after it at the earliest;
// and the former holder waits for TakeOver again, or rests. Late effects of the former
// holder end with the first effect of the next one, which does not release the lease
// before the time is over.
func RulesFor(exclusive time.Duration) Rules {
	share := func(x float64) time.Duration { return time.Duration(x * float64(exclusive)) }
	return Rules{Exclusive: exclusive, Validity: share(validityShare), TakeOver: share(takeOverShare),
		Rest: share(restShare), Renew: share(renewShare), Spread: share(spreadShare)}
}
