package storage

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/filesystem"
)

const snapshotFile = "snapshot"

// Loaded is the content of a folder when it was opened.
type Loaded struct {
	State    raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// TornBytes is the length of what was ignored at the ends of segments, since it was never
	// synced.
	TornBytes int
	// Segments is the number of log segments that were read.
	Segments int
	// neededSnapshot is the index of the snapshot that the last checkpoint follows.
	neededSnapshot uint64
}

// load reads the snapshot and the log. A folder that belongs to no group has nothing that counts:
// joining a group writes everything anew.
func (s *Store) load() (*Loaded, error) {
	names, err := s.segments()
	if err != nil {
		return nil, err
	}
	if len(names) > 0 {
		s.number = segmentNumber(names[len(names)-1])
	}
	l := &Loaded{}
	if s.identity.Group == 0 {
		return l, nil
	}
	if err := s.loadSnapshot(l); err != nil {
		return nil, err
	}
	if err := s.loadSegments(names, l); err != nil {
		return nil, err
	}
	return l, l.applySnapshot()
}

func (s *Store) loadSnapshot(l *Loaded) error {
	data, err := filesystem.ReadFile(s.fs, filepath.Join(s.dir, snapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	body, n, err := parseRecord(data)
	if err != nil || n != len(data) {
		return eris.Wrap(ErrCorrupt, "snapshot file")
	}
	if err := wire.Decode(body, &l.Snapshot); err != nil {
		return eris.Wrapf(ErrCorrupt, "decode snapshot: %v", err)
	}
	return nil
}

// loadSegments reads the newest segment that begins with a checkpoint, and those after it. Earlier
// versions wrote segments without one, of which all are needed.
func (s *Store) loadSegments(names []string, l *Loaded) error {
	var contents [][]byte
	for i := len(names) - 1; i >= 0; i-- {
		data, err := filesystem.ReadFile(s.fs, filepath.Join(s.dir, names[i]))
		if err != nil {
			return eris.Wrap(err, "read log segment")
		}
		contents = append([][]byte{data}, contents...)
		if startsWithCheckpoint(data) {
			break
		}
	}
	read := names[len(names)-len(contents):]
	l.Segments = len(read)
	stateMissing := "the log"
	for i, data := range contents {
		torn, hasState, err := l.replaySegment(data)
		if err != nil {
			return eris.Wrapf(err, "%s, segment %d of %d", read[i], i+1, len(read))
		}
		if hasState {
			stateMissing = ""
		}
		if torn > 0 && i < len(contents)-1 {
			stateMissing = read[i]
		}
		l.TornBytes += torn
	}
	if stateMissing != "" {
		return eris.Wrapf(ErrCorrupt, "%s lacks records and no later one has the state", stateMissing)
	}
	return nil
}

func startsWithCheckpoint(data []byte) bool {
	body, _, err := parseRecord(data)
	if err != nil {
		return false
	}
	var r record
	return wire.Decode(body, &r) == nil && r.Checkpoint
}

// replaySegment applies the records of a segment. What follows the last valid record was never
// synced and is ignored; torn is its length. hasState reports whether a record had the state.
func (l *Loaded) replaySegment(data []byte) (torn int, hasState bool, err error) {
	for off := 0; off < len(data); {
		r, n, err := decodeRecord(data[off:])
		if err == nil {
			hasState = hasState || r.State != nil
			l.replay(r)
			off += n
			continue
		}
		next, follows := nextRecord(data[off:], n)
		switch {
		case errors.Is(err, errUnknownRecord), follows && !next.FollowsUnsynced:
			return 0, hasState, eris.Wrapf(ErrCorrupt, "byte %d of %d, which was synced: %v", off, len(data), err)
		case !follows:
			return len(data) - off, hasState, nil
		}
		off += next.offset // a lost commit index; a leader sends it again
	}
	return 0, hasState, nil
}

// replay applies a record. An entry replaces all entries from its index on. Entries that neither
// follow nor overlap those before begin the log anew; applySnapshot checks what is then missing.
func (l *Loaded) replay(r record) {
	if r.State != nil {
		l.State = *r.State
	}
	if r.Checkpoint {
		l.Entries, l.neededSnapshot = nil, r.Snapshot
	}
	for _, e := range r.Entries {
		if len(l.Entries) == 0 || e.Index < l.Entries[0].Index || e.Index > l.Entries[len(l.Entries)-1].Index+1 {
			l.Entries = []raft.Entry{e}
			continue
		}
		l.Entries = append(l.Entries[:e.Index-l.Entries[0].Index], e)
	}
}

// applySnapshot drops the entries that the snapshot covers. A snapshot from a leader replaces a log
// that has another entry, or none, at its index.
func (l *Loaded) applySnapshot() error {
	meta := l.Snapshot.Meta
	if meta.Index < l.neededSnapshot {
		return eris.Wrapf(ErrCorrupt, "the snapshot at %d is missing, there is one at %d", l.neededSnapshot, meta.Index)
	}
	if l.State.Term < meta.Term {
		l.State.Term, l.State.Vote = meta.Term, raft.None
	}
	l.State.Commit = max(l.State.Commit, meta.Index)
	if len(l.Entries) == 0 {
		return nil
	}
	first, last := l.Entries[0].Index, l.Entries[len(l.Entries)-1].Index
	switch {
	case first > meta.Index+1:
		return eris.Wrapf(ErrCorrupt, "entries %d to %d are missing", meta.Index+1, first-1)
	case first == meta.Index+1:
	case last < meta.Index || l.Entries[meta.Index-first].Term != meta.Term:
		l.Entries = nil
	default:
		l.Entries = l.Entries[meta.Index-first+1:]
	}
	return nil
}
