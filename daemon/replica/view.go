package replica

import (
	"slices"
	"sync"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
)

// View is a snapshot of a replica's state for readers outside the run loop. Only a
// leader's view includes everything that a quorum has accepted; a leader that lost its
// quorum steps down within one election timeout.
type View struct {
	// Ready is false until the replica belongs to a group.
	Ready   bool
	Leading bool
	Term    uint64
	// Leader is the leader's peer address, empty if unknown.
	Leader string
	// Members are the replicas' peer addresses.
	Members []string
	Routing state.Routing
	// Decisions are the quarantine's decisions in the log, as of DecisionsRevision. Callers must
	// not change them.
	Decisions         []state.StoredDecision
	DecisionsRevision uint64
}

// viewHolder holds the latest view and notifies readers of changes.
type viewHolder struct {
	mu      sync.Mutex
	view    View
	changed chan struct{}
}

func newViewHolder() *viewHolder { return &viewHolder{changed: make(chan struct{})} }

func (h *viewHolder) get() (View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// put replaces the view and notifies readers if it differs from the last one.
func (h *viewHolder) put(v View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := v.Ready == h.view.Ready && v.Leading == h.view.Leading && v.Term == h.view.Term && v.Leader == h.view.Leader &&
		v.Routing.Revision == h.view.Routing.Revision && v.DecisionsRevision == h.view.DecisionsRevision && slices.Equal(v.Members, h.view.Members)
	if same {
		return
	}
	h.view = v
	close(h.changed)
	h.changed = make(chan struct{})
}

// View returns the latest view and a channel that is closed when the view
// changes. Safe for concurrent use.
func (r *Replica) View() (View, <-chan struct{}) { return r.views.get() }

// publishView updates the view and the duties. It is called in the run loop after each
// batch.
func (r *Replica) publishView() {
	st := r.node.Status()
	v := View{Ready: r.store.Identity().Group != 0, Leading: st.Role == raft.Leader, Term: st.Term}
	for _, m := range st.Membership.Members {
		v.Members = append(v.Members, m.Address)
		if m.ID == st.Leader {
			v.Leader = m.Address
		}
	}
	old, _ := r.views.get()
	v.Routing = old.Routing
	if old.Routing.Revision != r.machine.RoutingRevision() {
		v.Routing = r.machine.Routing()
	}
	v.Decisions, v.DecisionsRevision = r.machine.Decisions(), r.machine.DecisionsRevision()
	r.views.put(v)
	if d := r.duties.Load(); d == nil || d.Revision != r.machine.DutiesRevision() {
		d := r.machine.Duties()
		r.duties.Store(&d)
	}
}

// Duties returns the state of duties in this replica's log. Callers must not change it.
// Safe for concurrent use.
func (r *Replica) Duties() state.Duties {
	if d := r.duties.Load(); d != nil {
		return *d
	}
	return state.Duties{}
}
