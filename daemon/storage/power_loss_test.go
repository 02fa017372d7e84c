package storage

import (
	"math/rand/v2"
	"testing"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem/model"
)

// powerLossSeeds is the number of ways to lose power that each case is played with.
const powerLossSeeds = 300

func openModel(t *testing.T, disk *model.Disk, seed uint64, when string) (*Store, *Loaded) {
	t.Helper()
	s, l, err := Open(disk, "d", nil)
	if err != nil {
		t.Fatalf("seed %d: the start %s is refused: %v", seed, when, err)
	}
	if s.Identity().Group == 0 {
		join(t, s)
	}
	return s, l
}

// Guards against replicas that refuse to start, or lose an entry they have counted, when power is
// lost some time after a process was killed between a write and its sync.
func TestRecordsOfAKilledProcessAreSyncedBeforeTheyCount(t *testing.T) {
	for name, write := range map[string]func(s *Store, disk *model.Disk){
		"commit index": func(s *Store, _ *model.Disk) { s.AppendCommit(&raft.HardState{Term: 1, Commit: 1}) },
		"entry": func(s *Store, disk *model.Disk) {
			disk.KillAfter(2) // at the sync
			s.Append(nil, []raft.Entry{entry(2)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(powerLossSeeds) {
				disk := model.NewDisk(rand.New(rand.NewPCG(seed, 0)))
				s, _ := openModel(t, disk, seed, "with an empty disk")
				if err := s.Append(&raft.HardState{Term: 1}, []raft.Entry{entry(1)}); err != nil {
					t.Fatal(err)
				}
				write(s, disk)
				disk.Kill()
				s, counted := openModel(t, disk, seed, "after the kill")
				next := uint64(len(counted.Entries) + 1)
				if err := s.Append(nil, []raft.Entry{entry(next)}); err != nil {
					t.Fatal(err)
				}
				disk.LosePower()
				if _, l := openModel(t, disk, seed, "after the loss of power"); uint64(len(l.Entries)) != next {
					t.Fatalf("seed %d: %d entries are left of %d", seed, len(l.Entries), next)
				}
			}
		})
	}
}

// Guards against replicas that refuse to start because a loss of power brought back one of the
// segments that a snapshot or a start had removed, without the one before it.
func TestRemovedSegmentsThatComeBackAreNoDamage(t *testing.T) {
	for seed := range uint64(powerLossSeeds) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		disk := model.NewDisk(rnd)
		for i := uint64(1); i <= 4; i++ { // each start has its own segment
			s, _ := openModel(t, disk, seed, "after a kill")
			if err := s.Append(&raft.HardState{Term: 1, Commit: 1}, []raft.Entry{entry(i)}); err != nil {
				t.Fatal(err)
			}
			disk.Kill()
		}
		s, l := openModel(t, disk, seed, "after a kill")
		if seed%2 == 0 {
			disk.Kill()
			disk.KillAfter(5 + rnd.IntN(15))
			Open(disk, "d", nil)
		} else {
			disk.KillAfter(5 + rnd.IntN(15))
			s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: 1, Term: 1}}, l.State, l.Entries[1:])
		}
		disk.LosePower()
		if _, l = openModel(t, disk, seed, "after the loss of power"); int(l.Snapshot.Meta.Index)+len(l.Entries) != 4 {
			t.Fatalf("seed %d: snapshot at %d and %d entries are left of 4 entries", seed, l.Snapshot.Meta.Index, len(l.Entries))
		}
	}
}

// Guards against a start that reads a snapshot whose name is not durable, writes a log that follows
// it, and loses the name: the entries that the snapshot had replaced were gone.
func TestLogNeverOutlivesItsSnapshot(t *testing.T) {
	for seed := range uint64(20 * powerLossSeeds) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		disk := model.NewDisk(rnd)
		s, _ := openModel(t, disk, seed, "with an empty disk")
		entries := []raft.Entry{entry(1), entry(2), entry(3)}
		if err := s.Append(&raft.HardState{Term: 1, Commit: 3}, entries); err != nil {
			t.Fatal(err)
		}
		disk.KillAfter(1 + rnd.IntN(8))
		s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: 9, Term: 2}}, raft.HardState{Term: 2, Commit: 9}, nil)
		disk.Kill()
		disk.KillAfter(1 + rnd.IntN(20))
		Open(disk, "d", nil)
		disk.LosePower()
		_, l := openModel(t, disk, seed, "after the loss of power")
		if l.Snapshot.Meta.Index != 9 && (l.Snapshot.Meta.Index != 0 || len(l.Entries) != 3) {
			t.Fatalf("seed %d: snapshot at %d and %d entries", seed, l.Snapshot.Meta.Index, len(l.Entries))
		}
	}
}
