package fleet

import (
	"iter"
	"maps"
	"slices"
	"sort"
)

// toldWithdrawals bounds the withdrawals that go with all servers, as the log bounds
// its own: 1,024 are some 20 KB for each entry that starts.
const toldWithdrawals = 1024

// Relay is a leader's fleet as an instance that passes it on has it. It gives the
// difference between two versions as the leader does. Not safe for concurrent use.
type Relay struct {
	term    uint64
	servers map[string]Server
	// withdrawals are the leader's, and the servers that have departed since it named
	// them: an entry may know those from elsewhere, and must not take them for servers
	// that the leader has yet to hear of.
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
		r.noteDeparted(id)
	}
}

func (r *Relay) noteDeparted(id string) {
	r.withdrawals = append(r.withdrawals, Withdrawal{ServerID: id, Phase: Departed})
	if extra := len(r.withdrawals) - toldWithdrawals; extra > 0 {
		r.withdrawals = slices.Clone(r.withdrawals[extra:])
	}
}

func (r *Relay) takeWhole(l Listing) {
	r.term, r.withdrawals = l.Term, slices.Clone(l.Withdrawals)
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
	if !l.Difference {
		l.Withdrawals = slices.Clone(r.withdrawals)
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
