// Package fleet tracks the backend servers by their own announcements. It does no I/O: the
// clock is passed in.
//
// Announcements arrive late, out of order and through different instances; each start of a
// server numbers its announcements. A start that has announced that it drains or departs
// never becomes ready again, and one that a newer start of the same server has replaced is
// never listed again.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

// CompareIDs is the sort order of server lists: by ID.
func CompareIDs(a, b Server) int { return cmp.Compare(a.ID, b.ID) }

// Find returns the index of a server in a list sorted by ID, or the index at which it would
// be inserted.
func Find(list []Server, id string) (index int, found bool) {
	return slices.BinarySearchFunc(list, id, func(s Server, id string) int { return cmp.Compare(s.ID, id) })
}

// Phase is what a backend server announces about whether it accepts new work.
type Phase uint8

// Phases, in the order in which a server goes through them.
const (
	Ready Phase = iota
	Draining
	Departed
)

// String returns the name used in logs.
func (p Phase) String() string { return [...]string{"ready", "draining", "departed"}[p] }

// Server describes one start of a backend server.
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
	// Overdue is set after OverdueAfter without an announcement. The server may merely be
	// cut off from the instances that take announcements, and still serve.
	Overdue bool `msgpack:"o"`
	// Name is the server's own name, the same across restarts; empty if each start has an
	// ID of its own.
	Name string `msgpack:"n,omitempty"`
	// StartedAt is the start time in Unix milliseconds by the server's own clock, zero if
	// it announces none.
	StartedAt int64 `msgpack:"b,omitempty"`
	// Reclaimable is set for spot capacity, which its provider may take away at any time.
	Reclaimable bool `msgpack:"r,omitempty"`
	// Software is the version of the server's software. Servers of several versions may
	// serve in one pool.
	Software SoftwareVersion `msgpack:"v,omitempty"`
}

// StableName returns the name that stays the same across restarts if the server has one,
// otherwise its ID.
func (s *Server) StableName() string {
	if s.Name == "" {
		return s.ID
	}
	return s.Name
}

// AcceptsWork reports whether the server accepts new work: it has announced that it is
// ready, and is not overdue.
func (s *Server) AcceptsWork() bool { return s.Phase == Ready && !s.Overdue }

// equalExceptSequence reports whether two announcements differ at most in their sequence
// numbers.
func (s Server) equalExceptSequence(x Server) bool {
	s.Sequence = x.Sequence
	return s == x
}

// isHeartbeatOf reports whether an announcement adds nothing to the listed server but that
// it is alive. This holds for overdue servers too: when the leader falls behind, all
// servers become overdue, and forwarding an announcement of each would delay it further.
func (s Server) isHeartbeatOf(listed Server) bool {
	listed.Overdue = s.Overdue
	return listed.equalExceptSequence(s)
}

// Timing and limits of the registry. They fit a heartbeat every 1.2 s, and announcements
// that arrive seconds late.
const (
	// OverdueAfter is three heartbeats. A server that has been silent for so long is used
	// only if there is no other.
	OverdueAfter = 3600 * time.Millisecond
	// SilenceTimeout is when a server that neither announces itself nor departs is removed.
	// It is longer than any partition that a server is expected to serve through.
	SilenceTimeout = 30 * time.Second
	// MaxLoggedWithdrawals bounds the withdrawals kept in the replicated log and sent with
	// a full listing: 1,024 are some 20 KB for each entry that starts. A server is removed
	// some seconds after it has announced that it drains; this many leave in an hour of
	// rolling replacement at the largest supported size.
	MaxLoggedWithdrawals = 1024
	// maxWithdrawals bounds the IDs remembered as draining or departed, against late
	// announcements. It is twice MaxLoggedWithdrawals, so that withdrawals read from the
	// log again don't count as changes.
	maxWithdrawals = 2 * MaxLoggedWithdrawals
	// maxServers bounds the memory that a faulty announcer can use up: twice the servers of
	// the largest supported deployment.
	maxServers = 8192
)

type record struct {
	Server
	lastHeard time.Time
}

// Registry holds the servers known to one instance. Not safe for concurrent use.
type Registry struct {
	servers map[string]*record
	// addresses and names index the servers: thousands announce themselves simultaneously,
	// and an announcement must not scan all of them.
	addresses, names index
	// withdrawn holds the phase to which a server was withdrawn, whether it is listed here
	// or not; withdrawalOrder holds the IDs in the order of recording.
	withdrawn       map[string]Phase
	withdrawalOrder []string
	starts          Starts
	changes         ChangeLog
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*record{}, addresses: index{}, names: index{}, withdrawn: map[string]Phase{}}
}

// Version increases whenever the result of Servers changes.
func (r *Registry) Version() uint64 { return r.changes.Position().Version }

func (r *Registry) incrementVersion() { r.changes.Advance(Position{Version: r.Version() + 1}) }

// markChanged records that a server was added or modified.
func (r *Registry) markChanged(id string) {
	r.incrementVersion()
	r.changes.RecordChanged(id)
}

// Listing returns the difference since a version, or a full listing if that is unknown or,
// without sameTerm, the version is another leader's. The caller sets the term and the
// withdrawals of a full listing.
func (r *Registry) Listing(sameTerm bool, version uint64) *Listing {
	var l *Listing
	if d, known := r.changes.Since(Position{Version: version}); sameTerm && known {
		l = d.newListing(func(id string) Server { return r.servers[id].Server })
		l.Since = version
	} else {
		l = newFullListing(r.all)
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

// RecordHeartbeat records that a listed, ready server is alive. It returns false if there
// is no such server; the caller then has to send the full announcement.
func (r *Registry) RecordHeartbeat(now time.Time, id string, sequence uint64) bool {
	s := r.servers[id]
	if s == nil || s.Phase != Ready {
		return false
	}
	s.lastHeard = now
	s.Sequence = max(s.Sequence, sequence)
	if s.Overdue {
		s.Overdue = false
		r.markChanged(id)
	}
	return true
}

// IsUpToDate reports whether a server is already listed with everything it announces.
func (r *Registry) IsUpToDate(s Server) bool {
	listed := r.servers[s.ID]
	return listed != nil && s.isHeartbeatOf(listed.Server)
}

// Announce processes an announcement. One that is older than the last of its server is
// ignored. A newer start of the same server replaces the former one, and so does a new
// server at the address of an overdue one.
func (r *Registry) Announce(now time.Time, s Server) {
	if !r.admit(s) {
		return
	}
	old := r.servers[s.ID]
	if old == nil {
		if len(r.servers) >= maxServers {
			return
		}
		r.departOverdueAt(s)
		s.Overdue = false
		s.Phase = max(s.Phase, r.withdrawn[s.ID])
		r.put(s, now)
		r.markChanged(s.ID)
		return
	}
	if s.Sequence < old.Sequence {
		return
	}
	s.Phase = max(s.Phase, old.Phase)
	s.Software = s.Software.merge(old.Software)
	s.Overdue = false
	if !s.equalExceptSequence(old.Server) {
		r.markChanged(s.ID)
	}
	r.put(s, now)
}

// put adds a server or updates it, and maintains the indexes.
func (r *Registry) put(s Server, now time.Time) {
	if old := r.servers[s.ID]; old != nil && old.Address == s.Address && old.StableName() == s.StableName() {
		*old = record{s, now}
		return
	}
	r.drop(s.ID)
	r.servers[s.ID] = &record{s, now}
	r.addresses.add(s.Address, s.ID)
	r.names.add(s.StableName(), s.ID)
}

// drop removes a server from the list and the indexes.
func (r *Registry) drop(id string) {
	if s := r.servers[id]; s != nil {
		r.addresses.remove(s.Address, id)
		r.names.remove(s.StableName(), id)
		delete(r.servers, id)
	}
}

// index maps an attribute of servers to the IDs of those that have it.
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

// departOverdueAt removes the server that had the address of a new one, unless it still
// announces itself: a delayed first announcement of a server that has since crashed must
// not displace its successor.
func (r *Registry) departOverdueAt(s Server) {
	for _, id := range slices.Clone(r.addresses[s.Address]) {
		if r.servers[id].Overdue {
			r.Depart(id)
		}
	}
}

// Restore adds servers known from the log as if they had just announced themselves, and
// renews those already listed. A new leader starts with it and then waits for their
// announcements.
func (r *Registry) Restore(now time.Time, list []Server) {
	for _, s := range list {
		if !r.admit(s) {
			continue
		}
		old := r.servers[s.ID]
		if old == nil {
			s.Phase = max(s.Phase, r.withdrawn[s.ID])
			r.put(s, now)
			r.markChanged(s.ID)
			continue
		}
		old.lastHeard = now
		if old.Overdue {
			old.Overdue = false
			r.markChanged(s.ID)
		}
	}
}

// admit reports whether a server may be listed, and if so removes its older starts.
func (r *Registry) admit(s Server) bool {
	if r.withdrawn[s.ID] == Departed || r.starts.Stale(s.Start()) {
		return false
	}
	r.recordStart(s.Start())
	return true
}

// RecordStarts records starts known from the log; announcements of older starts of the same
// servers are then ignored as late.
func (r *Registry) RecordStarts(list []Start) {
	for _, s := range list {
		r.recordStart(s)
	}
}

// recordStart records a start and removes the older starts of the server.
func (r *Registry) recordStart(start Start) {
	if !r.starts.Record(start) {
		return
	}
	for _, id := range slices.Clone(r.names[start.Name]) {
		if r.starts.Stale(r.servers[id].Start()) {
			r.Depart(id)
		}
	}
}

// NewestID returns the ID of the newest start of a server, given its stable name.
func (r *Registry) NewestID(name string) string { return r.starts.NewestID(name) }

// TimedOut returns the IDs of the servers that have been silent for SilenceTimeout.
func (r *Registry) TimedOut(now time.Time) []string {
	var out []string
	for id, s := range r.servers {
		if now.Sub(s.lastHeard) >= SilenceTimeout {
			out = append(out, id)
		}
	}
	return out
}

// Withdraw records that a server drains or has departed; later announcements don't undo it.
func (r *Registry) Withdraw(id string, p Phase) {
	if p == Departed {
		r.Depart(id)
		return
	}
	r.recordWithdrawal(id, p)
	if s := r.servers[id]; s != nil && s.Phase < p {
		s.Phase = p
		r.markChanged(id)
	}
}

// Depart removes a server for good. The change is recorded even if the server was never
// announced here, since watchers may know it from an earlier leader.
func (r *Registry) Depart(id string) {
	if r.withdrawn[id] == Departed {
		return
	}
	r.drop(id)
	r.incrementVersion()
	r.changes.RecordRemoved(id)
	r.recordWithdrawal(id, Departed)
}

func (r *Registry) recordWithdrawal(id string, p Phase) {
	before, known := r.withdrawn[id]
	r.withdrawn[id] = max(p, before)
	if known {
		return
	}
	r.withdrawalOrder = append(r.withdrawalOrder, id)
	if len(r.withdrawalOrder) > maxWithdrawals {
		delete(r.withdrawn, r.withdrawalOrder[0])
		r.withdrawalOrder = r.withdrawalOrder[1:]
	}
}

// MarkOverdue marks servers overdue that have been silent for OverdueAfter.
func (r *Registry) MarkOverdue(now time.Time) {
	for _, s := range r.servers {
		if now.Sub(s.lastHeard) >= OverdueAfter && !s.Overdue {
			s.Overdue = true
			r.markChanged(s.ID)
		}
	}
}

// Servers returns the listed servers, sorted by ID.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, s.Server)
	}
	slices.SortFunc(out, CompareIDs)
	return out
}
