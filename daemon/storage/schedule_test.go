package storage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem/model"
)

// CI plays the default; developers play more by hand, from another first seed.
var (
	schedules = flag.Uint64("schedules", 4000, "random schedules of the data folder")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// A data folder goes through random series of starts, writes, snapshots, kills at any operation of
// the disk, losses of power, full disks and failed syncs. Guards against replicas that refuse to
// start after a loss of power, lose what they acknowledged, or count what is not synced.
func TestDataFolderSurvivesKillsAndLossesOfPower(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		s := newSchedule(seed)
		if err := s.play(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.trace)
		}
	}
}

// content is what a replica relies on in its data folder.
type content struct {
	ID, Group uint64
	State     raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
}

func (c content) last() uint64 { return c.Snapshot.Meta.Index + uint64(len(c.Entries)) }

func (c content) lastTerm() uint64 {
	if len(c.Entries) > 0 {
		return c.Entries[len(c.Entries)-1].Term
	}
	return c.Snapshot.Meta.Term
}

// withEntries returns the content with entries that replace all from their first index on.
func (c content) withEntries(list []raft.Entry) content {
	if len(list) > 0 {
		kept := list[0].Index - c.Snapshot.Meta.Index - 1
		c.Entries = append(append([]raft.Entry(nil), c.Entries[:kept]...), list...)
	}
	return c
}

// withSnapshot returns the content with another snapshot and the entries after it.
func (c content) withSnapshot(snap raft.Snapshot, after []raft.Entry) content {
	c.Snapshot, c.Entries = snap, append([]raft.Entry(nil), after...)
	c.State.Commit = max(c.State.Commit, snap.Meta.Index)
	return c
}

// schedule is one random series.
type schedule struct {
	rnd   *rand.Rand
	disk  *model.Disk
	store *Store
	// acked is what the folder must hold. An operation that was interrupted may have been done:
	// attempted is the content with it. A snapshot may also leave the entries after it that the
	// log had: retained is the content with these.
	acked, attempted, retained content
	interrupted                bool
	// unhealthy: the disk was full or failed a sync since the folder was last opened.
	unhealthy bool
	trace     string
}

func newSchedule(seed uint64) *schedule {
	rnd := rand.New(rand.NewPCG(seed, 66))
	return &schedule{rnd: rnd, disk: model.NewDisk(rnd)}
}

func (s *schedule) log(format string, args ...any) { s.trace += fmt.Sprintf(format+"\n", args...) }

func (s *schedule) play() error {
	if err := s.open(); err != nil {
		return err
	}
	for range 10 + s.rnd.IntN(50) {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *schedule) step() error {
	if s.rnd.IntN(4) == 0 {
		s.disturb()
	}
	if s.rnd.IntN(6) == 0 {
		s.end()
		return s.open()
	}
	s.attempted, s.retained = s.acked, s.acked
	if err := s.write(); err != nil {
		s.log("  failed: %v", err)
		s.interrupted = true
		s.end()
		return s.open()
	}
	s.acked = s.attempted
	return nil
}

// disturb prepares a fault that hits one of the next operations.
func (s *schedule) disturb() {
	switch s.rnd.IntN(4) {
	case 0:
		n := 1 + s.rnd.IntN(12)
		s.log("killed after %d operations", n)
		s.disk.KillAfter(n)
	case 1:
		n := 1 + s.rnd.IntN(2)
		s.log("%d syncs fail", n)
		s.disk.FailSyncs(n)
		s.unhealthy = true
	case 2:
		s.log("disk is full")
		s.disk.SetFull(true)
		s.unhealthy = true
	case 3:
		s.log("disk has room")
		s.disk.SetFull(false)
	}
}

// end ends the process: by a kill, a loss of power, or after closing the store.
func (s *schedule) end() {
	switch s.rnd.IntN(4) {
	case 0:
		s.log("close")
		if s.store != nil {
			s.store.Close() // fails if the process was killed before
		}
		s.disk.Kill()
	case 1:
		s.log("kill")
		s.disk.Kill()
	case 2:
		s.log("loss of power")
		s.disk.LosePower()
	case 3:
		s.log("loss of power and of everything unsynced")
		s.disk.LoseUnsynced()
	}
}

// open opens the folder. It may fail only because of a fault of the disk, or a kill.
func (s *schedule) open() error {
	if s.rnd.IntN(5) == 0 {
		s.log("killed while it opens the folder")
		s.disk.KillAfter(1 + s.rnd.IntN(12))
		s.tryOpen()
		s.end()
	}
	if _, err := s.tryOpen(); err != nil {
		if !s.unhealthy {
			return fmt.Errorf("the start is refused: %w", err)
		}
		s.log("  start fails on a faulty disk: %v", err)
		s.disk.SetFull(false)
		s.disk.FailSyncs(0)
		s.end()
	}
	s.unhealthy = false
	s.disk.SetFull(false)
	s.disk.FailSyncs(0)
	got, err := s.tryOpen()
	if err != nil {
		return fmt.Errorf("the start is refused: %w", err)
	}
	if err := s.check(got); err != nil {
		return err
	}
	return s.checkSynced(got)
}

func (s *schedule) tryOpen() (content, error) {
	store, l, err := Open(s.disk, "d", nil)
	if err != nil {
		return content{}, err
	}
	s.store = store
	return contentOf(store, l), nil
}

func contentOf(store *Store, l *Loaded) content {
	return content{store.Identity().ID, store.Identity().Group, l.State, l.Snapshot, append([]raft.Entry(nil), l.Entries...)}
}

// check compares what was read with what was acknowledged. A commit index may be older, since it
// is not synced by itself.
func (s *schedule) check(got content) error {
	s.log("opened: %s", describe(got))
	if s.acked.ID == 0 {
		s.acked.ID, s.attempted.ID = got.ID, got.ID
	}
	if got.State.Commit > s.attempted.State.Commit || got.State.Commit < s.acked.Snapshot.Meta.Index {
		return fmt.Errorf("commit index %d, acknowledged up to %d", got.State.Commit, s.acked.State.Commit)
	}
	want := []content{s.acked}
	if s.interrupted {
		want = append(want, s.attempted, s.retained)
	}
	for _, w := range want {
		w.State.Commit = got.State.Commit
		if equal(got, w) {
			s.acked, s.attempted, s.interrupted = got, got, false
			return nil
		}
	}
	return fmt.Errorf("opened with %s,\nacknowledged %s,\nattempted %s", describe(got), describe(s.acked), describe(s.attempted))
}

// checkSynced opens a copy of the disk that has lost everything unsynced: all that the process
// counts on must still be there.
func (s *schedule) checkSynced(got content) error {
	copied := s.disk.Clone(rand.New(rand.NewPCG(1, 1)))
	copied.LoseUnsynced()
	store, l, err := Open(copied, "d", nil)
	if err != nil {
		return fmt.Errorf("the start after a loss of power right after this one is refused: %w", err)
	}
	if again := contentOf(store, l); !equal(got, again) {
		return fmt.Errorf("counts what is not synced: opened with %s,\nsynced is %s", describe(got), describe(again))
	}
	return nil
}

func equal(a, b content) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

func describe(c content) string {
	out := fmt.Sprintf("group %d, term %d, vote %d, commit %d, snapshot %d, entries", c.Group, c.State.Term, c.State.Vote, c.State.Commit, c.Snapshot.Meta.Index)
	for _, e := range c.Entries {
		out += fmt.Sprintf(" %d:%d", e.Index, e.Term)
	}
	return out
}

// write does one operation of a replica and sets attempted to what the folder then holds.
func (s *schedule) write() error {
	if s.acked.Group == 0 {
		return s.join()
	}
	switch s.rnd.IntN(8) {
	case 0:
		return s.vote()
	case 1, 2:
		return s.commit()
	case 3:
		return s.sync()
	case 4:
		return s.snapshot()
	case 5:
		return s.install()
	default:
		return s.appendEntries()
	}
}

func (s *schedule) join() error {
	s.log("join")
	snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}
	s.attempted.Snapshot, s.attempted.State, s.attempted.Group = snap, raft.HardState{Term: 1, Commit: 1}, 7
	return s.store.Join(7, snap)
}

func (s *schedule) vote() error {
	s.attempted.State.Term++
	s.attempted.State.Vote = s.rnd.Uint64N(3)
	s.log("vote for %d in term %d", s.attempted.State.Vote, s.attempted.State.Term)
	return s.store.Append(&s.attempted.State, nil)
}

func (s *schedule) commit() error {
	s.attempted.State.Commit += s.rnd.Uint64N(s.acked.last() - s.acked.State.Commit + 1)
	s.log("commit %d", s.attempted.State.Commit)
	return s.store.AppendCommit(&s.attempted.State)
}

func (s *schedule) sync() error {
	s.log("sync")
	return s.store.Sync()
}

// snapshot compacts the log up to a committed entry.
func (s *schedule) snapshot() error {
	index := s.acked.Snapshot.Meta.Index + s.rnd.Uint64N(s.acked.State.Commit-s.acked.Snapshot.Meta.Index+1)
	if index == s.acked.Snapshot.Meta.Index {
		return nil
	}
	after := s.acked.Entries[index-s.acked.Snapshot.Meta.Index:]
	term := s.acked.Entries[index-s.acked.Snapshot.Meta.Index-1].Term
	s.log("snapshot at %d", index)
	snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: term}, Data: []byte(fmt.Sprint("state at ", index))}
	s.attempted = s.acked.withSnapshot(snap, after)
	return s.store.SaveSnapshot(snap, s.attempted.State, after)
}

// install replaces everything by a leader's snapshot.
func (s *schedule) install() error {
	index := s.acked.State.Commit + 1 + s.rnd.Uint64N(10)
	term := max(s.acked.State.Term, s.acked.lastTerm())
	s.log("install a snapshot at %d", index)
	snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: term}, Data: []byte(fmt.Sprint("installed at ", index))}
	s.attempted = s.acked.withSnapshot(snap, nil)
	if kept := index - s.acked.Snapshot.Meta.Index; index <= s.acked.last() && s.acked.Entries[kept-1].Term == term {
		s.retained = s.acked.withSnapshot(snap, s.acked.Entries[kept:])
	}
	return s.store.SaveSnapshot(snap, s.attempted.State, nil)
}

// appendEntries appends entries after the last one, or after a committed one in a new term.
func (s *schedule) appendEntries() error {
	from := s.acked.last() + 1
	if s.rnd.IntN(4) == 0 {
		from = s.acked.State.Commit + 1 + s.rnd.Uint64N(s.acked.last()-s.acked.State.Commit+1)
		s.attempted.State.Term++
		s.attempted.State.Vote = raft.None
	}
	var list []raft.Entry
	for i := range 1 + s.rnd.Uint64N(3) {
		list = append(list, raft.Entry{Index: from + i, Term: s.attempted.State.Term, Data: make([]byte, 1+s.rnd.IntN(40))})
	}
	s.attempted = s.attempted.withEntries(list)
	s.log("append %d entries from %d", len(list), from)
	state := &s.attempted.State
	if *state == s.acked.State {
		state = nil
	}
	return s.store.Append(state, list)
}
