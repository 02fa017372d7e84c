package duty

import "time"

// Claimant decides for one instance when to claim a lease and whether it may act. Times
// are those of a clock that also runs while the instance is suspended. Not safe for
// concurrent use.
type Claimant struct {
	name   string
	timing Timing
	random func() float64

	started, leaseSince time.Time
	lease               Lease
	// jitter is this instance's random addition to its wait for the current lease.
	jitter time.Duration
	// claimedAt is when the last claim was sent, validUntil when the validity of the
	// last granted claim ends.
	claimedAt, validUntil time.Time
	// cooldownUntil is how long a released lease is left to others; released is set once
	// this instance has asked to release the current lease.
	cooldownUntil time.Time
	released      bool
	// firstActionAt is when this instance first acted in its current term.
	firstActionAt time.Time
}

// NewClaimant returns the claimant of the named process; random draws uniformly from
// [0, 1).
func NewClaimant(name string, timing Timing, now time.Time, random func() float64) *Claimant {
	c := &Claimant{name: name, timing: timing, random: random, started: now, leaseSince: now, cooldownUntil: now.Add(timing.Cooldown)}
	c.drawJitter()
	return c
}

func (c *Claimant) drawJitter() { c.jitter = time.Duration(c.random() * float64(c.timing.Jitter)) }

// LastLease returns the lease as last observed.
func (c *Claimant) LastLease() Lease { return c.lease }

// Observe updates the lease from the replicated log. A late observation only makes
// claims stale.
func (c *Claimant) Observe(now time.Time, l Lease) {
	if l == c.lease {
		return
	}
	if c.lease.Holder == c.name && l.Holder != c.name {
		c.startCooldown(now)
	}
	if l.Term != c.lease.Term {
		c.firstActionAt = time.Time{}
	}
	c.lease, c.leaseSince, c.released = l, now, false
	c.drawJitter()
}

// startCooldown ends this instance's hold of the lease.
func (c *Claimant) startCooldown(now time.Time) {
	c.validUntil = time.Time{}
	c.cooldownUntil = now.Add(c.timing.Cooldown)
}

// Claim returns the claim to send now; ok is false if none is due.
func (c *Claimant) Claim(now time.Time) (claim Claim, ok bool) {
	if !c.due(now) {
		return Claim{}, false
	}
	c.claimedAt = now
	return Claim{Holder: c.name, Expected: c.lease}, true
}

func (c *Claimant) due(now time.Time) bool {
	switch {
	case now.Sub(c.claimedAt) < c.timing.Renew && !c.claimedAt.IsZero():
		return false
	case c.lease.Holder == c.name:
		return !c.released || !now.Before(c.cooldownUntil)
	case c.lease.Term == 0: // there has been no holder yet
		return now.Sub(c.started) >= c.jitter
	case c.lease.Holder == "":
		return !now.Before(c.cooldownUntil) && now.Sub(c.leaseSince) >= c.jitter
	}
	return now.Sub(c.leaseSince) >= c.timing.TakeOver+c.jitter
}

// Granted records that the claim sent at the given time was granted, and the resulting
// lease.
func (c *Claimant) Granted(now, sent time.Time, l Lease) {
	c.Observe(now, l)
	if l.Holder == c.name && !c.released {
		c.validUntil = sent.Add(c.timing.Validity)
	}
}

// Holds reports whether this instance may act.
func (c *Claimant) Holds(now time.Time) bool {
	return c.lease.Holder == c.name && now.Before(c.validUntil)
}

// RecordAction records that this instance is about to act, as its requests may take
// effect from now on.
func (c *Claimant) RecordAction(now time.Time) {
	if c.firstActionAt.IsZero() {
		c.firstActionAt = now
	}
}

// Release returns the claim that releases the lease; this instance must not act from
// then on. ok is false if it doesn't hold the lease, and for a time after its first
// action. In that case the lease expires or is released later.
func (c *Claimant) Release(now time.Time) (claim Claim, ok bool) {
	if c.lease.Holder != c.name || !c.firstActionAt.IsZero() && now.Sub(c.firstActionAt) < c.timing.Exclusive {
		return Claim{}, false
	}
	c.startCooldown(now)
	c.claimedAt, c.released = now, true
	return Claim{Holder: c.name, Expected: c.lease, Release: true}, true
}
