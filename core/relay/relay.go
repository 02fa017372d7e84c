// Package relay chooses the peer that serves a call for an instance that can't reach the
// servers itself.
//
// Any number of instances may be partitioned at the same moment, up to most or all of a zone,
// and all of them choose among the same peers. Peers of the own zone are preferred while at
// least half of the zone is left; beyond that, the load goes to all zones. Among the candidates
// the one of two random ones is taken that serves fewer calls for this instance, so that
// hundreds of instances don't agree on one peer. A peer that can't serve a call is left out for a
// while. One whose reason may be gone with the next call is only the last choice meanwhile: where
// no other is left, one slow response must not cost all calls of that time.
//
// The package does no I/O: the clock and random numbers are passed in.
package relay

import "time"

// Decline is the reason why a peer did not take a call. Nothing was sent to a server then.
type Decline uint8

// Reasons.
const (
	// Unreachable: the peer could not be reached or did not respond.
	Unreachable Decline = iota
	// NoServer: the peer can't reach the pool's servers either.
	NoServer
	// Capacity: the peer serves as many calls for others as it may.
	Capacity
	// Outdated: the peer has an older declaration, or none.
	Outdated
	// Draining: the peer is shutting down.
	Draining
)

// String returns the name used in logs and metrics.
func (d Decline) String() string {
	if int(d) >= len(declineNames) {
		return "unknown"
	}
	return declineNames[d]
}

var declineNames = [...]string{"unreachable", "no server", "capacity", "outdated", "draining"}

// avoidTime is how long a peer is left out, or the last choice, after a decline. Capacity and
// declarations change within a few exchanges; paths take longer to return.
func (d Decline) avoidTime() time.Duration {
	if d == Capacity || d == Outdated {
		return shortAvoidTime
	}
	return longAvoidTime
}

// isBrief reports whether the reason may be gone with the next call.
func (d Decline) isBrief() bool { return d == Unreachable || d == Capacity || d == Outdated }

const (
	shortAvoidTime = 200 * time.Millisecond
	longAvoidTime  = time.Second
)

const (
	// MaxPeers is the number of peers that one call is offered to.
	MaxPeers = 3
	// MaxServed bounds the calls that an instance serves for others at the same time, and
	// MaxServedBytes their bodies.
	MaxServed      = 512
	MaxServedBytes = 32 << 20
)

// Peer is another instance that serves callers.
type Peer struct {
	Name, Zone, Address string
	// Partitioned is set if the instance has announced that it can't reach the servers.
	Partitioned bool
	// LastChoice is set by Choose if the peer has declined lately and no other is left.
	LastChoice bool
}

// Chooser chooses among peers. Not safe for concurrent use.
type Chooser struct {
	zone  string
	state map[string]*peerState
}

type peerState struct {
	inFlight int
	// avoided is until when the peer is left out, by pool; "" applies to all pools.
	avoided map[string]time.Time
	// lastChoice is until when the peer is the last choice.
	lastChoice time.Time
}

// NewChooser returns a chooser for an instance in the given zone.
func NewChooser(zone string) *Chooser { return &Chooser{zone: zone, state: map[string]*peerState{}} }

// Choose returns the peer to offer a call for the pool to, skipping the excluded ones. random
// returns uniform values from [0, 1).
func (c *Chooser) Choose(now time.Time, pool string, peers []Peer, exclude func(address string) bool, random func() float64) (Peer, bool) {
	var near, all, partitioned, lastChoice sample
	inZone := 1 // this instance
	for i := range peers {
		p := &peers[i]
		if p.Zone == c.zone {
			inZone++
		}
		switch {
		case exclude(p.Address) || c.avoids(now, pool, p.Address):
		case c.isLastChoice(now, p.Address):
			lastChoice.add(p, random)
		case p.Partitioned:
			partitioned.add(p, random)
		default:
			all.add(p, random)
			if p.Zone == c.zone {
				near.add(p, random)
			}
		}
	}
	switch {
	case near.n > 0 && 2*near.n >= inZone:
		return c.lessBusy(&near), true
	case all.n > 0:
		return c.lessBusy(&all), true
	case partitioned.n > 0: // it may have been partitioned from another pool
		return c.lessBusy(&partitioned), true
	case lastChoice.n > 0:
		p := c.lessBusy(&lastChoice)
		p.LastChoice = true
		return p, true
	}
	return Peer{}, false
}

// sample holds two random ones, which may be the same, of the n peers that were added.
type sample struct {
	n    int
	a, b *Peer
}

func (s *sample) add(p *Peer, random func() float64) {
	s.n++
	if random()*float64(s.n) < 1 {
		s.a = p
	}
	if random()*float64(s.n) < 1 {
		s.b = p
	}
}

func (c *Chooser) avoids(now time.Time, pool, address string) bool {
	s := c.state[address]
	return s != nil && (now.Before(s.avoided[pool]) || now.Before(s.avoided[""]))
}

func (c *Chooser) isLastChoice(now time.Time, address string) bool {
	s := c.state[address]
	return s != nil && now.Before(s.lastChoice)
}

func (c *Chooser) lessBusy(s *sample) Peer {
	if c.inFlight(s.b.Address) < c.inFlight(s.a.Address) {
		return *s.b
	}
	return *s.a
}

func (c *Chooser) inFlight(address string) int {
	if s := c.state[address]; s != nil {
		return s.inFlight
	}
	return 0
}

func (c *Chooser) peer(address string) *peerState {
	s := c.state[address]
	if s == nil {
		s = &peerState{avoided: map[string]time.Time{}}
		c.state[address] = s
	}
	return s
}

// Start counts a call that is offered to a peer.
func (c *Chooser) Start(address string) { c.peer(address).inFlight++ }

// End records that a call at a peer is over.
func (c *Chooser) End(address string) { c.peer(address).inFlight-- }

// Declined records that a peer did not take a call for a pool.
func (c *Chooser) Declined(now time.Time, address, pool string, d Decline) {
	s, until := c.peer(address), now.Add(d.avoidTime())
	switch {
	case d.isBrief():
		s.lastChoice = until
	case d == Draining:
		s.avoided[""] = until
	default:
		s.avoided[pool] = until
	}
}

// Accepted records that a peer has taken a call.
func (c *Chooser) Accepted(address string) { c.peer(address).lastChoice = time.Time{} }

// Expire forgets the peers that are no longer avoided and serve no call.
func (c *Chooser) Expire(now time.Time) {
	for address, s := range c.state {
		for pool, until := range s.avoided {
			if !now.Before(until) {
				delete(s.avoided, pool)
			}
		}
		if s.inFlight == 0 && len(s.avoided) == 0 && !now.Before(s.lastChoice) {
			delete(c.state, address)
		}
	}
}
