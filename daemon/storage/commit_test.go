package storage

import (
	"testing"

	"cardamomwick.example/core/raft"
)

// countingFile counts the syncs of the log.
type countingFile struct {
	File
	syncs *int
}

func (f countingFile) Sync() error {
	*f.syncs++
	return f.File.Sync()
}

// Guards against proposals that expire while disks are slow: each commit waited for a sync of the
// commit index, in addition to that of the entry.
func TestCommitIndexAloneIsNotSynced(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	syncs := 0
	s.segment = countingFile{s.segment, &syncs}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.Append(&raft.HardState{Term: 1, Commit: 0}, []raft.Entry{{Index: 1, Term: 1, Type: raft.EntryEmpty}}))
	must(s.AppendCommit(&raft.HardState{Term: 1, Commit: 1}))
	if syncs != 1 || !s.Unsynced() {
		t.Errorf("%d syncs, unsynced %v", syncs, s.Unsynced())
	}
	must(s.Sync())
	if syncs != 2 || s.Unsynced() {
		t.Errorf("%d syncs, unsynced %v after a sync", syncs, s.Unsynced())
	}
	must(s.Close())
	if _, l, err := Open(dir); err != nil || l.State.Commit != 1 || len(l.Entries) != 1 {
		t.Errorf("read back %+v: %v", l, err)
	}
}
