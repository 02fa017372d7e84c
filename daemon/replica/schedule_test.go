package replica

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/filesystem/model"
	"cardamomwick.example/daemon/storage"
)

// CI plays the default; developers play more by hand, from another first seed.
var (
	schedules = flag.Uint64("schedules", 150, "random schedules of a group of replicas")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// A group of replicas on disks that lose what is not synced goes through random series of kills,
// losses of power of one or all, full disks, failed syncs, lost disks, cuts and lost messages, while
// an operator declares. Guards against acknowledged declarations that are gone or come back older, two
// leaders in a term, and replicas that can't start again.
func TestGroupSurvivesKillsAndLossesOfPower(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		g := newGroup(seed)
		if err := g.play(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, g.trace)
		}
	}
}

// Sizes and lengths of a schedule.
const (
	disturbedTicks = 400
	// calmTicks is the time in which the group must serve again after the last disturbance: some
	// election timeouts.
	calmTicks = 400
	// ticksPerMembershipCheck is how often Serve maintains the membership.
	ticksPerMembershipCheck = int(membershipPeriod / tickPeriod)
)

// member is one replica with its disk. replica is nil while its process does not run. A disk that is
// lost is followed by one with another ID.
type member struct {
	id      uint64
	address string
	disk    *model.Disk
	replica *Replica
	// downUntil is the tick at which the process starts again.
	downUntil int
	// cutUntil is the tick until which no message goes in or out.
	cutUntil int
}

// envelope is a message under way.
type envelope struct {
	from, to int
	message  raft.Message
}

// group is one schedule.
type group struct {
	rnd     *rand.Rand
	members []*member
	queue   []envelope
	tick    int
	// leaders maps terms to leaders, states an index to the state of the machines there.
	leaders map[uint64]int
	states  map[uint64][sha256.Size]byte
	// version is the newest declaration sent, acked the newest acknowledged.
	version, acked uint64
	// at maps IDs to members, lastID is the last one.
	at        map[uint64]int
	lastID    uint64
	readsDone int
	err       error
	trace     string
}

func newGroup(seed uint64) *group {
	rnd := rand.New(rand.NewPCG(seed, 67))
	g := &group{rnd: rnd, leaders: map[uint64]int{}, states: map[uint64][sha256.Size]byte{}, at: map[uint64]int{}}
	for i := range 3 + 2*rnd.IntN(2) {
		g.members = append(g.members, &member{address: fmt.Sprint("replica-", i)})
		g.newDisk(i)
	}
	return g
}

// newDisk gives a member an empty disk.
func (g *group) newDisk(i int) {
	g.lastID++
	g.at[g.lastID] = i
	g.members[i].id, g.members[i].disk = g.lastID, model.NewDisk(g.rnd)
}

func (g *group) logf(format string, args ...any) {
	g.trace += fmt.Sprintf("%4d ", g.tick) + fmt.Sprintf(format+"\n", args...)
}

func (g *group) failf(format string, args ...any) {
	if g.err == nil {
		g.err = fmt.Errorf("tick %d: "+format, append([]any{g.tick}, args...)...)
	}
}

func (g *group) play() error {
	for g.tick = 0; g.tick < disturbedTicks && g.err == nil; g.tick++ {
		if g.rnd.IntN(12) == 0 {
			g.disturb()
		}
		g.step()
	}
	g.calm()
	before := g.readsDone
	want := g.version + 1
	for end := g.tick + calmTicks; g.tick < end && g.err == nil && (g.acked < want || g.readsDone == before); g.tick++ {
		g.step()
	}
	if g.err == nil && (g.acked < want || g.readsDone == before) {
		g.failf("no declaration or no read after the disturbances ended; acknowledged %d", g.acked)
	}
	return g.err
}

// calm ends all disturbances.
func (g *group) calm() {
	for _, m := range g.members {
		m.disk.SetFull(false)
		m.disk.FailSyncs(0)
		m.downUntil, m.cutUntil = g.tick, g.tick
	}
	g.logf("calm")
}

func (g *group) disturb() {
	i := g.rnd.IntN(len(g.members))
	m := g.members[i]
	switch g.rnd.IntN(10) {
	case 0, 1:
		n := 1 + g.rnd.IntN(20)
		g.logf("%d: killed after %d operations", i, n)
		m.disk.KillAfter(n)
	case 2:
		g.logf("%d: loses power", i)
		g.stop(i, (*model.Disk).LosePower)
	case 3:
		g.logf("all lose power")
		for i := range g.members {
			g.stop(i, (*model.Disk).LosePower)
		}
	case 4:
		g.logf("all are killed")
		for i := range g.members {
			g.stop(i, (*model.Disk).Kill)
		}
	case 5:
		m.disk.FailSyncs(1 + g.rnd.IntN(2))
		g.logf("%d: syncs fail", i)
	case 6:
		m.disk.SetFull(true)
		g.logf("%d: disk is full", i)
	case 7:
		m.disk.SetFull(false)
		g.logf("%d: disk has room", i)
	case 8:
		m.cutUntil = g.tick + g.rnd.IntN(40)
		g.logf("%d: cut until %d", i, m.cutUntil)
	case 9:
		if g.whole() {
			g.logf("%d: loses its disk", i)
			g.stop(i, (*model.Disk).Kill)
			g.newDisk(i)
		}
	}
}

// whole reports whether a leader has all members with their present disks as voters, so that one
// disk may be lost.
func (g *group) whole() bool {
	for _, m := range g.members {
		if m.replica == nil || !m.replica.Available() {
			continue
		}
		if st := m.replica.node.Status(); st.Role == raft.Leader && st.MembershipSettled {
			for _, x := range g.members {
				if v, ok := st.Membership.Find(x.id); !ok || !v.Voter {
					return false
				}
			}
			return true
		}
	}
	return false
}

// stop ends a process; it starts again some ticks later.
func (g *group) stop(i int, end func(*model.Disk)) {
	m := g.members[i]
	m.replica = nil
	end(m.disk)
	m.downUntil = g.tick + g.rnd.IntN(15)
}

func (g *group) step() {
	for i, m := range g.members {
		if m.replica == nil && g.tick >= m.downUntil {
			g.start(i)
		}
		if m.replica != nil {
			g.run(i, m.replica)
		}
	}
	for range 3 {
		g.deliver()
	}
	g.operate()
}

// start begins a process as New does; a data folder that is not available is opened later.
func (g *group) start(i int) {
	m := g.members[i]
	r := newReplica(Options{FS: m.disk, Folder: "d", Directory: NewSeedDirectory(nil, true), NewID: func() (uint64, error) { return m.id, nil }})
	r.rand = g.rnd.IntN
	r.now = func() time.Time { return time.UnixMilli(int64(g.tick) * tickPeriod.Milliseconds()) }
	r.snapshotInterval, r.keptEntries = 12, 4
	r.send = func(list []raft.Message) { g.send(i, r, list) }
	m.replica = r
	g.open(i, r)
}

func (g *group) open(i int, r *Replica) {
	err := r.openFolder()
	switch {
	case errors.Is(err, storage.ErrCorrupt):
		g.failf("%d: the start is refused: %v", i, err)
	case err != nil:
		g.logf("%d: not available: %v", i, err)
		g.endIfKilled(i, err)
	default:
		g.logf("%d: opened, term %d, applied %d, group %d", i, r.node.Status().Term, r.applied, r.store.Identity().Group)
	}
}

// endIfKilled ends the process if the disk has killed it, by a loss of power half of the time.
func (g *group) endIfKilled(i int, err error) {
	if !errors.Is(err, model.ErrKilled) {
		return
	}
	if g.rnd.IntN(2) == 0 {
		g.logf("%d: was killed", i)
		g.stop(i, (*model.Disk).Kill)
		return
	}
	g.logf("%d: was killed and loses power", i)
	g.stop(i, (*model.Disk).LosePower)
}

// run does one tick of a process.
func (g *group) run(i int, r *Replica) {
	if !r.Available() {
		g.open(i, r)
		return
	}
	if r.store.Identity().Group == 0 {
		g.join(i, r)
	}
	r.updateLeaderless()
	if _, member := r.node.Status().Membership.Find(g.members[i].id); !member || r.leaderless.Load() {
		g.requestJoin(i)
	}
	if g.tick%ticksPerMembershipCheck == 0 {
		r.maintainMembership()
	}
	r.node.Tick()
	r.startReads()
	r.drainInbox()
	g.process(i, r)
}

// join does what findGroup does for a replica without a group. Only those with their first disk may
// form one.
func (g *group) join(i int, r *Replica) {
	replies := map[string]helloReply{}
	var initialVoters []string
	for _, m := range g.members {
		if m.replica != nil && m.replica.Available() {
			id := m.replica.store.Identity()
			replies[m.address] = helloReply{ID: id.ID, Group: id.Group}
		}
		if g.members[i].id <= uint64(len(g.members)) {
			initialVoters = append(initialVoters, m.address)
		}
	}
	if group, initial := chooseGroup(replies, initialVoters); group != 0 {
		r.joinGroup(group, initial)
	}
}

// requestJoin asks the leaders that can be reached to admit a member.
func (g *group) requestJoin(i int) {
	for _, m := range g.members {
		if m.replica != nil && m.replica.Available() && max(m.cutUntil, g.members[i].cutUntil) <= g.tick {
			m.replica.admit(joinRequest{ID: g.members[i].id, Address: g.members[i].address})
		}
	}
}

// process does what Serve does after each event.
func (g *group) process(i int, r *Replica) {
	if err := r.process(); err != nil {
		g.logf("%d: %v", i, err)
		r.failProposals()
		r.failReads()
		r.closeFolder()
		g.endIfKilled(i, err)
		return
	}
	g.check(i, r)
}

func (g *group) check(i int, r *Replica) {
	if lead, term := r.node.Leading(); lead {
		if other, known := g.leaders[term]; known && other != i {
			g.failf("%d and %d lead in term %d", other, i, term)
		}
		g.leaders[term] = i
	}
	digest := sha256.Sum256(r.machine.Snapshot())
	if old, known := g.states[r.applied]; known && old != digest {
		g.failf("%d: its state at index %d differs from another's, or from its own before", i, r.applied)
	}
	g.states[r.applied] = digest
}

func (g *group) send(i int, r *Replica, list []raft.Message) {
	for _, m := range list {
		if m.Type == raft.MsgSnapshot {
			m.Snapshot = &raft.Snapshot{Meta: r.node.SnapshotMetaAt(r.applied), Data: r.machine.Snapshot()}
			r.enqueue(func() { r.node.ReportSnapshot(m.To) })
		}
		if to := g.at[m.To]; g.members[to].id == m.To {
			g.queue = append(g.queue, envelope{i, to, m})
		}
	}
}

func (g *group) deliver() {
	batch := g.queue
	g.queue = nil
	for _, e := range batch {
		to := g.members[e.to]
		cut := to.cutUntil > g.tick || g.members[e.from].cutUntil > g.tick
		if cut || to.replica == nil || !to.replica.Available() || to.replica.store.Identity().Group == 0 || to.id != e.message.To || g.rnd.IntN(20) == 0 {
			continue
		}
		to.replica.lastMessage[e.message.From] = to.replica.now()
		to.replica.node.Step(e.message)
		g.process(e.to, to.replica)
	}
}

// operate declares and reads now and then at whoever leads.
func (g *group) operate() {
	for i, m := range g.members {
		r := m.replica
		if r == nil || !r.Available() || m.cutUntil > g.tick {
			continue
		}
		if lead, _ := r.node.Leading(); !lead {
			continue
		}
		if g.rnd.IntN(3) == 0 {
			g.declare(i, r)
		}
		if g.rnd.IntN(6) == 0 {
			g.read(i, r)
		}
	}
}

func (g *group) declare(i int, r *Replica) {
	g.version++
	version := g.version
	c := &state.Command{Type: state.CommandDeclare, Declare: &state.DeclareCommand{Version: version, Declaration: []byte("d"), Source: []byte("s")}}
	r.propose(c, func(res state.Result, err error) {
		if err == nil && res.Code == state.CodeOK && version > g.acked {
			g.acked = version
			g.logf("%d: version %d acknowledged", i, version)
		}
	})
	g.process(i, r)
}

func (g *group) read(i int, r *Replica) {
	acked := g.acked
	r.read(func(err error) {
		if err != nil {
			return
		}
		g.readsDone++
		if got := r.machine.Routing().Declared.Version; got < acked {
			g.failf("%d: version %d is read after %d was acknowledged", i, got, acked)
		}
	})
}
