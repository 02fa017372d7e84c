package storage

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem/model"
)

// Guards against an upgrade that refuses, or misreads, the folder of an earlier version: one segment
// for each start, none of which begins with a checkpoint.
func TestFolderOfAnEarlierVersionIsRead(t *testing.T) {
	state := &raft.HardState{Term: 3, Vote: 5, Commit: 4}
	one := func(r record) []byte {
		data, err := msgpack.Marshal(&r)
		if err != nil {
			t.Fatal(err)
		}
		return encodeRecord(data)
	}
	first := one(record{State: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(3), entry(4)}})
	second := one(record{State: state, Entries: []raft.Entry{entry(5)}})
	withoutState := one(record{Entries: []raft.Entry{entry(5)}})
	afterGap := one(record{State: state, Entries: []raft.Entry{entry(6)}})
	torn := first[:len(first)-3]
	for name, c := range map[string]struct {
		segments [][]byte
		// entries is the number that is read, -1 if the folder is refused.
		entries int
	}{
		"two segments":                               {[][]byte{first, second}, 3},
		"a new segment without records":              {[][]byte{first, second, nil}, 3},
		"a torn end of the last segment":             {[][]byte{first, second, torn}, 3},
		"a torn end before a segment with the state": {[][]byte{append(append([]byte(nil), first...), torn...), second}, 3},
		"a torn end before one without the state":    {[][]byte{append(append([]byte(nil), first...), torn...), withoutState}, -1},
		"a lost entry":                               {[][]byte{first, afterGap}, -1},
		"a removed segment that came back":           {[][]byte{one(record{State: state, Entries: []raft.Entry{entry(9)}}), first, second}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			disk := model.NewDisk(rand.New(rand.NewPCG(1, 1)))
			id, err := msgpack.Marshal(&Identity{ID: 5, Group: 7})
			if err != nil {
				t.Fatal(err)
			}
			snap, err := msgpack.Marshal(&raft.Snapshot{Meta: raft.SnapshotMeta{Index: 2, Term: 1}})
			if err != nil {
				t.Fatal(err)
			}
			writeTo(t, disk, "d/"+identityFile, encodeRecord(id))
			writeTo(t, disk, "d/"+snapshotFile, encodeRecord(snap))
			for i, data := range c.segments {
				writeTo(t, disk, "d/"+segmentPrefix+leftPad(uint64(i+1))+segmentSuffix, data)
			}
			_, l, err := Open(disk, "d", nil)
			if c.entries < 0 {
				if !errors.Is(err, ErrCorrupt) {
					t.Errorf("not refused: %v, %+v", err, l)
				}
				return
			}
			if err != nil || len(l.Entries) != c.entries || l.State != *state {
				t.Errorf("read %+v: %v", l, err)
			}
			if _, again, err := Open(disk, "d", nil); err != nil || len(again.Entries) != c.entries || again.State != *state {
				t.Errorf("read %+v after the first start: %v", again, err)
			}
		})
	}
}
