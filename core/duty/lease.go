// Package duty implements leases for jobs that must be done by one instance at a time: a
// lease in the replicated log, and fencing tokens for the actions of its holder.
//
// Holders are paused, cut off, restarted or lost while their calls to an external system
// are in flight, and those calls may take effect seconds later. Therefore a lease
// changes hands only after it has been unchanged for its whole length, each action has
// its own fencing token, and tokens increase over all holders.
//
// The package does no I/O: time and random numbers are passed in. The clocks of
// instances are not compared.
package duty

import "time"

// Lease states which instance has a duty. A claim names the last observed lease, so that
// a renewal in between makes it stale.
type Lease struct {
	// Holder is empty before the first holder and after a release.
	Holder string `msgpack:"o"`
	// Term increases with each new holder.
	Term uint64 `msgpack:"f"`
	// Renewals counts the renewals of the current holder.
	Renewals uint64 `msgpack:"r"`
}

// Claim requests a lease.
type Claim struct {
	Holder string `msgpack:"o"`
	// Expected is the lease last observed by the claimant.
	Expected Lease `msgpack:"e"`
	// Release releases the lease instead of claiming it.
	Release bool `msgpack:"x,omitempty"`
}

// Apply applies a claim and reports whether it was granted.
func (l *Lease) Apply(c Claim) bool {
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

// State is the replicated state of one duty.
type State struct {
	Lease Lease `msgpack:"l"`
	// Fence is the last fencing token issued.
	Fence uint64 `msgpack:"f"`
}

// NextFence returns the fencing token for the next action of a term's holder. It also
// renews the lease, so that no other instance takes it over while the action is in
// flight. Tokens increase over all holders and are at least the time of day in
// milliseconds: a group that has lost all its disks doesn't restart below the tokens
// that external systems have seen.
func (s *State) NextFence(holder string, term uint64, unixMillis int64) (fence uint64, ok bool) {
	if holder == "" || s.Lease.Holder != holder || s.Lease.Term != term {
		return 0, false
	}
	s.Fence = max(s.Fence+1, uint64(max(0, unixMillis)))
	s.Lease.Renewals++
	return s.Fence, true
}

// Timing holds the durations of a lease. Each is measured on one instance's own clock,
// which must run while the instance is suspended.
type Timing struct {
	// Exclusive is how long a holder keeps the lease after its first action before it
	// may release it.
	Exclusive time.Duration
	// Validity is how long a renewal is valid, from when it was sent.
	Validity time.Duration
	// TakeOver is how long a claimant must have seen the lease unchanged.
	TakeOver time.Duration
	// Cooldown is how long a released lease is left to others by its former holder, and
	// by an instance that has just started and may be that holder.
	Cooldown time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Jitter is the maximum of the random addition to a claimant's wait, which keeps
	// claimants from claiming simultaneously.
	Jitter time.Duration
}

// Durations relative to the exclusive time, in which no two holders may alternate.
const (
	validityShare = 0.7
	// takeOverShare exceeds 1 by the time that a holder's last action may be in flight:
	// one second for an exclusive time of three.
	takeOverShare = 1.35
	renewShare    = 0.2
	cooldownShare = 2
	jitterShare   = 0.15
)

// TimingFor returns the timing which guarantees that if one holder acts and then another
// one, the former doesn't act again within the exclusive time after its earlier action.
// A holder acts no later than Validity after its last renewal, and another one TakeOver
// after it at the earliest. The former holder then waits for TakeOver again, or for
// Cooldown. Late actions of the former holder are rejected after the first action of the
// next one, which doesn't release the lease before the exclusive time has passed.
func TimingFor(exclusive time.Duration) Timing {
	share := func(x float64) time.Duration { return time.Duration(x * float64(exclusive)) }
	return Timing{Exclusive: exclusive, Validity: share(validityShare), TakeOver: share(takeOverShare),
		Cooldown: share(cooldownShare), Renew: share(renewShare), Jitter: share(jitterShare)}
}
