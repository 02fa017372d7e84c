package raft

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// disk simulates the persistent state of one replica.
type disk struct {
	state   HardState
	snap    SnapshotMeta
	entries []Entry
	// unsynced is a state that a crash may lose, nil for none.
	unsynced *HardState
}

func (d *disk) persist(rd Ready) {
	if rd.HardState != nil {
		d.unsynced = rd.HardState
	}
	if rd.MustSync || rd.Snapshot != nil {
		d.sync()
	}
	if rd.Snapshot != nil {
		d.snap, d.entries = rd.Snapshot.Meta, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.snap.Index - 1
		d.entries = append(d.entries[:keep:keep], rd.Entries...)
	}
}

func (d *disk) sync() {
	if d.unsynced != nil {
		d.state, d.unsynced = *d.unsynced, nil
	}
}

// maxID is the highest replica ID. Loops run up to it instead of ranging over maps, to
// keep runs reproducible.
const maxID = 9

// network simulates a group of nodes with lost and delayed messages and disconnected
// replicas.
type network struct {
	rnd          *rand.Rand
	nodes        map[uint64]*Node
	disks        map[uint64]*disk
	disconnected map[uint64]bool
	queue        []Message
	applied      map[uint64]uint64
	committed    map[uint64]string
	leaders      map[uint64]uint64
	reads        map[uint64]ReadState
	dropPct      int
	err          error
}

func newNetwork(seed int64, size int) *network {
	w := &network{rnd: rand.New(rand.NewSource(seed)), nodes: map[uint64]*Node{}, disks: map[uint64]*disk{},
		disconnected: map[uint64]bool{}, applied: map[uint64]uint64{}, committed: map[uint64]string{}, leaders: map[uint64]uint64{}, reads: map[uint64]ReadState{}}
	var m Membership
	for id := uint64(1); id <= uint64(size); id++ {
		m = m.With(Member{ID: id, Voter: true})
	}
	for id := uint64(1); id <= uint64(size); id++ {
		w.disks[id] = &disk{snap: SnapshotMeta{Index: 1, Term: 1, Membership: m}, state: HardState{Term: 1, Commit: 1}}
		w.start(id)
	}
	return w
}

func (w *network) start(id uint64) {
	d := w.disks[id]
	if w.rnd.Intn(2) == 0 {
		d.sync()
	}
	d.unsynced = nil
	w.nodes[id] = New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 1, Rand: w.rnd.Intn, State: d.state, Snapshot: d.snap, Entries: append([]Entry(nil), d.entries...)})
	w.applied[id] = d.snap.Index
}

func (w *network) processReady(id uint64) {
	n := w.nodes[id]
	for n.HasReady() {
		rd := n.Ready()
		w.disks[id].persist(rd)
		if rd.Snapshot != nil {
			w.applied[id] = rd.Snapshot.Meta.Index
		}
		w.queue = append(w.queue, rd.Messages...)
		for _, e := range rd.Committed {
			w.apply(id, e)
		}
		for _, r := range rd.Reads {
			w.reads[r.Context] = r
		}
		n.Advance(rd)
	}
	if lead, term := n.Leading(); lead {
		if other, ok := w.leaders[term]; ok && other != id {
			w.err = fmt.Errorf("two leaders %d and %d in term %d", other, id, term)
		}
		w.leaders[term] = id
	}
}

func (w *network) apply(id uint64, e Entry) {
	if e.Index != w.applied[id]+1 {
		w.err = fmt.Errorf("replica %d applies %d after %d", id, e.Index, w.applied[id])
	}
	w.applied[id] = e.Index
	val := fmt.Sprintf("%d/%d/%s", e.Term, e.Type, e.Data)
	if old, ok := w.committed[e.Index]; ok && old != val {
		w.err = fmt.Errorf("index %d: %q and %q both committed", e.Index, old, val)
	}
	w.committed[e.Index] = val
}

func (w *network) step() {
	for id := uint64(1); id <= maxID; id++ {
		if n := w.nodes[id]; n != nil {
			n.Tick()
			w.processReady(id)
		}
	}
	for rounds := 0; rounds < 4; rounds++ {
		batch := w.queue
		w.queue = nil
		for _, m := range batch {
			w.deliver(m)
		}
	}
}

func (w *network) deliver(m Message) {
	if w.disconnected[m.From] || w.disconnected[m.To] || w.rnd.Intn(100) < w.dropPct {
		if m.Type == MsgSnapshot {
			w.nodes[m.From].ReportSnapshot(m.To) // the driver reports a failure, too
		}
		return
	}
	if w.rnd.Intn(100) < w.dropPct {
		w.queue = append(w.queue, m)
		return
	}
	n := w.nodes[m.To]
	if n == nil {
		return
	}
	n.Step(m)
	w.processReady(m.To)
	if m.Type == MsgSnapshot {
		w.nodes[m.From].ReportSnapshot(m.To)
	}
}

func (w *network) leader() *Node {
	for id := uint64(1); id <= maxID; id++ {
		n := w.nodes[id]
		if n == nil {
			continue
		}
		if lead, _ := n.Leading(); lead && !w.disconnected[n.id] {
			return n
		}
	}
	return nil
}

func (w *network) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for i := 0; i < 400; i++ {
		if ok() {
			return
		}
		w.step()
	}
	t.Fatalf("not reached: %s", what)
}

// Under message loss, disconnection, restarts, compaction and transfers there is one
// leader per term and one value per index, entries are applied in order, and progress
// resumes once the faults end.
func TestSafetyUnderFaults(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("committed entries agree", prop.ForAll(func(seed int64) (string, error) {
		w := newNetwork(seed, 3+2*int(seed&1))
		w.dropPct = 10
		for i := 0; i < 300 && w.err == nil; i++ {
			w.injectFault(i)
			w.step()
		}
		w.disconnected = map[uint64]bool{}
		w.dropPct = 0
		before := len(w.committed)
		for i := 0; i < 200; i++ {
			if l := w.leader(); l != nil && i%10 == 0 {
				l.Propose([]byte("end"))
			}
			w.step()
		}
		if w.err == nil && len(w.committed) <= before {
			return "", fmt.Errorf("no progress after the faults ended")
		}
		return "", w.err
	}, gen.Int64Range(1, 1<<40)))
	props.TestingRun(t)
}

func (w *network) injectFault(i int) {
	id := uint64(1 + w.rnd.Intn(len(w.nodes)))
	switch w.rnd.Intn(20) {
	case 0:
		w.disconnected[id] = !w.disconnected[id]
	case 1:
		w.start(id)
	case 2:
		w.nodes[id].Compact(w.applied[id])
		w.disks[id].sync()
		w.disks[id].snap = w.nodes[id].log.snap
		w.disks[id].entries = append([]Entry(nil), w.nodes[id].log.entries...)
	case 3:
		w.nodes[id].TransferLeadership()
	default:
		if l := w.leader(); l != nil {
			l.Propose([]byte(fmt.Sprint(i)))
			w.processReady(l.id)
		}
	}
}

// A disconnected leader steps down by its quorum check and, because of pre-vote, does not
// disrupt the new leader on its return.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	w := newNetwork(3, 3)
	w.until(t, "leader", func() bool { return w.leader() != nil })
	old := w.leader()
	w.disconnected[old.id] = true
	old.ReadIndex(77)
	w.until(t, "old leader steps down", func() bool { return old.role != Leader })
	if r, ok := w.reads[77]; !ok || r.Ok {
		t.Fatalf("a read on the isolated leader: %+v, %v; want a failed read", r, ok)
	}
	w.until(t, "new leader", func() bool { return w.leader() != nil })
	term := w.leader().term
	for i := 0; i < 100; i++ {
		w.step()
	}
	w.disconnected = map[uint64]bool{}
	for i := 0; i < 100; i++ {
		w.step()
	}
	if got := w.leader().term; got != term {
		t.Fatalf("the returning replica changed the term from %d to %d", term, got)
	}
}

// A lost member is removed, a learner catches up by snapshot and is promoted, and the
// group then tolerates the loss of another member.
func TestReplaceLostDisk(t *testing.T) {
	w := newNetwork(5, 3)
	w.until(t, "leader", func() bool { return w.leader() != nil })
	l := w.leader()
	for i := 0; i < 20; i++ {
		l.Propose([]byte("x"))
		w.step()
	}
	l.Compact(w.applied[l.id])
	lost := l.id%3 + 1
	delete(w.nodes, lost)
	m := l.log.membership().membership
	if err := l.ProposeMembership(m.With(Member{ID: 9})); err != nil {
		t.Fatal(err)
	}
	w.disks[9] = &disk{}
	w.start(9)
	w.until(t, "learner catches up", func() bool { return l.progress[9].Match == l.log.last() })
	if err := l.ProposeMembership(m.Without(lost).With(Member{ID: 9, Voter: true})); err != ErrMembershipStep {
		t.Fatalf("two voters at once: %v", err)
	}
	l.ProposeMembership(m.Without(lost).With(Member{ID: 9}))
	w.until(t, "removal", func() bool { return l.log.membership().index <= l.log.commit })
	l.ProposeMembership(m.Without(lost).With(Member{ID: 9, Voter: true}))
	w.until(t, "promotion", func() bool { return l.log.membership().index <= l.log.commit })
	var second uint64
	for id := range w.nodes {
		if id != 9 && id != l.id {
			second = id
		}
	}
	w.disconnected[second] = true
	before := l.log.commit
	l.Propose([]byte("after"))
	w.until(t, "commit after a second loss", func() bool { return l.log.commit > before })
}

// A leadership transfer completes without waiting for an election timeout.
func TestTransferLeadership(t *testing.T) {
	w := newNetwork(11, 3)
	w.until(t, "leader", func() bool { return w.leader() != nil })
	for i := 0; i < 5; i++ {
		w.step()
	}
	old := w.leader()
	old.TransferLeadership()
	if _, _, err := old.Propose(nil); err != ErrTransferring {
		t.Fatalf("propose during transfer: %v", err)
	}
	for i := 0; i < 3; i++ {
		w.step()
	}
	if l := w.leader(); l == nil || l.id == old.id {
		t.Fatal("leadership did not move within three ticks")
	}
}

// When all replicas restart at the same time, they elect a leader within the minimum
// election timeout.
func TestRestartedGroupElectsLeaderEarly(t *testing.T) {
	const electionTicks, voters = 20, 5
	var members Membership
	for id := uint64(1); id <= voters; id++ {
		members = members.With(Member{ID: id, Address: "x", Voter: true})
	}
	snap := SnapshotMeta{Index: 1, Term: 1, Membership: members}
	rnd := rand.New(rand.NewSource(3))
	nodes := map[uint64]*Node{}
	for id := uint64(1); id <= voters; id++ {
		nodes[id] = New(Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: 2, Rand: rnd.Intn,
			State: HardState{Term: 1, Commit: 1}, Snapshot: snap})
	}
	for tick := range electionTicks {
		for id := uint64(1); id <= voters; id++ {
			nodes[id].Tick()
		}
		for range 8 { // messages take less than a tick
			for id := uint64(1); id <= voters; id++ {
				rd := nodes[id].Ready()
				nodes[id].Advance(rd)
				for _, m := range rd.Messages {
					nodes[m.To].Step(m)
				}
			}
		}
		for _, n := range nodes {
			if lead, _ := n.Leading(); lead {
				t.Logf("leader after %d ticks of an election timeout of %d", tick+1, electionTicks)
				return
			}
		}
	}
	t.Fatal("no leader within the minimum election timeout")
}
