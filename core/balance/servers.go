package balance

import (
	"cmp"
	"slices"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/rendezvous"
)

// noSlot is the slot of a server that has been removed.
const noSlot = -1

// SetFleet sets the current servers. The state of servers that remain is kept at the
// cost of a comparison: in a large fleet some servers change all the time while most
// do not. Lists sorted by ID cost least.
func (b *Balancer) SetFleet(list []fleet.Server) {
	if !slices.IsSortedFunc(list, fleet.CompareIDs) {
		list = slices.SortedFunc(slices.Values(list), fleet.CompareIDs)
	}
	d := b.diffFleet(list)
	for _, s := range d.removed {
		b.remove(s)
	}
	for _, i := range d.added {
		d.current[i] = b.add(&list[i])
	}
	b.current = d.current
	for name := range d.changedPools() {
		b.pool(name).sortServers()
	}
}

// ReadyServers returns the servers of a pool that accept calls; the overdue ones only if there
// are no others.
func (b *Balancer) ReadyServers(poolName string) []fleet.Server {
	var announced, overdue []fleet.Server
	for _, s := range b.pool(poolName).servers {
		switch {
		case s.Phase != fleet.Ready:
		case s.Overdue:
			overdue = append(overdue, s.Server)
		default:
			announced = append(announced, s.Server)
		}
	}
	if len(announced) == 0 {
		return overdue
	}
	return announced
}

// NewerStart returns a newer start of a server, if one is listed in the pool.
func (b *Balancer) NewerStart(poolName string, start fleet.Start) (newer fleet.Server, ok bool) {
	for _, s := range b.pool(poolName).servers {
		if s.StableName() == start.Name && s.StartedAt > start.StartedAt {
			return s.Server, true
		}
	}
	return fleet.Server{}, false
}

// HasServer reports whether a pool has a server that may take a call, now or after a wait.
func (b *Balancer) HasServer(now time.Time, poolName string, exclude func(s *fleet.Server) bool) bool {
	return len(usable(now, b.pool(poolName).servers, exclude)) > 0
}

// OtherReady returns the pool of a server and another server of it that accepts calls, if there
// is one. random returns uniform values from [0, 1).
func (b *Balancer) OtherReady(id string, random func() float64) (poolName string, other fleet.Server, ok bool) {
	s := b.servers[id]
	if s == nil {
		return "", fleet.Server{}, false
	}
	list := b.pool(s.Pool).servers
	start := int(random() * float64(len(list)))
	for i := range list {
		if x := list[(start+i)%len(list)]; x != s && x.AcceptsWork() {
			return s.Pool, x.Server, true
		}
	}
	return s.Pool, fleet.Server{}, false
}

// ServerCount returns the number of servers of a pool.
func (b *Balancer) ServerCount(poolName string) int { return len(b.pool(poolName).servers) }

// fleetDiff is the difference between two fleet updates.
type fleetDiff struct {
	// current holds the servers of the new list, nil for those that were added; added holds
	// their indexes.
	current []*server
	added   []int
	removed []*server
}

// diffFleet compares a list with the last one, both sorted by ID, and updates the servers that
// remain. A server that moved to another pool is both added and removed.
func (b *Balancer) diffFleet(list []fleet.Server) fleetDiff {
	d := fleetDiff{current: make([]*server, len(list))}
	before := b.current
	for i := range list {
		f := &list[i]
		for len(before) > 0 && before[0].ID < f.ID {
			d.removed, before = append(d.removed, before[0]), before[1:]
		}
		if len(before) == 0 || before[0].ID != f.ID {
			d.added = append(d.added, i)
			continue
		}
		s := before[0]
		before = before[1:]
		if s.Pool != f.Pool {
			d.removed, d.added = append(d.removed, s), append(d.added, i)
			continue
		}
		s.Server, d.current[i] = *f, s
	}
	d.removed = append(d.removed, before...)
	return d
}

// changedPools returns the pools whose set of servers has changed.
func (d *fleetDiff) changedPools() map[string]bool {
	out := map[string]bool{}
	for _, i := range d.added {
		out[d.current[i].Pool] = true
	}
	for _, s := range d.removed {
		out[s.Pool] = true
	}
	return out
}

// remove deletes a server. It stays in its pool's list until sortServers is called.
func (b *Balancer) remove(s *server) {
	delete(b.servers, s.ID)
	b.running -= s.own.Running
	for _, p := range b.peers {
		p.forgetServer(s)
	}
	b.markChanged(s) // the slot is vacated
	b.slots[s.slot] = nil
	b.freeSlots = append(b.freeSlots, s.slot)
	s.slot = noSlot
}

// add creates a server and applies the counts that peers have already reported for it.
func (b *Balancer) add(f *fleet.Server) *server {
	s := &server{Server: *f, order: rendezvous.Score("", f.ID), slowness: 1}
	b.servers[f.ID] = s
	b.allocateSlot(s)
	b.markChanged(s)
	p := b.pool(f.Pool)
	p.servers = append(p.servers, s)
	for _, peer := range b.peers {
		if number, ok := peer.unknown[f.ID]; ok {
			b.applyRow(peer, number)
			delete(peer.unknown, f.ID)
		}
	}
	return s
}

func (b *Balancer) allocateSlot(s *server) {
	if n := len(b.freeSlots); n > 0 {
		s.slot, b.freeSlots = b.freeSlots[n-1], b.freeSlots[:n-1]
		b.slots[s.slot] = s
		return
	}
	s.slot = len(b.slots)
	b.slots = append(b.slots, s)
}

// sortServers deletes removed servers and puts the others into boundary order.
func (p *pool) sortServers() {
	p.sides.applied = nil
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.slot == noSlot })
	slices.SortFunc(p.servers, func(x, y *server) int { return cmp.Compare(x.order, y.order) })
}

// forgetServer removes the peer's counts for a removed server from the sums. The
// server's number is kept, because the peer sends counts only when they change and
// they apply again if the server returns.
func (p *peer) forgetServer(s *server) {
	row := p.row(s.slot)
	if row == (counts.Row{}) {
		return
	}
	p.running -= row.Load.Running
	p.bySlot[s.slot] = counts.Row{}
	for number := range p.in.Servers() {
		if id, _ := p.in.Server(number); id == s.ID {
			p.recordUnknown(id, number)
		}
	}
}

// recordUnknown records the number of a server that this instance does not know.
func (p *peer) recordUnknown(id string, number int) {
	if p.unknown == nil {
		p.unknown = map[string]int{}
	}
	p.unknown[id] = number
}
