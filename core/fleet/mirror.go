package fleet

import (
	"maps"
	"slices"
	"time"
)

// Withdrawal notes that a backend server drains or has departed.
type Withdrawal struct {
	ServerID string `msgpack:"i"`
	Phase    Phase  `msgpack:"p"`
}

// Listing is the fleet as a leader of the replica group sees it.
type Listing struct {
	// Term is the leader's; Version counts its changes within the term.
	Term    uint64   `msgpack:"t"`
	Version uint64   `msgpack:"v"`
	Servers []Server `msgpack:"s"`
	// Difference: Servers are only those that are new or have changed after the point
	// of Since and TermsBack, and Removed those that are gone for good since then.
	// Otherwise Servers are all.
	Difference bool     `msgpack:"d,omitempty"`
	Since      uint64   `msgpack:"n,omitempty"`
	Removed    []string `msgpack:"r,omitempty"`
	// TermsBack is how much lower the term of Since is; zero for the same one.
	TermsBack uint64 `msgpack:"b,omitempty"`
	// Unlisted were listed at the point of Since, and the leader has yet to hear of
	// them.
	Unlisted []string `msgpack:"u,omitempty"`
	// Withdrawals come with all servers: whoever takes those may know others from
	// elsewhere, which have left. With a difference come those of Unlisted.
	Withdrawals []Withdrawal `msgpack:"w,omitempty"`
}

// follows reports whether the listing can be taken by who stands at a point: it is of
// no older term, and a difference is one to that point.
func (l *Listing) follows(p Point) bool {
	if l.Difference {
		return l.Term == p.Term+l.TermsBack && l.Since == p.Version
	}
	return l.Term >= p.Term
}

// adoptTime is how long servers that a new leader has not listed are still
// believed: it learns of them from their announcements, which may come seconds
// late.
const adoptTime = 6 * time.Second

// Mirror is a copy of the leader's fleet that survives changes of the leader.
// Not safe for concurrent use.
type Mirror struct {
	at     Point
	listed map[string]Server
	// adopted were listed by an earlier leader only.
	adopted      map[string]Server
	adoptedUntil time.Time
	// phases never go back, whatever a leader that knows less lists.
	phases map[string]Phase
	// starts: a leader that was not told of a server's newest start may list an
	// older one.
	starts Starts

	// servers is the list handed out last; it is never modified. changed has the IDs of
	// those that may differ from it, all: any may.
	servers []Server
	changed map[string]bool
	all     bool
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{listed: map[string]Server{}, adopted: map[string]Server{}, phases: map[string]Phase{}, changed: map[string]bool{}}
}

// At returns the point last taken.
func (m *Mirror) At() Point { return m.at }

// Take takes a listing that follows what is held, and ignores others.
func (m *Mirror) Take(now time.Time, l Listing) {
	switch {
	case !l.follows(m.at):
		return
	case l.Difference:
		m.takeDifference(now, l)
	default:
		m.takeWhole(now, l)
	}
	m.at = Point{l.Term, l.Version}
	for _, s := range l.Servers {
		m.list(s)
	}
}

func (m *Mirror) takeWhole(now time.Time, l Listing) {
	if l.Term > m.at.Term {
		m.adoptAll(now)
	}
	m.noteWithdrawals(l.Withdrawals)
	m.all = true
	m.listed = make(map[string]Server, len(l.Servers))
}

func (m *Mirror) takeDifference(now time.Time, l Listing) {
	for _, id := range l.Removed {
		m.changed[id] = true
		delete(m.listed, id)
		delete(m.adopted, id)
		delete(m.phases, id)
	}
	for _, w := range l.Withdrawals {
		m.phases[w.ServerID] = w.Phase
	}
	for _, id := range l.Unlisted {
		if s, known := m.listed[id]; known {
			m.adopt(now, s)
			delete(m.listed, id)
		}
	}
}

func (m *Mirror) list(s Server) {
	former := m.starts.Newest(s.OwnName())
	if m.starts.Note(s.Start()) {
		m.changed[former] = true
	}
	m.changed[s.ID] = true
	s.Phase = max(s.Phase, m.phases[s.ID])
	if s.Phase != Ready {
		m.phases[s.ID] = s.Phase
	}
	m.listed[s.ID] = s
	delete(m.adopted, s.ID)
}

func (m *Mirror) adopt(now time.Time, s Server) {
	s.Phase = max(s.Phase, m.phases[s.ID])
	m.changed[s.ID] = true
	m.adopted[s.ID] = s
	m.adoptedUntil = now.Add(adoptTime)
}

func (m *Mirror) adoptAll(now time.Time) {
	for _, s := range m.listed {
		m.adopt(now, s)
	}
}

func (m *Mirror) noteWithdrawals(list []Withdrawal) {
	m.phases = make(map[string]Phase, len(list))
	for _, w := range list {
		m.phases[w.ServerID] = w.Phase
	}
	for id, s := range m.adopted {
		s.Phase = max(s.Phase, m.phases[id])
		m.adopted[id] = s
		if s.Phase == Departed {
			delete(m.adopted, id)
		}
	}
}

// Servers lists what is believed to be there, sorted by ID. The list must not be modified:
// it is the same one until something changes. A change costs one copy of the list; to sort
// thousands of servers for each is what an entry can't afford.
func (m *Mirror) Servers(now time.Time) []Server {
	if !now.Before(m.adoptedUntil) {
		for id := range m.adopted {
			m.changed[id] = true
		}
		clear(m.adopted)
	}
	switch {
	case m.all:
		m.servers = m.sorted()
	case len(m.changed) > 0:
		m.servers = m.merged()
	}
	m.all = false
	clear(m.changed)
	return m.servers
}

// believed returns the server with an ID, if it is believed to be there.
func (m *Mirror) believed(id string) (Server, bool) {
	s, listed := m.listed[id]
	if !listed {
		var adopted bool
		if s, adopted = m.adopted[id]; !adopted {
			return Server{}, false
		}
	}
	return s, s.Phase != Departed && !m.starts.Stale(s.Start())
}

// sorted lists all servers anew.
func (m *Mirror) sorted() []Server {
	out := make([]Server, 0, len(m.listed)+len(m.adopted))
	for _, known := range []map[string]Server{m.listed, m.adopted} {
		for id := range known {
			if s, there := m.believed(id); there {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// merged puts what has changed into a copy of the list.
func (m *Mirror) merged() []Server {
	out := make([]Server, 0, len(m.servers)+len(m.changed))
	rest := m.servers
	for _, id := range slices.Sorted(maps.Keys(m.changed)) {
		place, found := Find(rest, id)
		out = append(out, rest[:place]...)
		rest = rest[place:]
		if found {
			rest = rest[1:]
		}
		if s, there := m.believed(id); there {
			out = append(out, s)
		}
	}
	return append(out, rest...)
}
