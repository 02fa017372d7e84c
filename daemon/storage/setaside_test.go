package storage

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
	"cardamomwick.example/daemon/filesystem/model"
)

// damage overwrites a byte of a file.
func damage(t *testing.T, disk *model.Disk, name string) {
	t.Helper()
	data, err := filesystem.ReadFile(disk, filepath.Join("d", name))
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 0x40
	if err := disk.Remove(filepath.Join("d", name)); err != nil {
		t.Fatal(err)
	}
	writeTo(t, disk, filepath.Join("d", name), data)
}

// Guards against a replica that sets its damaged folder aside, is interrupted, and then counts what is
// left of it under its former identity, for which it may have voted or acknowledged more.
func TestInterruptedSetAsideNeverRevivesAnIdentity(t *testing.T) {
	for seed := range uint64(3 * powerLossSeeds) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		disk := model.NewDisk(rnd)
		s, _ := openModel(t, disk, seed, "with an empty disk")
		snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: 2, Term: 1}, Data: make([]byte, 20)}
		if err := errors.Join(s.Append(&raft.HardState{Term: 1, Commit: 2}, []raft.Entry{entry(1), entry(2), entry(3)}),
			s.SaveSnapshot(snap, raft.HardState{Term: 1, Vote: 4, Commit: 2}, []raft.Entry{entry(3)})); err != nil {
			t.Fatal(err)
		}
		former := s.Identity().ID
		segments, _ := s.segments()
		damage(t, disk, []string{identityFile, snapshotFile, segments[0]}[seed%3])
		if err := disk.SyncDir("d"); err != nil {
			t.Fatal(err)
		}
		for attempt := range 20 {
			s, l, err := Open(disk, "d", nil)
			if err == nil {
				if s.Identity().ID == former || s.Identity().Group != 0 || len(l.Entries) > 0 || l.State != (raft.HardState{}) {
					t.Fatalf("seed %d: opened with %+v, %+v", seed, s.Identity(), l)
				}
				break
			}
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if attempt == 19 {
				t.Fatalf("seed %d: can't be set aside: %v", seed, err)
			}
			if attempt < 10 {
				disk.KillAfter(1 + rnd.IntN(10))
			}
			SetAside(disk, "d")
			if rnd.IntN(2) == 0 {
				disk.Kill()
			} else {
				disk.LosePower()
			}
		}
	}
}
