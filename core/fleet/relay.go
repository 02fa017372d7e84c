package fleet

import (
	"iter"
	"maps"
	"slices"
)

// Relay holds a leader's fleet at an instance that forwards it. Like the leader it returns
// the difference between two positions, but also across a change of the leader. With 3,000
// engines and 300 entries, a full listing of 156 KB to each entry after each change of the
// leader uses up the processor time of an overloaded group, so that the leader changes
// again. Not safe for concurrent use.
type Relay struct {
	servers map[string]Server
	// withdrawals are those of the leader's full listing and the departures since. An entry
	// may know these servers from elsewhere, and must not take them for servers that have
	// yet to announce themselves to the leader.
	withdrawals []Withdrawal
	changes     ChangeLog
	// cached holds the differences computed for the current position, by the position they
	// start from; full is the full listing.
	cached map[Position]*Listing
	full   *Listing
}

// maxCachedListings bounds the cache: readers are at few different positions.
const maxCachedListings = 16

// Position returns the position of the listing applied last.
func (r *Relay) Position() Position { return r.changes.Position() }

// Apply applies a leader's listing that follows the current position, and ignores others.
func (r *Relay) Apply(l Listing) {
	if !l.appliesTo(r.Position()) {
		return
	}
	if l.Delta && r.servers == nil {
		r.servers = map[string]Server{} // a difference to the empty log
	}
	r.invalidateCache()
	switch {
	case l.Delta:
		r.applyDelta(l)
	case l.Term > r.Position().Term && r.servers != nil:
		r.applyNewTerm(l)
	default:
		r.changes.Reset(Position{l.Term, l.Version})
		r.servers = byID(l.Servers)
	}
	if !l.Delta {
		r.withdrawals = slices.Clone(l.Withdrawals)
	}
}

// ApplyLog applies the content of the log at a revision, until a leader's listing is known.
// Entries start with it after the loss of all instances. The log does not record what came
// and went between two revisions, so that only the difference to the latest one is known.
func (r *Relay) ApplyLog(servers []Server, withdrawals []Withdrawal, revision uint64) {
	p := Position{Version: revision}
	if r.Position().Term > 0 || r.servers != nil && !p.isAfter(r.Position()) {
		return
	}
	r.invalidateCache()
	r.changes.Reset(p)
	r.servers = byID(servers)
	r.withdrawals = slices.Clone(withdrawals)
}

func (r *Relay) invalidateCache() { r.cached, r.full = nil, nil }

// applyDelta applies a difference, within a leader's term or between two leaders.
func (r *Relay) applyDelta(l Listing) {
	r.changes.Advance(Position{l.Term, l.Version})
	for _, s := range l.Servers {
		r.servers[s.ID] = s
		r.changes.RecordChanged(s.ID)
	}
	for _, id := range l.Removed {
		delete(r.servers, id)
		r.changes.RecordRemoved(id)
		r.recordWithdrawal(Withdrawal{ServerID: id, Phase: Departed})
	}
	for _, id := range l.Unlisted {
		delete(r.servers, id)
		r.changes.RecordUnlisted(id)
	}
	for _, w := range l.Withdrawals {
		r.recordWithdrawal(w)
	}
}

// applyNewTerm applies the first listing of another leader.
func (r *Relay) applyNewTerm(l Listing) {
	r.changes.Advance(Position{l.Term, l.Version})
	gone := departedIDs(l.Withdrawals)
	r.replaceAll(l.Servers, gone)
	// Entries may know servers that this relay never listed.
	known := departedIDs(r.withdrawals)
	for id := range gone {
		if !known[id] {
			r.changes.RecordRemoved(id)
		}
	}
}

// departedIDs returns the servers that are withdrawn for good.
func departedIDs(list []Withdrawal) map[string]bool {
	out := map[string]bool{}
	for _, w := range list {
		if w.Phase == Departed {
			out[w.ServerID] = true
		}
	}
	return out
}

// replaceAll replaces all servers and records the differences.
func (r *Relay) replaceAll(servers []Server, gone map[string]bool) {
	before := r.servers
	r.servers = byID(servers)
	for id := range before {
		if _, listed := r.servers[id]; listed {
			continue
		}
		if gone[id] {
			r.changes.RecordRemoved(id)
		} else {
			r.changes.RecordUnlisted(id)
		}
	}
	for id, s := range r.servers {
		if old, known := before[id]; !known || !old.equalExceptSequence(s) {
			r.changes.RecordChanged(id)
		}
	}
}

func (r *Relay) recordWithdrawal(w Withdrawal) {
	r.withdrawals = append(r.withdrawals, w)
	if extra := len(r.withdrawals) - MaxLoggedWithdrawals; extra > 0 {
		r.withdrawals = slices.Clone(r.withdrawals[extra:])
	}
}

// Servers returns the held servers in no particular order.
func (r *Relay) Servers() []Server { return slices.Collect(maps.Values(r.servers)) }

// IsUpToDate reports whether the leader already lists a server with everything it
// announces, so that only a heartbeat has to be forwarded.
func (r *Relay) IsUpToDate(s Server) bool {
	listed, known := r.servers[s.ID]
	return known && s.isHeartbeatOf(listed)
}

// Listing returns what an instance at a position lacks, or nil if it is up to date or ahead
// of the relay. Without acrossTerms it returns a full listing after a change of the leader.
// The result is shared and must not be modified: hundreds of instances request it
// simultaneously, and building a full listing takes milliseconds.
func (r *Relay) Listing(since Position, acrossTerms bool) *Listing {
	current := r.Position()
	if !current.isAfter(since) {
		return nil
	}
	if !acrossTerms && since.Term != current.Term {
		return r.fullListing()
	}
	if l := r.cached[since]; l != nil {
		return l
	}
	d, known := r.changes.Since(since)
	if !known {
		return r.fullListing()
	}
	l := d.newListing(func(id string) Server { return r.servers[id] })
	l.Term, l.Version = current.Term, current.Version
	l.TermsBack, l.Since = current.Term-since.Term, since.Version
	l.Withdrawals = r.withdrawalsFor(l.Unlisted)
	if r.cached == nil {
		r.cached = map[Position]*Listing{}
	}
	if len(r.cached) < maxCachedListings {
		r.cached[since] = l
	}
	return l
}

func (r *Relay) withdrawalsFor(ids []string) []Withdrawal {
	if len(ids) == 0 {
		return nil
	}
	asked := make(map[string]bool, len(ids))
	for _, id := range ids {
		asked[id] = true
	}
	return slices.DeleteFunc(slices.Clone(r.withdrawals), func(w Withdrawal) bool { return !asked[w.ServerID] })
}

func (r *Relay) fullListing() *Listing {
	if r.full == nil {
		r.full = newFullListing(maps.Values(r.servers))
		r.full.Term, r.full.Version = r.Position().Term, r.Position().Version
		r.full.Withdrawals = slices.Clone(r.withdrawals)
	}
	return r.full
}

func byID(list []Server) map[string]Server {
	out := make(map[string]Server, len(list))
	for _, s := range list {
		out[s.ID] = s
	}
	return out
}

func newFullListing(all iter.Seq[Server]) *Listing {
	l := &Listing{Servers: slices.Collect(all)}
	l.sort()
	return l
}

// newListing returns the difference with the current state of the servers; the caller sets
// the positions.
func (d *Delta) newListing(server func(id string) Server) *Listing {
	l := &Listing{Delta: true, Removed: d.Removed, Unlisted: d.Unlisted}
	for _, id := range d.Changed {
		l.Servers = append(l.Servers, server(id))
	}
	l.sort()
	return l
}

func (l *Listing) sort() {
	slices.SortFunc(l.Servers, CompareIDs)
}
