package balance

import (
	"slices"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/rendezvous"
)

// brittleState is what is known of a server's brittleness.
type brittleState struct {
	ratelimit.Announced
	// room is what rejections of this server have shown, and proven the highest number of calls
	// that it has run while there were none.
	room   ratelimit.RoomEstimate
	proven int
	// tellsLoad is set if the server says how many calls it runs.
	tellsLoad bool
	// endedUntil is until when the server counts as ended, because its address refused a
	// connection. Whatever answers there before is a start that is not listed yet.
	endedUntil time.Time
	abandoned  abandonedRuns
	rejections ratelimit.Rejections
	loans      loans
	// ranks caches this instance's ranks among the present and the former owners of the server's
	// slots.
	ranks [2]ownerRank
}

// ownerRank is this instance's rank among the owners of a server's slots in a division.
type ownerRank struct {
	rank     int
	revision uint64
}

// division is a division of the slots of brittle servers among instances.
type division struct {
	// names are the instances; owns is set if this one is among them.
	names    []string
	owns     bool
	revision uint64
}

// slotDivisions holds the present division of the slots, and the former one until the handover to the
// present one is complete.
type slotDivisions struct {
	present, former division
	handoverUntil   time.Time
}

// Times of the first knowledge after a start.
const (
	// slotSettleTime is the time after its start in which an instance owns no slots: it may not
	// know all others yet.
	slotSettleTime = 1500 * time.Millisecond
	// handoverTime is the time after a change of the owners in which an instance uses no slots that
	// it did not own before: others may not know of the change yet, and the counts of their calls
	// are as old as an exchange.
	handoverTime = time.Second
	// endedTime is how long a server counts as ended without another sign: a new start is listed
	// sooner.
	endedTime = 4 * time.Second
	// slowStartTime is the time after its start in which an instance fills servers, whose room it does
	// not know, step by step.
	slowStartTime = 4 * time.Second
	// askTime is the time after its start in which an instance waits for another one to say
	// which pools are brittle. After it, single calls find out.
	askTime = 300 * time.Millisecond
)

// SetSlotOwners sets the names of the instances among which the slots of brittle servers are
// divided. Without its own name in it, this instance owns none. The list must not be changed
// afterwards. The first call counts as the start of the instance.
func (b *Balancer) SetSlotOwners(now time.Time, names []string) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	d := &b.divisions.present
	if len(names) == len(d.names) && (len(names) == 0 || &names[0] == &d.names[0]) {
		return
	}
	if now.After(b.divisions.handoverUntil) {
		b.divisions.former = *d
	}
	b.divisions.present = division{names: names, owns: slices.Contains(names, b.name), revision: d.revision + 1}
	b.divisions.handoverUntil = now.Add(handoverTime)
}

// starting reports whether the start was less than a time ago.
func (b *Balancer) starting(now time.Time, d time.Duration) bool {
	return !b.startedAt.IsZero() && now.Sub(b.startedAt) < d
}

// ownedSlots returns how many of a server's slots only this instance uses.
func (b *Balancer) ownedSlots(now time.Time, s *server, slots int) int {
	owned := b.divisions.present.owned(b.name, s, slots, &s.brittle.ranks[0])
	if d := &b.divisions.former; now.Before(b.divisions.handoverUntil) && d.revision > 0 {
		owned = min(owned, d.owned(b.name, s, slots, &s.brittle.ranks[1]))
	}
	return owned
}

// owned returns how many of a server's slots the named instance owns. Its rank is the same for all
// starts of the server, since instances learn of a start at different times.
func (d *division) owned(name string, s *server, slots int, cached *ownerRank) int {
	if !d.owns {
		return 0
	}
	if cached.revision != d.revision {
		own := rendezvous.Score(s.StableName(), name)
		*cached = ownerRank{revision: d.revision}
		for _, other := range d.names {
			if other != name && rendezvous.Score(s.StableName(), other) > own {
				cached.rank++
			}
		}
	}
	return ratelimit.OwnedSlots(slots, len(d.names), cached.rank)
}

// serverAnnouncementTime is how long what a server itself has announced goes before what others
// of its pool announce. All servers of a pool are brittle at the same time.
const serverAnnouncementTime = 3 * time.Second

// RecordBrittle records the rejections per second that a server has announced to bear in an
// answer; not limited if it is not brittle.
func (b *Balancer) RecordBrittle(now time.Time, id string, l ratelimit.Limit) {
	s := b.servers[id]
	if s == nil {
		return
	}
	p := b.pool(s.Pool)
	p.answered = true
	if !l.Limited && p.brittle.Since.IsZero() {
		return // most pools never are
	}
	if p.brittle.Observe(now, l) {
		b.noteBrittleChange(LimitChange{Server: s.ID, Pool: s.Pool, Limit: l})
	}
	s.brittle.Observe(now, l)
	if !l.Limited {
		p.forgetRoom()
	}
}

// noteBrittleChange buffers the change for BrittleChanges.
func (b *Balancer) noteBrittleChange(c LimitChange) {
	if len(b.brittleChanges) < maxLimitChanges {
		b.brittleChanges = append(b.brittleChanges, c)
	}
}

// endRetention is how long the end of a pool's brittleness is reported to others.
const endRetention = time.Minute

// brittleReports returns what this instance knows of brittle pools, for another instance.
func (b *Balancer) brittleReports(now time.Time) (list []counts.Brittle, starting bool) {
	for name, p := range b.pools {
		known := &p.brittle
		if known.Limited || !known.Since.IsZero() && now.Sub(known.Since) < endRetention {
			x := counts.NewBrittle(name, known.Limit, now.Sub(known.Confirmed()))
			if p.room.Known() {
				x.SetRoom(p.room.Latest(now))
			}
			x.SetProven(p.proven)
			list = append(list, x)
		}
	}
	return list, !b.informed && b.starting(now, slotSettleTime)
}

// mergeBrittle applies what another instance knows of brittle pools.
func (b *Balancer) mergeBrittle(now time.Time, from *peer, m *counts.Message) {
	for _, x := range m.Brittle {
		if b.pool(x.Pool).brittle.Merge(now, x.Limit(), x.Age()) {
			b.noteBrittleChange(LimitChange{Pool: x.Pool, Limit: x.Limit(), From: from.name})
		}
		if p := b.pool(x.Pool); p.brittle.Limited {
			room, age := x.LatestRoom()
			p.room.Merge(now, room, age, p.brittle.Limit)
			p.proven = max(p.proven, x.ProvenCalls())
		} else {
			p.forgetRoom()
		}
	}
	b.informed = b.informed || !m.Starting
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
	// Owners is the number of instances among which the slots are divided, and Unheard of how
	// many of them no counts are known.
	Owners, Unheard int
}

// Brittle returns the pools whose servers have announced that they are brittle.
func (b *Balancer) Brittle(now time.Time) []PoolBrittleness {
	var out []PoolBrittleness
	for name, p := range b.pools {
		if p.brittle.Limited {
			out = append(out, PoolBrittleness{Pool: name, Limit: p.brittle.Limit, Since: p.brittle.Since, Confirmed: p.brittle.Confirmed(), Owners: len(b.divisions.present.names), Unheard: b.unheard(now)})
		}
	}
	return out
}

// IsBrittle reports whether a server is treated as brittle.
func (b *Balancer) IsBrittle(now time.Time, id string) bool {
	s := b.servers[id]
	return s != nil && brittleness(now, b.pool(s.Pool), s).Limited
}

// RoomState is the use of a brittle server's slots as this instance knows it.
type RoomState struct {
	ratelimit.Room
	// Owners is the number of instances among which the slots are divided, and Unheard of how
	// many of them no counts are known.
	Owners, Unheard int
	// Abandoned is the number of this instance's runs at the server that may go on although their
	// calls are over, and Rejections that of the calls that it has rejected within about a second.
	Abandoned, Rejections int
}

// RoomState returns the use of a server's slots; ok is false if it is not treated as brittle.
func (b *Balancer) RoomState(now time.Time, id string) (r RoomState, ok bool) {
	if !b.IsBrittle(now, id) {
		return r, false
	}
	s := b.servers[id]
	c, _ := b.checkBrittle(now, s.Pool, Call{})
	return RoomState{Room: c.room(s), Owners: len(b.divisions.present.names), Unheard: b.unheard(now),
		Abandoned: s.brittle.abandoned.load(now).Running, Rejections: s.brittle.rejections.Count(now)}, true
}

// brittleness returns the rejections per second that a server bears; not limited if it is not
// brittle. Only an answer ends brittleness: a server that has been silent was not seen without it.
func brittleness(now time.Time, p *pool, s *server) ratelimit.Limit {
	if known := &s.brittle; now.Sub(known.Confirmed()) < serverAnnouncementTime {
		return known.Limit
	}
	return p.brittle.Limit
}

// unheard returns the number of slot owners whose counts are not known.
func (b *Balancer) unheard(now time.Time) int {
	return max(0, len(b.divisions.present.names)-b.countedInstances(now, func(*peer) bool { return true }))
}

// brittleCheck decides for one call which servers of a pool have room for it.
type brittleCheck struct {
	b    *Balancer
	now  time.Time
	pool *pool
	call Call
	// unknown is set if the pool may be brittle without this instance knowing of it; findOut is
	// how long the call has to wait then.
	unknown bool
	findOut time.Duration
	settled bool
	share   func() float64
	// prober caches the result of probed.
	prober *server
}

// checkBrittle returns the check for a call on a pool; ok is false if no server is brittle.
func (b *Balancer) checkBrittle(now time.Time, poolName string, call Call) (c brittleCheck, ok bool) {
	p := b.pool(poolName)
	c = brittleCheck{b: b, now: now, pool: p, call: call, settled: !b.starting(now, slotSettleTime)}
	if p.brittle.Since.IsZero() {
		c.unknown = !c.settled && !b.informed && !p.answered
		if c.unknown {
			c.findOut = b.findOutWait(now, p)
		}
		return c, c.unknown
	}
	c.share = b.lazyShare(now, poolName)
	return c, true
}

// findOutWait returns how long a call has to wait because nothing is known of its pool. One call
// at a time is sent to find out.
func (b *Balancer) findOutWait(now time.Time, p *pool) time.Duration {
	if b.starting(now, askTime) {
		return brittlePoll
	}
	for _, s := range p.servers {
		if s.own.Running > 0 {
			return brittlePoll
		}
	}
	return 0
}

// room describes the use of a server's slots.
func (c *brittleCheck) room(s *server) ratelimit.Room {
	slots := c.slots(s)
	own := s.ownUse(c.now).Running
	return ratelimit.Room{Slots: slots, Own: own, All: own + s.peerRow.Load.Running, Owned: c.b.ownSlots(c.now, s, slots),
		Handover: c.now.Before(c.b.divisions.handoverUntil)}
}

// arrivals returns the expected number of calls a second of all instances at each server.
func (c *brittleCheck) arrivals() float64 {
	share := c.share()
	if share <= 0 {
		return 0
	}
	return c.pool.calls.rate(c.now) / share / float64(len(c.pool.servers))
}

// wait returns how long the call has to wait until it may be sent to a server because the server
// is or may be brittle: zero if there is room. brittle is false if it is not.
func (c *brittleCheck) wait(s *server) (wait time.Duration, brittle bool) {
	if c.unknown {
		return c.findOut, true
	}
	l := brittleness(c.now, c.pool, s)
	if !l.Limited {
		return 0, false
	}
	if pause := s.brittle.rejections.Pause(c.now, l); pause > 0 {
		return pause, true
	}
	r := c.room(s)
	switch {
	case !c.settled, c.now.Before(s.brittle.endedUntil), !c.fitsMemory(s, r.Owned, r.Slots):
		return brittlePoll, true
	case l.Bears(c.arrivals()):
		return 0, true
	case c.now.Before(s.fullUntil):
		return s.fullUntil.Sub(c.now), true
	case r.Certain():
		return 0, true
	}
	return brittlePoll, true
}

// brittlePoll is the time until a call that waits for room looks again.
const brittlePoll = 20 * time.Millisecond

// filterBrittle removes the brittle servers that a call may not be sent to now, or all brittle
// ones if calls with precedence wait for them. It modifies the list in place.
func (b *Balancer) filterBrittle(now time.Time, poolName string, call Call, list []*server) []*server {
	c, ok := b.checkBrittle(now, poolName, call)
	if !ok {
		return list
	}
	return slices.DeleteFunc(list, func(s *server) bool {
		wait, brittle := c.wait(s)
		return brittle && (call.SkipLimited || wait > 0)
	})
}

// RoomWait returns how long a call has to wait for room at the brittle servers of a pool, at
// least; brittle is false if none of them is brittle.
func (b *Balancer) RoomWait(now time.Time, poolName string, call Call, exclude func(s *fleet.Server) bool) (wait time.Duration, brittle bool) {
	c, ok := b.checkBrittle(now, poolName, call)
	if !ok {
		return 0, false
	}
	for _, s := range usable(now, c.pool.servers, exclude) {
		if w, isBrittle := c.wait(s); isBrittle && (!brittle || w < wait) {
			wait, brittle = w, true
		}
	}
	return wait, brittle
}
