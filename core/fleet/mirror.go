package fleet

import (
	"maps"
	"slices"
	"time"
)

// Withdrawal records that a backend server drains or has departed.
type Withdrawal struct {
	ServerID string `msgpack:"i"`
	Phase    Phase  `msgpack:"p"`
}

// Listing is the state of the fleet at a leader of the replica group, in full or as a
// difference.
type Listing struct {
	// Term is the leader's; Version counts its changes within the term.
	Term    uint64   `msgpack:"t"`
	Version uint64   `msgpack:"v"`
	Servers []Server `msgpack:"s"`
	// Delta marks a difference: Servers holds only those added or modified since the
	// position given by Since and TermsBack, and Removed those gone for good since then.
	// Otherwise Servers holds all.
	Delta   bool     `msgpack:"d,omitempty"`
	Since   uint64   `msgpack:"n,omitempty"`
	Removed []string `msgpack:"r,omitempty"`
	// TermsBack is Term minus the term of Since; zero within a term.
	TermsBack uint64 `msgpack:"b,omitempty"`
	// Unlisted servers were listed at the position of Since, but have not announced
	// themselves to this leader yet.
	Unlisted []string `msgpack:"u,omitempty"`
	// Withdrawals accompany a full listing, since its receiver may know servers from
	// elsewhere that have left. In a difference they are those of Unlisted.
	Withdrawals []Withdrawal `msgpack:"w,omitempty"`
}

// appliesTo reports whether a holder at a position can apply the listing: its term is not
// older, and a difference starts at exactly that position.
func (l *Listing) appliesTo(p Position) bool {
	if l.Delta {
		return l.Term == p.Term+l.TermsBack && l.Since == p.Version
	}
	return l.Term >= p.Term
}

// retentionTime is how long servers are kept that a new leader has not listed: it learns of
// them from their announcements, which may arrive seconds late.
const retentionTime = 6 * time.Second

// Mirror is a copy of the leader's fleet that survives changes of the leader. Not safe for
// concurrent use.
type Mirror struct {
	position Position
	listed   map[string]Server
	// retained servers were listed by an earlier leader only.
	retained      map[string]Server
	retainedUntil time.Time
	// phases never go back, even if a leader with less information lists an earlier one.
	phases map[string]Phase
	// starts guards against a leader that does not know a server's newest start and lists
	// an older one.
	starts Starts

	// servers is the list returned last; it is never modified. changed holds the IDs of the
	// servers that may differ from it; with allChanged any may.
	servers    []Server
	changed    map[string]bool
	allChanged bool
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{listed: map[string]Server{}, retained: map[string]Server{}, phases: map[string]Phase{}, changed: map[string]bool{}}
}

// Position returns the position of the listing applied last.
func (m *Mirror) Position() Position { return m.position }

// Apply applies a listing that follows the current position, and ignores others.
func (m *Mirror) Apply(now time.Time, l Listing) {
	switch {
	case !l.appliesTo(m.position):
		return
	case l.Delta:
		m.applyDelta(now, l)
	default:
		m.applyFull(now, l)
	}
	m.position = Position{l.Term, l.Version}
	for _, s := range l.Servers {
		m.applyServer(s)
	}
}

func (m *Mirror) applyFull(now time.Time, l Listing) {
	if l.Term > m.position.Term {
		m.retainAll(now)
	}
	m.applyWithdrawals(l.Withdrawals)
	m.allChanged = true
	m.listed = make(map[string]Server, len(l.Servers))
}

// applyDelta applies the removals and withdrawals of a difference. Removed servers are gone
// for good. Unlisted ones have not announced themselves to the new leader yet, and are kept
// for retentionTime.
func (m *Mirror) applyDelta(now time.Time, l Listing) {
	for _, id := range l.Removed {
		m.changed[id] = true
		delete(m.listed, id)
		delete(m.retained, id)
		delete(m.phases, id)
	}
	for _, w := range l.Withdrawals {
		m.phases[w.ServerID] = w.Phase
	}
	for _, id := range l.Unlisted {
		if s, known := m.listed[id]; known {
			m.retain(now, s)
			delete(m.listed, id)
		}
	}
}

func (m *Mirror) applyServer(s Server) {
	former := m.starts.NewestID(s.StableName())
	if m.starts.Record(s.Start()) {
		m.changed[former] = true
	}
	m.changed[s.ID] = true
	s.Phase = max(s.Phase, m.phases[s.ID])
	if s.Phase != Ready {
		m.phases[s.ID] = s.Phase
	}
	m.listed[s.ID] = s
	delete(m.retained, s.ID)
}

func (m *Mirror) retain(now time.Time, s Server) {
	s.Phase = max(s.Phase, m.phases[s.ID])
	m.changed[s.ID] = true
	m.retained[s.ID] = s
	m.retainedUntil = now.Add(retentionTime)
}

func (m *Mirror) retainAll(now time.Time) {
	for _, s := range m.listed {
		m.retain(now, s)
	}
}

func (m *Mirror) applyWithdrawals(list []Withdrawal) {
	m.phases = make(map[string]Phase, len(list))
	for _, w := range list {
		m.phases[w.ServerID] = w.Phase
	}
	for id, s := range m.retained {
		s.Phase = max(s.Phase, m.phases[id])
		m.retained[id] = s
		if s.Phase == Departed {
			delete(m.retained, id)
		}
	}
}

// Servers returns the servers believed to exist, sorted by ID. The result must not be
// modified: it is shared until something changes. A change costs one copy of the list;
// sorting thousands of servers for each change takes an entry too long.
func (m *Mirror) Servers(now time.Time) []Server {
	if !now.Before(m.retainedUntil) {
		for id := range m.retained {
			m.changed[id] = true
		}
		clear(m.retained)
	}
	switch {
	case m.allChanged:
		m.servers = m.rebuildList()
	case len(m.changed) > 0:
		m.servers = m.mergeChanges()
	}
	m.allChanged = false
	clear(m.changed)
	return m.servers
}

// lookUp returns a server if it is believed to exist.
func (m *Mirror) lookUp(id string) (Server, bool) {
	s, listed := m.listed[id]
	if !listed {
		var retained bool
		if s, retained = m.retained[id]; !retained {
			return Server{}, false
		}
	}
	return s, s.Phase != Departed && !m.starts.Stale(s.Start())
}

// rebuildList builds the list from scratch.
func (m *Mirror) rebuildList() []Server {
	out := make([]Server, 0, len(m.listed)+len(m.retained))
	for _, known := range []map[string]Server{m.listed, m.retained} {
		for id := range known {
			if s, exists := m.lookUp(id); exists {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, CompareIDs)
	return out
}

// mergeChanges copies the list and merges the changed servers into it.
func (m *Mirror) mergeChanges() []Server {
	out := make([]Server, 0, len(m.servers)+len(m.changed))
	rest := m.servers
	for _, id := range slices.Sorted(maps.Keys(m.changed)) {
		index, found := Find(rest, id)
		out = append(out, rest[:index]...)
		rest = rest[index:]
		if found {
			rest = rest[1:]
		}
		if s, exists := m.lookUp(id); exists {
			out = append(out, s)
		}
	}
	return append(out, rest...)
}
