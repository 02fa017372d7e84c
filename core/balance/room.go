package balance

import (
	"cmp"
	"slices"
	"time"

	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/rendezvous"
)

// slots returns how many calls may run at a brittle server. Servers that have rejected nothing
// themselves are taken for like the others of their pool, but for what they have shown to bear.
func (c *brittleCheck) slots(s *server) int {
	slots, known := max(1, s.Slots), &s.brittle
	bears := brittleness(c.now, c.pool, s)
	if known.rejections.Doubtful(c.now, bears) {
		return 1 // less room than is known
	}
	if known.room.Known() {
		return min(slots, known.room.Slots(c.now, bears))
	}
	if !known.tellsLoad {
		known.proven = max(known.proven, s.load().Running)
	}
	if c.pool.room.Known() {
		return min(slots, max(known.proven, c.pool.room.Slots(c.now, bears)))
	}
	if c.b.starting(c.now, slowStartTime) {
		return min(slots, c.firstSlots(s, bears))
	}
	return slots
}

// firstSlots returns how many calls may run at a server while nothing is known of the room of its pool:
// as many as one of the pool's servers has run. Only the first server takes more, so that it alone is
// put at risk.
func (c *brittleCheck) firstSlots(s *server, bears ratelimit.Limit) int {
	proven := max(1, c.pool.proven)
	if s != c.probed() {
		return max(proven, s.brittle.proven)
	}
	return proven + max(1, int(min(bears.PerSecond, float64(proven))), proven/firstStepShare)
}

// firstStepShare is the part of the calls that a server has run by which the next step of a start is
// larger: in steps of what the server bears alone, a server of many slots would take long.
const firstStepShare = 4

// probed returns the first of the pool's servers that takes calls, the same for all instances that
// agree on which do.
func (c *brittleCheck) probed() *server {
	if c.prober == nil {
		for _, s := range c.pool.servers {
			if !s.down(c.now) && !c.now.Before(s.brittle.endedUntil) {
				c.prober = s
				break
			}
		}
	}
	return c.prober
}

// fitsMemory reports whether the call's tokens fit into the KV cache of a server beside those of
// the running calls. Prompts may fill it before all slots are used. Of what all instances may use,
// this one uses in its own slots as much as they are of all slots.
func (c *brittleCheck) fitsMemory(s *server, owned, slots int) bool {
	need := c.call.kvTokens()
	if c.pool.kvTokens == 0 || need == 0 {
		return true
	}
	memory, own := maxKVUse*float64(c.pool.kvTokens), s.ownUse(c.now)
	if float64(own.KVTokens+s.peerRow.Load.KVTokens+need) > memory {
		return false
	}
	part := max(float64(need), memory*float64(owned)/float64(slots))
	return own.Running >= owned || float64(own.KVTokens+need) <= part
}

// RecordBusy records that a server refused a call for another reason than its room.
func (b *Balancer) RecordBusy(now time.Time, id string) {
	if s := b.servers[id]; s != nil {
		s.fullUntil = now.Add(fullTime)
	}
}

// RecordFull records that a server refused a call for lack of room. calls is the number of calls that
// the server says to have, negative if it is unknown. RecordFull returns the room of a brittle server
// that the rejection shows, for OtherSlotOwners, or 0 if it shows nothing.
func (b *Balancer) RecordFull(now time.Time, id string, calls int) (room int) {
	if !b.IsBrittle(now, id) {
		b.RecordBusy(now, id)
		return 0
	}
	s := b.servers[id]
	b.recordRejection(now, s, calls)
	if calls < 0 {
		s.brittle.room.Record(now, s.load().Running-1) // calls of other instances may be missing
		return 0
	}
	if s.brittle.proven > calls {
		calls-- // the room shrinks: calls that have it run on until they end
	}
	room = max(1, calls)
	b.recordRoom(now, s, room)
	return room
}

// MergeRejection records that a server has refused a call of another instance, and the room that this
// shows, 0 for none.
func (b *Balancer) MergeRejection(now time.Time, id string, room int) {
	if !b.IsBrittle(now, id) {
		b.RecordBusy(now, id)
		return
	}
	s := b.servers[id]
	b.recordRejection(now, s, room)
	if room > 0 {
		b.recordRoom(now, s, room)
	}
}

// recordRejection records a rejection by a server with a number of calls, negative if it is unknown.
func (b *Balancer) recordRejection(now time.Time, s *server, calls int) {
	probe := s.brittle.room.FailedProbe(now, calls)
	s.brittle.rejections.Record(now, probe)
	if !probe {
		b.RecordBusy(now, s.ID)
	}
	if s.brittle.abandoned.recordRejection(now) {
		b.pool(s.Pool).runsOnUntil = now.Add(runsOnTime)
	}
	s.brittle.loans.expire(now)
}

func (b *Balancer) recordRoom(now time.Time, s *server, room int) {
	known, p := &s.brittle, b.pool(s.Pool)
	known.room.Record(now, room)
	known.proven = room
	if !p.room.Known() || room < p.room.Slots(now, brittleness(now, p, s)) {
		p.room.Record(now, room)
	}
}

// RecordCalls records the number of calls that a server says to have with one that it has taken.
func (b *Balancer) RecordCalls(id string, calls int) {
	s := b.servers[id]
	if s == nil || !b.pool(s.Pool).brittle.Limited {
		return
	}
	p := b.pool(s.Pool)
	s.brittle.tellsLoad = true
	s.brittle.proven = max(s.brittle.proven, calls)
	p.proven = max(p.proven, min(calls, s.Slots))
}

// forgetRoom forgets what rejections have shown, since the servers are no longer brittle.
func (p *pool) forgetRoom() {
	if !p.room.Known() && p.proven == 0 {
		return
	}
	p.room, p.proven = ratelimit.RoomEstimate{}, 0
	for _, s := range p.servers {
		s.brittle.room, s.brittle.proven = ratelimit.RoomEstimate{}, 0
	}
}

// RecordRefusedConnection records that nothing listens at a server's address.
func (b *Balancer) RecordRefusedConnection(now time.Time, id string) {
	if s := b.servers[id]; s != nil && s.StartedAt > 0 {
		s.brittle.endedUntil = now.Add(endedTime)
	}
}

// OtherSlotOwners returns the names of the other instances that own slots of a server.
func (b *Balancer) OtherSlotOwners(id string) []string {
	s := b.servers[id]
	if s == nil {
		return nil
	}
	names := slices.Clone(b.divisions.present.names)
	if len(names) > s.Slots {
		scores := make(map[string]uint64, len(names))
		for _, name := range names {
			scores[name] = rendezvous.Score(s.StableName(), name)
		}
		slices.SortFunc(names, func(x, y string) int { return cmp.Compare(scores[y], scores[x]) })
		names = names[:max(0, s.Slots)]
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == b.name })
}
