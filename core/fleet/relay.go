package fleet

import (
	"iter"
	"maps"
	"slices"
)

// Relay is a leader's fleet as an instance that passes it on has it. It gives the
// difference between two points as the leader does, and also across a change of the
// leader. The load pattern it answers: 3,000 engines, 300 entries and a group that is
// short of processor time; 156 KB to each entry after each change of the leader take
// what is left of it, so that the leader changes again. Not safe for concurrent use.
type Relay struct {
	servers map[string]Server
	// withdrawals are the leader's, and the servers that have departed since it named
	// them: an entry may know those from elsewhere, and must not take them for servers
	// that the leader has yet to hear of.
	withdrawals []Withdrawal
	changes     Changes
	// made are the listings that were made at the present point, by the point that they
	// lead from; whole is the one of everything.
	made  map[Point]*Listing
	whole *Listing
}

// mostMade bounds the listings that are kept: those who ask stand at a few points.
const mostMade = 16

// At returns the point last taken.
func (r *Relay) At() Point { return r.changes.At() }

// Take takes a leader's listing that follows what is held, and ignores others.
func (r *Relay) Take(l Listing) {
	if !l.follows(r.At()) || l.Difference && r.servers == nil {
		return
	}
	r.forgetMade()
	switch {
	case l.Difference:
		r.takeDifference(l)
	case l.Term > r.At().Term && r.servers != nil:
		r.takeTerm(l)
	default:
		r.changes.Restart(Point{l.Term, l.Version})
		r.servers = byID(l.Servers)
	}
	if !l.Difference {
		r.withdrawals = slices.Clone(l.Withdrawals)
	}
}

// TakeLog takes what the log has at a revision, before any leader's. After a loss of
// everything that is what entries begin with. The log does not tell what came and went
// between two revisions, so that only the difference to the latest is known.
func (r *Relay) TakeLog(servers []Server, withdrawals []Withdrawal, revision uint64) {
	p := Point{Version: revision}
	if r.At().Term > 0 || r.servers != nil && !p.after(r.At()) {
		return
	}
	r.forgetMade()
	r.changes.Restart(p)
	r.servers = byID(servers)
	r.withdrawals = slices.Clone(withdrawals)
}

func (r *Relay) forgetMade() { r.made, r.whole = nil, nil }

// takeDifference takes what has changed within a leader's term; nothing is unlisted there.
func (r *Relay) takeDifference(l Listing) {
	r.changes.Advance(Point{l.Term, l.Version})
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

// takeTerm takes the first listing of another leader.
func (r *Relay) takeTerm(l Listing) {
	r.changes.Advance(Point{l.Term, l.Version})
	gone := departed(l.Withdrawals)
	r.replaceAll(l.Servers, gone)
	// Entries may know servers that this relay never did.
	known := departed(r.withdrawals)
	for id := range gone {
		if !known[id] {
			r.changes.Removed(id)
		}
	}
}

// departed returns the servers that are withdrawn for good.
func departed(list []Withdrawal) map[string]bool {
	out := map[string]bool{}
	for _, w := range list {
		if w.Phase == Departed {
			out[w.ServerID] = true
		}
	}
	return out
}

// replaceAll puts other servers in place and notes what differs.
func (r *Relay) replaceAll(servers []Server, gone map[string]bool) {
	before := r.servers
	r.servers = byID(servers)
	for id := range before {
		if _, listed := r.servers[id]; listed {
			continue
		}
		if gone[id] {
			r.changes.Removed(id)
		} else {
			r.changes.Unlisted(id)
		}
	}
	for id, s := range r.servers {
		if old, known := before[id]; !known || !old.saysSame(s) {
			r.changes.Changed(id)
		}
	}
}

func (r *Relay) noteDeparted(id string) {
	r.withdrawals = append(r.withdrawals, Withdrawal{ServerID: id, Phase: Departed})
	if extra := len(r.withdrawals) - LoggedWithdrawals; extra > 0 {
		r.withdrawals = slices.Clone(r.withdrawals[extra:])
	}
}

// Servers lists what is held, in no order.
func (r *Relay) Servers() []Server { return slices.Collect(maps.Values(r.servers)) }

// Knows reports whether the leader lists a server as it announces itself now, so that
// nobody has to be told but that it is alive.
func (r *Relay) Knows(s Server) bool {
	listed, known := r.servers[s.ID]
	return known && s.confirms(listed)
}

// Listing returns what an instance lacks that stands at a point, nil when it lacks
// nothing. An instance that is further than the relay lacks nothing either. Without
// acrossTerms it gets everything after a change of the leader. Instances that lack the
// same get the same listing, which nobody may change: hundreds ask at once, and everything
// takes milliseconds to put together.
func (r *Relay) Listing(since Point, acrossTerms bool) *Listing {
	at := r.At()
	if !at.after(since) {
		return nil
	}
	if !acrossTerms && since.Term != at.Term {
		return r.everything()
	}
	if l := r.made[since]; l != nil {
		return l
	}
	d, known := r.changes.Since(since)
	if !known {
		return r.everything()
	}
	l := d.listing(func(id string) Server { return r.servers[id] })
	l.Term, l.Version = at.Term, at.Version
	l.TermsBack, l.Since = at.Term-since.Term, since.Version
	l.Withdrawals = r.withdrawalsOf(l.Unlisted)
	if r.made == nil {
		r.made = map[Point]*Listing{}
	}
	if len(r.made) < mostMade {
		r.made[since] = l
	}
	return l
}

func (r *Relay) withdrawalsOf(ids []string) []Withdrawal {
	if len(ids) == 0 {
		return nil
	}
	asked := make(map[string]bool, len(ids))
	for _, id := range ids {
		asked[id] = true
	}
	return slices.DeleteFunc(slices.Clone(r.withdrawals), func(w Withdrawal) bool { return !asked[w.ServerID] })
}

func (r *Relay) everything() *Listing {
	if r.whole == nil {
		r.whole = wholeListing(maps.Values(r.servers))
		r.whole.Term, r.whole.Version = r.At().Term, r.At().Version
		r.whole.Withdrawals = slices.Clone(r.withdrawals)
	}
	return r.whole
}

func byID(list []Server) map[string]Server {
	out := make(map[string]Server, len(list))
	for _, s := range list {
		out[s.ID] = s
	}
	return out
}

func wholeListing(all iter.Seq[Server]) *Listing {
	l := &Listing{Servers: slices.Collect(all)}
	l.sort()
	return l
}

// listing returns the difference with the servers as they are now; the points are left
// to the caller.
func (d *Difference) listing(server func(id string) Server) *Listing {
	l := &Listing{Difference: true, Removed: d.Removed, Unlisted: d.Unlisted}
	for _, id := range d.Changed {
		l.Servers = append(l.Servers, server(id))
	}
	l.sort()
	return l
}

func (l *Listing) sort() {
	slices.SortFunc(l.Servers, compareIDs)
}
