package fleet

import (
	"iter"
	"maps"
	"slices"
	"sort"
)

// Relay is a leader's fleet as an instance that passes it on has it. It gives the
// difference between two versions as the leader does. Not safe for concurrent use.
type Relay struct {
	term        uint64
	servers     map[string]Server
	withdrawals []Withdrawal
	changes     Changes
}

// At returns the term and version last taken.
func (r *Relay) At() (term, version uint64) { return r.term, r.changes.Version() }

// Take takes a listing that follows what is held, and ignores others.
func (r *Relay) Take(l Listing) {
	if !l.follows(r.At()) {
		return
	}
	if !l.Difference {
		r.takeWhole(l)
		return
	}
	r.changes.Advance(l.Version)
	for _, s := range l.Servers {
		r.servers[s.ID] = s
		r.changes.Changed(s.ID)
	}
	for _, id := range l.Removed {
		delete(r.servers, id)
		r.changes.Removed(id)
	}
}

func (r *Relay) takeWhole(l Listing) {
	if l.Term != r.term {
		r.withdrawals = l.Withdrawals
	}
	r.term = l.Term
	r.servers = make(map[string]Server, len(l.Servers))
	r.changes.Restart(l.Version)
	for _, s := range l.Servers {
		r.servers[s.ID] = s
	}
}

// Knows reports whether the leader lists a server as it announces itself now, so that
// nobody has to be told but that it is alive.
func (r *Relay) Knows(s Server) bool {
	listed, known := r.servers[s.ID]
	return known && listed.saysSame(s)
}

// Listing returns what an instance lacks that has a version of a term, nil when it
// lacks nothing. An instance that is further than the relay lacks nothing either.
func (r *Relay) Listing(term, version uint64) *Listing {
	if term > r.term || term == r.term && version >= r.changes.Version() {
		return nil
	}
	l := difference(&r.changes, maps.Values(r.servers), func(id string) Server { return r.servers[id] }, term == r.term, version)
	l.Term = r.term
	if term != r.term {
		l.Withdrawals = r.withdrawals
	}
	return l
}

// difference lists what has changed since a version, or everything where that is not
// known or not of the same term.
func difference(c *Changes, all iter.Seq[Server], server func(id string) Server, sameTerm bool, version uint64) *Listing {
	l := &Listing{Version: c.Version()}
	changed, removed, known := c.Since(version)
	if !sameTerm || !known {
		l.Servers = slices.Collect(all)
	} else {
		l.Difference, l.Since, l.Removed = true, version, removed
		for _, id := range changed {
			l.Servers = append(l.Servers, server(id))
		}
	}
	sort.Slice(l.Servers, func(i, j int) bool { return l.Servers[i].ID < l.Servers[j].ID })
	return l
}
