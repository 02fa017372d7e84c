// Package fleet keeps what is known of the backend servers from their own
// announcements. It is pure: the clock is passed in.
//
// Announcements arrive late, out of order and through different instances;
// each start of a server numbers its announcements. A start that has said that it
// leaves never counts as ready again, and one that a newer start of the same
// server has followed never comes back.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

// compareIDs orders servers as lists of them are sorted.
func compareIDs(a, b Server) int { return cmp.Compare(a.ID, b.ID) }

// Find returns the place of a server in a list that is sorted by ID, or where it would be.
func Find(list []Server, id string) (place int, found bool) {
	return slices.BinarySearchFunc(list, id, func(s Server, id string) int { return cmp.Compare(s.ID, id) })
}

// Phase is a backend server's own word on whether it takes work.
type Phase uint8

// The phases, in the order in which they follow each other.
const (
	Ready Phase = iota
	Draining
	Departed
)

// String returns the name used in logs.
func (p Phase) String() string { return [...]string{"ready", "draining", "departed"}[p] }

// Server is one start of a backend server.
type Server struct {
	// ID identifies the start; see StartID.
	ID      string `msgpack:"i"`
	Pool    string `msgpack:"p"`
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	Slots   int    `msgpack:"s"`
	Phase   Phase  `msgpack:"h"`
	// Sequence numbers the server's announcements.
	Sequence uint64 `msgpack:"q"`
	// Overdue: no announcement for longer than OverdueAfter. It may be cut off
	// from those that take announcements, and still serve.
	Overdue bool `msgpack:"o"`
	// Name is the server's own, the same over its starts; empty where each start
	// has an ID of its own.
	Name string `msgpack:"n,omitempty"`
	// Born is when the server started, in Unix milliseconds by its own clock; zero
	// where it does not say.
	Born int64 `msgpack:"b,omitempty"`
	// Reclaimable servers may be taken away by who provides them.
	Reclaimable bool `msgpack:"r,omitempty"`
}

// OwnName is what the server calls itself.
func (s *Server) OwnName() string {
	if s.Name == "" {
		return s.ID
	}
	return s.Name
}

// TakesWork reports whether the server is there for new work, by its own word and lately.
func (s *Server) TakesWork() bool { return s.Phase == Ready && !s.Overdue }

// saysSame reports whether two announcements of a server differ in their numbers only.
func (s Server) saysSame(x Server) bool {
	s.Sequence = x.Sequence
	return s == x
}

// confirms reports whether an announcement says no more of a listed server than that it
// is alive. That holds for overdue ones as well: when the leader is late, all are, and to
// tell it of each would make it later.
func (s Server) confirms(listed Server) bool {
	listed.Overdue = s.Overdue
	return listed.saysSame(s)
}

// Timing of the registry, from a heartbeat every 1.2 s on the deployments
// measured, and announcements that arrive seconds late.
const (
	// OverdueAfter is three heartbeats: a server without news for so long is
	// used only when there is no other.
	OverdueAfter = 3600 * time.Millisecond
	// ForgetAfter ends a server that neither announces nor departs. It is longer
	// than any partition that a server is expected to serve through.
	ForgetAfter = 30 * time.Second
	// LoggedWithdrawals bounds the servers that the log remembers as leaving, and those
	// that go with all servers: 1,024 are some 20 KB for each entry that starts. A server
	// is gone for good some seconds after it has said so; this many leave in an hour of
	// rolling replacement at the sizes aimed for.
	LoggedWithdrawals = 1024
	// keptWithdrawals bounds the IDs remembered as draining or departed, against late
	// announcements. It is twice what the log keeps: a withdrawal that is read there
	// again must not count as news each time.
	keptWithdrawals = 2 * LoggedWithdrawals
	// maxServers bounds what a faulty writer can make an instance remember: twice
	// the servers of the largest deployment aimed at.
	maxServers = 8192
)

type record struct {
	Server
	heard time.Time
}

// Registry holds the servers that one instance knows. Not safe for concurrent
// use.
type Registry struct {
	servers map[string]*record
	// addresses and names lead to the IDs of the servers that have them: thousands of
	// servers announce themselves at once, and each must not look at all others.
	addresses, names index
	// withdrawn has what servers were withdrawn to, known here or not; order has their
	// IDs as they were noted.
	withdrawn map[string]Phase
	order     []string
	starts    Starts
	changes   Changes
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*record{}, addresses: index{}, names: index{}, withdrawn: map[string]Phase{}}
}

// Version rises whenever Servers returns something else.
func (r *Registry) Version() uint64 { return r.changes.At().Version }

// advance counts a change.
func (r *Registry) advance() { r.changes.Advance(Point{Version: r.Version() + 1}) }

// changed notes that a server is new or another one.
func (r *Registry) changed(id string) {
	r.advance()
	r.changes.Changed(id)
}

// Listing returns the difference to a version, or everything: without sameTerm the
// version is another leader's. Its term, and the withdrawals that go with everything,
// are left to the caller.
func (r *Registry) Listing(sameTerm bool, version uint64) *Listing {
	var l *Listing
	if d, known := r.changes.Since(Point{Version: version}); sameTerm && known {
		l = d.listing(func(id string) Server { return r.servers[id].Server })
		l.Since = version
	} else {
		l = wholeListing(r.all)
	}
	l.Version = r.Version()
	return l
}

func (r *Registry) all(yield func(Server) bool) {
	for _, s := range r.servers {
		if !yield(s.Server) {
			return
		}
	}
}

// Heard notes that a known server announces itself as before; false when it is not
// known so.
func (r *Registry) Heard(now time.Time, id string, sequence uint64) bool {
	s := r.servers[id]
	if s == nil || s.Phase != Ready {
		return false
	}
	s.heard = now
	s.Sequence = max(s.Sequence, sequence)
	if s.Overdue {
		s.Overdue = false
		r.changed(id)
	}
	return true
}

// Knows reports whether a server is listed as it announces itself now.
func (r *Registry) Knows(s Server) bool {
	listed := r.servers[s.ID]
	return listed != nil && s.confirms(listed.Server)
}

// Announce takes an announcement. Older news about a server changes nothing,
// and a newer start of the same server, or at the same address, ends the one
// before.
func (r *Registry) Announce(now time.Time, s Server) {
	if !r.admits(s) {
		return
	}
	old := r.servers[s.ID]
	if old == nil {
		if len(r.servers) >= maxServers {
			return
		}
		r.replaceAt(s)
		s.Overdue = false
		s.Phase = max(s.Phase, r.withdrawn[s.ID])
		r.put(s, now)
		r.changed(s.ID)
		return
	}
	if s.Sequence < old.Sequence {
		return
	}
	s.Phase = max(s.Phase, old.Phase)
	s.Overdue = false
	if !s.saysSame(old.Server) {
		r.changed(s.ID)
	}
	r.put(s, now)
}

// put lists a server as it is now.
func (r *Registry) put(s Server, now time.Time) {
	if old := r.servers[s.ID]; old != nil && old.Address == s.Address && old.OwnName() == s.OwnName() {
		*old = record{s, now}
		return
	}
	r.drop(s.ID)
	r.servers[s.ID] = &record{s, now}
	r.addresses.add(s.Address, s.ID)
	r.names.add(s.OwnName(), s.ID)
}

// drop takes a server off the list.
func (r *Registry) drop(id string) {
	if s := r.servers[id]; s != nil {
		r.addresses.remove(s.Address, id)
		r.names.remove(s.OwnName(), id)
		delete(r.servers, id)
	}
}

// index leads from something that servers have to their IDs.
type index map[string][]string

func (x index) add(key, id string) { x[key] = append(x[key], id) }

func (x index) remove(key, id string) {
	left := slices.DeleteFunc(x[key], func(other string) bool { return other == id })
	if len(left) == 0 {
		delete(x, key)
		return
	}
	x[key] = left
}

// replaceAt ends the server that stood at the address of a new one, unless the
// old one is known to announce still: a delayed first announcement of a server
// that has crashed since must not displace its successor.
func (r *Registry) replaceAt(s Server) {
	for _, id := range slices.Clone(r.addresses[s.Address]) {
		if r.servers[id].Overdue {
			r.Depart(id)
		}
	}
}

// Remember adds servers that are known from elsewhere, as if they had announced
// themselves now; those known already get the same time. A new leader begins
// with it, and then waits for their announcements.
func (r *Registry) Remember(now time.Time, list []Server) {
	for _, s := range list {
		if !r.admits(s) {
			continue
		}
		old := r.servers[s.ID]
		if old == nil {
			s.Phase = max(s.Phase, r.withdrawn[s.ID])
			r.put(s, now)
			r.changed(s.ID)
			continue
		}
		old.heard = now
		if old.Overdue {
			old.Overdue = false
			r.changed(s.ID)
		}
	}
}

// admits reports whether a server may be there, and if so ends its older starts.
func (r *Registry) admits(s Server) bool {
	if r.withdrawn[s.ID] == Departed || r.starts.Stale(s.Start()) {
		return false
	}
	r.noteStart(s.Start())
	return true
}

// NoteStarts takes starts that are known from elsewhere: what older ones of the
// same servers say comes late.
func (r *Registry) NoteStarts(list []Start) {
	for _, s := range list {
		r.noteStart(s)
	}
}

// noteStart ends the older starts of a server.
func (r *Registry) noteStart(start Start) {
	if !r.starts.Note(start) {
		return
	}
	for _, id := range slices.Clone(r.names[start.Name]) {
		if r.starts.Stale(r.servers[id].Start()) {
			r.Depart(id)
		}
	}
}

// Newest returns the ID of the newest start of a server that is known by its own
// name.
func (r *Registry) Newest(name string) string { return r.starts.Newest(name) }

// Silent lists the servers that would be forgotten.
func (r *Registry) Silent(now time.Time) []string {
	var out []string
	for id, s := range r.servers {
		if now.Sub(s.heard) >= ForgetAfter {
			out = append(out, id)
		}
	}
	return out
}

// Withdraw notes that a server drains or has departed, whatever it announces
// later.
func (r *Registry) Withdraw(id string, p Phase) {
	if p == Departed {
		r.Depart(id)
		return
	}
	r.noteWithdrawn(id, p)
	if s := r.servers[id]; s != nil && s.Phase < p {
		s.Phase = p
		r.changed(id)
	}
}

// Depart forgets a server for good, and tells so of one that was never announced
// here: those that watch may know it from an earlier leader.
func (r *Registry) Depart(id string) {
	if r.withdrawn[id] == Departed {
		return
	}
	r.drop(id)
	r.advance()
	r.changes.Removed(id)
	r.noteWithdrawn(id, Departed)
}

func (r *Registry) noteWithdrawn(id string, p Phase) {
	before, known := r.withdrawn[id]
	r.withdrawn[id] = max(p, before)
	if known {
		return
	}
	r.order = append(r.order, id)
	if len(r.order) > keptWithdrawals {
		delete(r.withdrawn, r.order[0])
		r.order = r.order[1:]
	}
}

// Expire marks silent servers overdue.
func (r *Registry) Expire(now time.Time) {
	for _, s := range r.servers {
		if now.Sub(s.heard) >= OverdueAfter && !s.Overdue {
			s.Overdue = true
			r.changed(s.ID)
		}
	}
}

// Servers lists what is known, sorted by ID.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, s.Server)
	}
	slices.SortFunc(out, compareIDs)
	return out
}
