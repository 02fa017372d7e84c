package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
	"cardamomwick.example/daemon/filesystem/model"
)

func entry(i uint64) raft.Entry {
	return raft.Entry{Index: i, Term: 1, Data: []byte{byte(i), 1, 2, 3, 4, 5, 6, 7}}
}

// join makes the replica of a new folder a member of a group.
func join(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Join(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
}

// createLog creates a data folder whose log has the entries 1 to n, one record each.
func createLog(t *testing.T, n uint64) (dir string) {
	t.Helper()
	dir = t.TempDir()
	s, _, err := Open(filesystem.OS{}, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	join(t, s)
	for i := uint64(1); i <= n; i++ {
		if err := s.Append(&raft.HardState{Term: 1, Commit: i}, []raft.Entry{entry(i)}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	return dir
}

func onlySegment(t *testing.T, dir string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	if len(names) != 1 {
		t.Fatalf("%d segments", len(names))
	}
	return names[0]
}

func TestReopen(t *testing.T) {
	dir := createLog(t, 5)
	s, l, err := Open(filesystem.OS{}, dir, nil)
	if err != nil || len(l.Entries) != 5 || l.State.Commit != 5 {
		t.Fatalf("%v, %d entries, state %+v", err, len(l.Entries), l.State)
	}
	id := s.Identity().ID
	snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: 3, Term: 1}, Data: []byte("state")}
	if err := s.SaveSnapshot(snap, l.State, l.Entries[3:]); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, l, err = Open(filesystem.OS{}, dir, nil)
	if err != nil || string(l.Snapshot.Data) != "state" || len(l.Entries) != 2 || l.Entries[0].Index != 4 || s.Identity().ID != id {
		t.Fatalf("after a snapshot: %v %+v", err, l)
	}
}

func writeTo(t *testing.T, fs filesystem.FS, name string, data []byte) {
	t.Helper()
	f, err := fs.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(data); err != nil {
		t.Fatal(err)
	}
}

// A log truncated at any length must keep its complete records and lose the torn one. Its first
// record, the checkpoint, was synced before the segment got its name: without it the folder is
// damaged.
func TestEveryTornTail(t *testing.T) {
	dir := createLog(t, 3)
	name := onlySegment(t, dir)
	whole, _ := os.ReadFile(name)
	_, checkpoint, err := parseRecord(whole)
	if err != nil {
		t.Fatal(err)
	}
	record := (len(whole) - checkpoint) / 3
	for size := range whole {
		copied := model.NewDisk(rand.New(rand.NewPCG(1, 1)))
		for _, file := range []string{identityFile, snapshotFile} {
			data, _ := os.ReadFile(filepath.Join(dir, file))
			writeTo(t, copied, file, data)
		}
		writeTo(t, copied, filepath.Base(name), whole[:size])
		s, l, err := Open(copied, ".", nil)
		if size < checkpoint {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("cut at %d, in the checkpoint: %v", size, err)
			}
			continue
		}
		if want := (size - checkpoint) / record; err != nil || len(l.Entries) != want {
			t.Fatalf("cut at %d: %v, %d entries, want %d", size, err, len(l.Entries), want)
		}
		next := uint64(len(l.Entries) + 1)
		if err := s.Append(nil, []raft.Entry{entry(next)}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		if _, l, err = Open(copied, ".", nil); err != nil || uint64(len(l.Entries)) != next {
			t.Fatalf("append after a cut at %d: %v", size, err)
		}
	}
}

func TestDamagedFolderIsRefused(t *testing.T) {
	dir := createLog(t, 3)
	name := onlySegment(t, dir)
	data, _ := os.ReadFile(name)
	data[len(data)/2] ^= 0x40
	os.WriteFile(name, data, 0o600)
	if _, _, err := Open(filesystem.OS{}, dir, nil); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("damage in the middle: %v", err)
	}
	dir = createLog(t, 3)
	os.Remove(filepath.Join(dir, identityFile))
	if _, _, err := Open(filesystem.OS{}, dir, nil); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a log without its identity: %v", err)
	}
}

// failingFile fails every sync once the count has run down.
type failingFile struct {
	filesystem.File
	left *int
}

func (b failingFile) Sync() error {
	if *b.left--; *b.left <= 0 {
		return errors.New("input/output error")
	}
	return b.File.Sync()
}

func TestFailedSyncIsFinal(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(filesystem.OS{}, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	join(t, s)
	left := 3
	s.segment = failingFile{s.segment, &left}
	for i := uint64(1); i <= 2; i++ {
		if err := s.Append(nil, []raft.Entry{entry(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Append(nil, []raft.Entry{entry(3)}); err == nil {
		t.Fatal("a failed sync was acknowledged")
	}
	left = 100
	if err := s.Append(nil, []raft.Entry{entry(3)}); !errors.Is(err, ErrFailed) {
		t.Fatalf("the store went on after a failed sync: %v", err)
	}
}

// Guards against proposals that expire while disks are slow: each commit waited for a sync of the
// commit index, in addition to that of the entry.
func TestCommitIndexAloneIsNotSynced(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(filesystem.OS{}, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	join(t, s)
	const start = 100
	left := start
	s.segment = failingFile{s.segment, &left}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.Append(&raft.HardState{Term: 1}, []raft.Entry{entry(1)}))
	must(s.AppendCommit(&raft.HardState{Term: 1, Commit: 1}))
	if syncs := start - left; syncs != 1 || !s.Unsynced() {
		t.Errorf("%d syncs, unsynced %v", syncs, s.Unsynced())
	}
	must(s.Sync())
	if syncs := start - left; syncs != 2 || s.Unsynced() {
		t.Errorf("%d syncs, unsynced %v after a sync", syncs, s.Unsynced())
	}
	must(s.Close())
	if _, l, err := Open(filesystem.OS{}, dir, nil); err != nil || l.State.Commit != 1 || len(l.Entries) != 1 {
		t.Errorf("read back %+v: %v", l, err)
	}
}

// A power loss may tear the record of a commit index, which is not synced, and leave the whole record
// after it. The replica must start again, with all entries that are there.
func TestTornCommitIndexIsNoDamage(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(filesystem.OS{}, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	join(t, s)
	must(s.Append(&raft.HardState{Term: 1}, []raft.Entry{entry(1)}))
	from := s.size
	must(s.AppendCommit(&raft.HardState{Term: 1, Commit: 1}))
	to := s.size
	must(s.Append(&raft.HardState{Term: 1, Commit: 1}, []raft.Entry{entry(2)}))
	name := onlySegment(t, dir)
	must(s.Close())
	data, err := os.ReadFile(name)
	must(err)
	for i := from + headerBytes; i < to; i++ {
		data[i] = 0
	}
	must(os.WriteFile(name, data, 0o600))
	for range 2 { // the second open reads what the first one has kept
		s, l, err := Open(filesystem.OS{}, dir, nil)
		if err != nil || len(l.Entries) != 2 {
			t.Fatalf("read back %+v: %v", l, err)
		}
		must(s.Close())
	}
	// A record that was synced before the next one was written is still missed.
	data[from-1] ^= 0x40
	must(os.Remove(onlySegment(t, dir)))
	must(os.WriteFile(name, data, 0o600))
	if _, _, err := Open(filesystem.OS{}, dir, nil); !errors.Is(err, ErrCorrupt) {
		t.Errorf("damage of a synced record: %v", err)
	}
}

func FuzzReplay(f *testing.F) {
	dir := f.TempDir()
	s, _, _ := Open(filesystem.OS{}, dir, nil)
	s.Append(&raft.HardState{Term: 1}, []raft.Entry{entry(1)})
	names, _ := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	data, _ := os.ReadFile(names[0])
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			r, n, err := decodeRecord(data)
			if err != nil {
				return
			}
			var l Loaded
			l.replay(r)
			data = data[n:]
		}
	})
}

// After a power loss, the end of the log may be an incomplete record, zeros or arbitrary
// bytes. That write was never acknowledged, and must be truncated.
func TestTornEndOfAnyKindIsTruncated(t *testing.T) {
	for name, rest := range map[string][]byte{"zeros": make([]byte, 40), "a huge length": {0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4, 5},
		"half a header": {0, 0, 0}, "a wrong checksum": {0, 0, 0, 2, 9, 9, 9, 9, 1, 2}, "a wrong checksum and zeros": append([]byte{0, 0, 0, 2, 9, 9, 9, 9, 1, 2}, make([]byte, 30)...)} {
		dir := t.TempDir()
		s, _, err := Open(filesystem.OS{}, dir, nil)
		if err != nil {
			t.Fatal(err)
		}
		join(t, s)
		if err := s.Append(&raft.HardState{Term: 3}, []raft.Entry{{Index: 1, Term: 3, Data: []byte("x")}}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		f, err := os.OpenFile(onlySegment(t, dir), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write(rest); err != nil {
			t.Fatal(err)
		}
		f.Close()
		for range 2 { // the second open reads the truncated log
			s, l, err := Open(filesystem.OS{}, dir, nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if l.State.Term != 3 || len(l.Entries) != 1 {
				t.Errorf("%s: loaded %+v", name, l)
			}
			s.Close()
		}
	}
}

// After a failed write or sync, the folder is opened again and its content is written anew, since
// it is unknown which part of it is on the disk.
func TestOpenWritesEverythingAnew(t *testing.T) {
	dir := createLog(t, 5)
	before := onlySegment(t, dir)
	s, l, err := Open(filesystem.OS{}, dir, nil)
	if err != nil || len(l.Entries) != 5 || l.State.Commit != 5 {
		t.Fatalf("loaded %+v, %v", l, err)
	}
	s.Close()
	if after := onlySegment(t, dir); after == before {
		t.Errorf("%s was not replaced", before)
	}
	_, again, err := Open(filesystem.OS{}, dir, nil)
	if err != nil || len(again.Entries) != 5 || again.State.Commit != 5 {
		t.Errorf("loaded %+v, %v", again, err)
	}
}
