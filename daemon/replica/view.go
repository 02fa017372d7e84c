package replica

import (
	"slices"
	"sync"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
)

// View is what a replica knows, for readers outside its loop. Only on a leader
// is it as new as what a quorum has accepted; a leader that lost its quorum
// notices within one election timeout.
type View struct {
	// Ready is false until the replica belongs to a group.
	Ready   bool
	Leading bool
	Term    uint64
	// Leader is the known leader's peer address, or empty.
	Leader string
	// Members are the replicas' peer addresses.
	Members []string
	Routing state.Routing
	// Rulings are the rulings of the quarantine in the log, as of RulingsRevision. Read only.
	Rulings         []state.StoredRuling
	RulingsRevision uint64
}

// viewBoard hands the latest view to readers and wakes those that wait.
type viewBoard struct {
	mu      sync.Mutex
	view    View
	changed chan struct{}
}

func newViewBoard() *viewBoard { return &viewBoard{changed: make(chan struct{})} }

func (b *viewBoard) get() (View, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}

// put wakes the waiting readers if the view is another one.
func (b *viewBoard) put(v View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	same := v.Ready == b.view.Ready && v.Leading == b.view.Leading && v.Term == b.view.Term && v.Leader == b.view.Leader &&
		v.Routing.Revision == b.view.Routing.Revision && v.RulingsRevision == b.view.RulingsRevision && slices.Equal(v.Members, b.view.Members)
	if same {
		return
	}
	b.view = v
	close(b.changed)
	b.changed = make(chan struct{})
}

// View returns the latest view and a channel that is closed when there is
// another one. Safe for concurrent use.
func (r *Replica) View() (View, <-chan struct{}) { return r.board.get() }

// publishView runs in the loop, after each batch.
func (r *Replica) publishView() {
	st := r.node.Status()
	v := View{Ready: r.store.Identity().Group != 0, Leading: st.Role == raft.Leader, Term: st.Term}
	for _, m := range st.Membership.Members {
		v.Members = append(v.Members, m.Address)
		if m.ID == st.Leader {
			v.Leader = m.Address
		}
	}
	old, _ := r.board.get()
	v.Routing = old.Routing
	if old.Routing.Revision != r.machine.RoutingRevision() {
		v.Routing = r.machine.Routing()
	}
	v.Rulings, v.RulingsRevision = r.machine.Rulings(), r.machine.RulingsRevision()
	r.board.put(v)
	if d := r.duties.Load(); d == nil || d.Revision != r.machine.DutiesRevision() {
		d := r.machine.Duties()
		r.duties.Store(&d)
	}
}

// Duties returns what this replica's log holds of duties. Read only; safe for concurrent
// use.
func (r *Replica) Duties() state.Duties {
	if d := r.duties.Load(); d != nil {
		return *d
	}
	return state.Duties{}
}
