package balance

import (
	"cmp"
	"slices"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
)

// noSlot is the slot of a server that has left.
const noSlot = -1

// SetFleet takes the servers that are there. What is known of those that stay is kept, and
// costs no more than a comparison: in a large fleet some servers change all the time, and
// the others are many.
func (b *Balancer) SetFleet(list []fleet.Server) {
	d := b.compare(list)
	for _, s := range d.gone {
		b.remove(s)
	}
	for i := range d.come {
		b.add(&d.come[i])
	}
	for name := range d.pools() {
		b.pool(name).sortServers()
	}
}

// difference is what has changed in the fleet.
type difference struct {
	come []fleet.Server
	gone []*server
}

// compare takes what servers that stay say now, and returns who has come and gone. A server
// that has gone to another pool does both.
func (b *Balancer) compare(list []fleet.Server) (d difference) {
	b.listing++
	for _, f := range list {
		s := b.servers[f.ID]
		if s == nil || s.Pool != f.Pool {
			d.come = append(d.come, f)
			continue
		}
		s.listing = b.listing
		s.Server = f
	}
	for _, s := range b.slots {
		if s != nil && s.listing != b.listing {
			d.gone = append(d.gone, s)
		}
	}
	return d
}

// pools names the pools whose servers are others than before.
func (d *difference) pools() map[string]bool {
	out := map[string]bool{}
	for i := range d.come {
		out[d.come[i].Pool] = true
	}
	for _, s := range d.gone {
		out[s.Pool] = true
	}
	return out
}

// remove forgets a server; its pool still has it until that is sorted.
func (b *Balancer) remove(s *server) {
	delete(b.servers, s.ID)
	for _, p := range b.peers {
		p.forgetServer(s)
	}
	b.touch(s) // the slot is empty now
	b.slots[s.slot] = nil
	b.free = append(b.free, s.slot)
	s.slot = noSlot
}

// add takes a server that is new, with what peers have told of it.
func (b *Balancer) add(f *fleet.Server) {
	s := &server{Server: *f, order: score("", f.ID), listing: b.listing, slowness: 1}
	b.servers[f.ID] = s
	b.takeSlot(s)
	b.touch(s)
	p := b.pool(f.Pool)
	p.servers = append(p.servers, s)
	for _, peer := range b.peers {
		if number, told := peer.unknown[f.ID]; told {
			b.takeRow(peer, number)
			delete(peer.unknown, f.ID)
		}
	}
}

func (b *Balancer) takeSlot(s *server) {
	if n := len(b.free); n > 0 {
		s.slot, b.free = b.free[n-1], b.free[:n-1]
		b.slots[s.slot] = s
		return
	}
	s.slot = len(b.slots)
	b.slots = append(b.slots, s)
}

// sortServers takes out the servers that have left and puts the others into boundary order.
func (p *pool) sortServers() {
	p.sides.marked = nil
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.slot == noSlot })
	slices.SortFunc(p.servers, func(x, y *server) int { return cmp.Compare(x.order, y.order) })
}

// forgetServer takes a peer's counts at a server that has left out of the sums. They count again
// should it come back: the peer tells them only when they change.
func (p *peer) forgetServer(s *server) {
	row := p.row(s.slot)
	if row == (counts.Row{}) {
		return
	}
	p.running -= row.Load.Running
	p.bySlot[s.slot] = counts.Row{}
	for number := range p.in.Servers() {
		if id, _ := p.in.Server(number); id == s.ID {
			p.noteUnknown(id, number)
		}
	}
}

// noteUnknown notes the number of a server that this instance does not know.
func (p *peer) noteUnknown(id string, number int) {
	if p.unknown == nil {
		p.unknown = map[string]int{}
	}
	p.unknown[id] = number
}
