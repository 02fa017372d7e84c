package storage

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

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
	if err := s.readRecord(snapshotFile, &l.Snapshot); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	if err := s.loadSegments(names, l); err != nil {
		return nil, err
	}
	return l, l.applySnapshot()
}

// readRecord decodes a file that has one record; the error is os.ErrNotExist if there is no file.
func (s *Store) readRecord(name string, v any) error {
	data, err := filesystem.ReadFile(s.fs, filepath.Join(s.dir, name))
	if err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	body, n, err := parseRecord(data)
	if err != nil || n != len(data) {
		return eris.Wrapf(ErrCorrupt, "%s file", name)
	}
	if err := wire.Decode(body, v); err != nil {
		return eris.Wrapf(ErrCorrupt, "decode %s: %v", name, err)
	}
	return nil
}

// segment is the content of a log segment. torn is the length of what follows the last valid record,
// which was never synced.
type segment struct {
	name    string
	records []record
	torn    int
}

// hasState reports whether a record has the consensus state.
func (g *segment) hasState() bool {
	return slices.ContainsFunc(g.records, func(r record) bool { return r.State != nil })
}

// loadSegments reads the newest segment that begins with a checkpoint, and those after it. Earlier
// versions wrote segments without one, of which all are needed.
func (s *Store) loadSegments(names []string, l *Loaded) error {
	var segments []segment // newest first
	for _, name := range slices.Backward(names) {
		data, err := filesystem.ReadFile(s.fs, filepath.Join(s.dir, name))
		if err != nil {
			return eris.Wrap(err, "read log segment")
		}
		g := segment{name: name}
		if g.records, g.torn, err = parseSegment(data); err != nil {
			return eris.Wrapf(err, "%s, with %d later segments", name, len(segments))
		}
		segments = append(segments, g)
		if len(g.records) > 0 && g.records[0].Checkpoint {
			break
		}
	}
	l.Segments = len(segments)
	stateMissing := "the log"
	for i, g := range slices.Backward(segments) {
		for _, r := range g.records {
			l.replay(r)
		}
		if g.hasState() {
			stateMissing = ""
		}
		if g.torn > 0 && i > 0 {
			stateMissing = g.name
		}
		l.TornBytes += g.torn
	}
	if stateMissing != "" {
		return eris.Wrapf(ErrCorrupt, "%s lacks records and no later one has the state", stateMissing)
	}
	return nil
}

// parseSegment returns the records of a segment. What follows the last valid one was never synced and
// is ignored; torn is its length.
func parseSegment(data []byte) (records []record, torn int, err error) {
	for off := 0; off < len(data); {
		r, n, err := decodeRecord(data[off:])
		if err == nil {
			records = append(records, r)
			off += n
			continue
		}
		next, follows := nextRecord(data[off:], n)
		switch {
		case errors.Is(err, errUnknownRecord), follows && !next.FollowsUnsynced:
			return nil, 0, eris.Wrapf(ErrCorrupt, "byte %d of %d, which was synced: %v", off, len(data), err)
		case !follows:
			return records, len(data) - off, nil
		}
		off += next.offset // a lost commit index; a leader sends it again
	}
	return records, 0, nil
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
