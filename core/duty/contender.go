package duty

import "time"

// Contender decides for one instance when to claim a lease, and whether it may act.
// Times are those of a clock that goes on while the instance is suspended. Not safe for
// concurrent use.
type Contender struct {
	name   string
	rules  Rules
	random func() float64

	started, seenAt time.Time
	seen            Lease
	// wait is what the lot has added to this instance's wait for the lease seen.
	wait time.Duration
	// claimedAt is when the last claim was sent, validUntil the end of the last granted
	// one's validity.
	claimedAt, validUntil time.Time
	// restUntil is how long a released lease is left to others; released: this instance
	// has asked to give back the lease seen.
	restUntil time.Time
	released  bool
	// actedAt is when this instance first acted in its present term.
	actedAt time.Time
}

// NewContender returns the contender of the named process; random draws uniformly from
// [0, 1).
func NewContender(name string, rules Rules, now time.Time, random func() float64) *Contender {
	c := &Contender{name: name, rules: rules, random: random, started: now, seenAt: now, restUntil: now.Add(rules.Rest)}
	c.draw()
	return c
}

func (c *Contender) draw() { c.wait = time.Duration(c.random() * float64(c.rules.Spread)) }

// Seen is the lease as it was last observed.
func (c *Contender) Seen() Lease { return c.seen }

// Observe takes the lease as the replicated log has it. What is seen late only makes
// claims stale.
func (c *Contender) Observe(now time.Time, l Lease) {
	if l == c.seen {
		return
	}
	if c.seen.Holder == c.name && l.Holder != c.name {
		c.rest(now)
	}
	if l.Term != c.seen.Term {
		c.actedAt = time.Time{}
	}
	c.seen, c.seenAt, c.released = l, now, false
	c.draw()
}

// rest ends what this instance holds.
func (c *Contender) rest(now time.Time) {
	c.validUntil = time.Time{}
	c.restUntil = now.Add(c.rules.Rest)
}

// Claim returns what to ask for now; ok is false for nothing.
func (c *Contender) Claim(now time.Time) (claim Claim, ok bool) {
	if !c.due(now) {
		return Claim{}, false
	}
	c.claimedAt = now
	return Claim{Holder: c.name, Expected: c.seen}, true
}

func (c *Contender) due(now time.Time) bool {
	switch {
	case now.Sub(c.claimedAt) < c.rules.Renew && !c.claimedAt.IsZero():
		return false
	case c.seen.Holder == c.name:
		return !c.released || !now.Before(c.restUntil)
	case c.seen.Term == 0: // nobody has ever acted
		return now.Sub(c.started) >= c.wait
	case c.seen.Holder == "":
		return !now.Before(c.restUntil) && now.Sub(c.seenAt) >= c.wait
	}
	return now.Sub(c.seenAt) >= c.rules.TakeOver+c.wait
}

// Granted notes that the claim sent at a time was granted, and the lease since.
func (c *Contender) Granted(now, sent time.Time, l Lease) {
	c.Observe(now, l)
	if l.Holder == c.name && !c.released {
		c.validUntil = sent.Add(c.rules.Validity)
	}
}

// Holds reports whether this instance may act.
func (c *Contender) Holds(now time.Time) bool {
	return c.seen.Holder == c.name && now.Before(c.validUntil)
}

// Acted notes that this instance is about to act: what it sends may take effect.
func (c *Contender) Acted(now time.Time) {
	if c.actedAt.IsZero() {
		c.actedAt = now
	}
}

// Release returns the claim that gives the lease back; nothing is done any more from
// then on. ok is false without the lease, and for a time after the first effect: the
// lease then runs out by itself, or is released later.
func (c *Contender) Release(now time.Time) (claim Claim, ok bool) {
	if c.seen.Holder != c.name || !c.actedAt.IsZero() && now.Sub(c.actedAt) < c.rules.Exclusive {
		return Claim{}, false
	}
	c.rest(now)
	c.claimedAt, c.released = now, true
	return Claim{Holder: c.name, Expected: c.seen, Release: true}, true
}
