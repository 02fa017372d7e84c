package balance

import (
	"slices"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/rendezvous"
)

// brittleState is what is known of a server's brittleness.
type brittleState struct {
	ratelimit.Announced
	// observedRoom is the number of running calls at the latest rejection, at rejectedAt.
	observedRoom int
	rejectedAt   time.Time
	// rank is this instance's rank among the owners of the server's slots, as of
	// ownersRevision.
	rank           int
	ownersRevision uint64
}

// SetSlotOwners sets the names of the instances among which the slots of brittle servers are
// divided, this one included. The list must not be changed afterwards.
func (b *Balancer) SetSlotOwners(names []string) {
	if len(names) == len(b.slotOwners) && (len(names) == 0 || &names[0] == &b.slotOwners[0]) {
		return
	}
	b.slotOwners = names
	b.ownersRevision++
}

// ownerRank returns this instance's rank among the owners of a server's slots.
func (b *Balancer) ownerRank(s *server) int {
	if s.brittle.ownersRevision == b.ownersRevision {
		return s.brittle.rank
	}
	own := rendezvous.Score(s.ID, b.name)
	rank := 0
	for _, name := range b.slotOwners {
		if name != b.name && rendezvous.Score(s.ID, name) > own {
			rank++
		}
	}
	s.brittle.rank, s.brittle.ownersRevision = rank, b.ownersRevision
	return rank
}

// brittleTTL is how long an announcement counts without an answer that confirms it. Servers of
// a pool are brittle at the same time: one that has not answered since takes over what the
// others announce.
const brittleTTL = 3 * time.Second

// RecordBrittle records the rejections per second that a server has announced to bear in an
// answer; not limited if it is not brittle.
func (b *Balancer) RecordBrittle(now time.Time, id string, l ratelimit.Limit) {
	s := b.servers[id]
	if s == nil {
		return
	}
	p := b.pool(s.Pool)
	if !l.Limited && p.brittle.Since.IsZero() {
		return // most pools never are
	}
	if p.brittle.Observe(now, l) {
		b.noteBrittleChange(s, l)
	}
	s.brittle.Observe(now, l)
}

// noteBrittleChange buffers the change for BrittleChanges.
func (b *Balancer) noteBrittleChange(s *server, l ratelimit.Limit) {
	if len(b.brittleChanges) < maxLimitChanges {
		b.brittleChanges = append(b.brittleChanges, LimitChange{Server: s.ID, Pool: s.Pool, Limit: l})
	}
}

// BrittleChanges returns the changes of pools' brittleness since the previous call.
func (b *Balancer) BrittleChanges() []LimitChange {
	out := b.brittleChanges
	b.brittleChanges = nil
	return out
}

// PoolBrittleness is what this instance knows of the brittleness of a pool's servers.
type PoolBrittleness struct {
	Pool string
	// Limit holds the rejections per second that end a server, announced at Since and last
	// confirmed at Confirmed.
	ratelimit.Limit
	Since, Confirmed time.Time
	// Owners is the number of instances among which the slots are divided.
	Owners int
}

// Brittle returns the pools whose servers have announced that they are brittle.
func (b *Balancer) Brittle() []PoolBrittleness {
	var out []PoolBrittleness
	for name, p := range b.pools {
		if p.brittle.Limited {
			out = append(out, PoolBrittleness{Pool: name, Limit: p.brittle.Limit, Since: p.brittle.Since, Confirmed: p.brittle.Confirmed(), Owners: len(b.slotOwners)})
		}
	}
	return out
}

// IsBrittle reports whether a server is treated as brittle.
func (b *Balancer) IsBrittle(now time.Time, id string) bool {
	s := b.servers[id]
	return s != nil && b.brittleness(now, b.pool(s.Pool), s).Limited
}

// brittleness returns the rejections per second that a server bears; not limited if it is not
// brittle.
func (b *Balancer) brittleness(now time.Time, p *pool, s *server) ratelimit.Limit {
	if p.brittle.Since.IsZero() {
		return ratelimit.Limit{}
	}
	known := &s.brittle
	if now.Sub(known.Confirmed()) < brittleTTL {
		return known.Limit
	}
	if now.Sub(p.brittle.Confirmed()) < brittleTTL {
		return p.brittle.Limit
	}
	return ratelimit.Limit{}
}

// room describes the use of a server's slots.
func (b *Balancer) room(now time.Time, p *pool, s *server, share float64) ratelimit.Room {
	slots := s.Slots
	if now.Sub(s.brittle.rejectedAt) < ratelimit.RoomTime {
		slots = min(slots, s.brittle.observedRoom)
	}
	r := ratelimit.Room{Slots: slots, Own: s.own.Running, All: s.load().Running,
		Owned: ratelimit.OwnedSlots(slots, len(b.slotOwners), b.ownerRank(s))}
	if share > 0 {
		r.Arrivals = p.calls.rate(now) / share / float64(len(p.servers))
	}
	return r
}

// brittleWait returns how long a call has to wait until it may be sent to a server because the
// server is brittle: zero if there is room. brittle is false if the server is not.
func (b *Balancer) brittleWait(now time.Time, p *pool, s *server, share func() float64) (wait time.Duration, brittle bool) {
	l := b.brittleness(now, p, s)
	if !l.Limited {
		return 0, false
	}
	r := b.room(now, p, s, share())
	switch {
	case l.Bears(r.Arrivals):
		return 0, true
	case now.Before(s.fullUntil):
		return s.fullUntil.Sub(now), true
	case r.Certain(), r.Likely():
		return 0, true
	}
	return brittlePoll, true
}

// brittlePoll is the time until a call that waits for room looks again.
const brittlePoll = 20 * time.Millisecond

// filterBrittle removes the brittle servers that a call may not be sent to now, or all brittle
// ones if calls with precedence wait for them. It modifies the list in place.
func (b *Balancer) filterBrittle(now time.Time, poolName string, list []*server, skip bool) []*server {
	p := b.pool(poolName)
	if p.brittle.Since.IsZero() {
		return list
	}
	share := b.lazyShare(now, poolName)
	return slices.DeleteFunc(list, func(s *server) bool {
		wait, brittle := b.brittleWait(now, p, s, share)
		return brittle && (skip || wait > 0)
	})
}

// recordRejection records that a brittle server had no room for a call.
func (b *Balancer) recordRejection(now time.Time, s *server) {
	if b.brittleness(now, b.pool(s.Pool), s).Limited {
		s.brittle.observedRoom, s.brittle.rejectedAt = max(1, s.load().Running-1), now
	}
}

// RoomWait returns how long a call has to wait for room at the brittle servers of a pool, at
// least; brittle is false if none of them is brittle.
func (b *Balancer) RoomWait(now time.Time, poolName string, exclude func(s *fleet.Server) bool) (wait time.Duration, brittle bool) {
	p := b.pool(poolName)
	if p.brittle.Since.IsZero() {
		return 0, false
	}
	share := b.lazyShare(now, poolName)
	for _, s := range usable(now, p.servers, exclude) {
		if w, isBrittle := b.brittleWait(now, p, s, share); isBrittle && (!brittle || w < wait) {
			wait, brittle = w, true
		}
	}
	return wait, brittle
}
