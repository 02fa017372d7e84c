// Package storage persists a replica's state in its data folder: an identity, created once
// with the folder, a segmented write-ahead log of the consensus state, and the latest
// snapshot. A record is durable only once it is synced. After a failed write or sync the
// store is unusable, since the content of the disk is then unknown.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/filesystem"
)

// Errors of the store.
var (
	// ErrCorrupt means that a record before the end of the log is damaged. The replica must
	// not start, since it may have lost a vote or an acknowledged entry. To recover, move the
	// data folder away; the replica then joins as a new member.
	ErrCorrupt = eris.New("write-ahead log is damaged before its end")
	// ErrFailed means that an earlier write or sync failed.
	ErrFailed = eris.New("storage has failed before; restart the replica")
)

// File names and limits.
const (
	identityFile   = "identity"
	snapshotFile   = "snapshot"
	segmentPrefix  = "wal-"
	segmentSuffix  = ".log"
	headerBytes    = 8
	maxRecordBytes = 64 << 20
	// SegmentBytes is the segment size above which the replica saves a snapshot, which
	// starts a new segment.
	SegmentBytes = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Identity identifies a replica and the group that it belongs to.
type Identity struct {
	// ID is a random number from the creation of the folder. A replica that restarts with
	// an empty disk has another one, and does not count as the former member.
	ID uint64 `msgpack:"i"`
	// Group is 0 until the replica has joined a group.
	Group uint64 `msgpack:"g"`
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       filesystem.FS
	dir      string
	identity Identity
	segment  filesystem.File
	number   uint64
	size     int64
	failed   bool
	// unsynced is set while an appended commit index is not synced.
	unsynced bool
}

// Loaded is the content of a folder when it was opened.
type Loaded struct {
	State    raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// TornBytes is the length of an incomplete record, never synced, that was truncated from
	// the end of the log.
	TornBytes int64
	// Segments is the number of log segments that were read.
	Segments int
}

// Open opens a data folder, which it creates if necessary.
func Open(fs filesystem.FS, dir string) (*Store, *Loaded, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, eris.Wrap(err, "create data folder")
	}
	s := &Store{fs: fs, dir: dir}
	if err := s.loadIdentity(); err != nil {
		return nil, nil, err
	}
	l, err := s.load()
	if err != nil {
		return nil, nil, err
	}
	return s, l, s.startSegment()
}

// Identity returns the replica's identity.
func (s *Store) Identity() Identity { return s.identity }

func (s *Store) loadIdentity() error {
	data, err := filesystem.ReadFile(s.fs, filepath.Join(s.dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return s.createIdentity()
	}
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	body, n, err := parseRecord(data)
	if err != nil || n != len(data) {
		return eris.Wrap(ErrCorrupt, "identity file")
	}
	return eris.Wrap(wire.Decode(body, &s.identity), "decode identity")
}

// createIdentity writes a new identity. It refuses a folder that has a log, whose identity
// file must have been lost.
func (s *Store) createIdentity() error {
	if segments, _ := s.segments(); len(segments) > 0 {
		return eris.Wrap(ErrCorrupt, "identity file is missing")
	}
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return eris.Wrap(err, "generate identity")
	}
	return s.writeIdentity(Identity{ID: binary.BigEndian.Uint64(raw[:]) | 1})
}

func (s *Store) writeIdentity(id Identity) error {
	data, err := msgpack.Marshal(&id)
	if err != nil {
		return err
	}
	if err := s.writeFile(identityFile, encodeRecord(data)); err != nil {
		return eris.Wrap(err, "write identity")
	}
	s.identity = id
	return nil
}

// Join saves the first snapshot from a group and makes the replica a part of it.
func (s *Store) Join(group uint64, first raft.Snapshot) error {
	if err := s.SaveSnapshot(first, raft.HardState{Term: first.Meta.Term, Commit: first.Meta.Index}, nil); err != nil {
		return err
	}
	return s.writeIdentity(Identity{ID: s.identity.ID, Group: group})
}

// writeFile replaces a file atomically: after a crash it has either the old or the new
// content.
func (s *Store) writeFile(name string, data []byte) error {
	tmp := filepath.Join(s.dir, name+".tmp")
	s.fs.Remove(tmp)
	f, err := s.fs.Create(tmp)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := s.fs.Rename(tmp, filepath.Join(s.dir, name)); err != nil {
		return err
	}
	return s.syncDir()
}

func (s *Store) syncDir() error { return s.fs.SyncDir(s.dir) }

// segments lists the paths of the log segments, oldest first.
func (s *Store) segments() ([]string, error) {
	names, err := s.fs.List(s.dir)
	var paths []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix) {
			paths = append(paths, filepath.Join(s.dir, name))
		}
	}
	return paths, err
}

func segmentNumber(path string) uint64 {
	name := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), segmentPrefix), segmentSuffix)
	n, _ := strconv.ParseUint(name, 10, 64)
	return n
}

func (s *Store) load() (*Loaded, error) {
	l := &Loaded{}
	if err := s.loadSnapshot(l); err != nil {
		return nil, err
	}
	names, err := s.segments()
	if err != nil {
		return nil, eris.Wrap(err, "list log segments")
	}
	l.Segments = len(names)
	for i, name := range names {
		s.number = segmentNumber(name)
		later := len(names) - 1 - i
		if err := s.loadSegment(name, later == 0, l); err != nil {
			return nil, eris.Wrapf(err, "segment with %d later ones", later)
		}
	}
	return l, nil
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
		return eris.Wrap(err, "decode snapshot")
	}
	l.State = raft.HardState{Term: l.Snapshot.Meta.Term, Commit: l.Snapshot.Meta.Index}
	return nil
}

// loadSegment replays a segment. Only the last record of the last segment may be torn: it
// was never synced and therefore never acknowledged.
func (s *Store) loadSegment(name string, last bool, l *Loaded) error {
	data, err := filesystem.ReadFile(s.fs, name)
	if err != nil {
		return eris.Wrap(err, "read log segment")
	}
	for off := 0; off < len(data); {
		body, n, err := parseRecord(data[off:])
		if err == nil {
			err = l.replay(body)
		}
		if err == nil {
			off += n
			continue
		}
		next, follows := recordAfter(data[off:], n)
		if follows && next.FollowsUnsynced {
			off += n // a lost commit index; a leader sends it again
			continue
		}
		if !last || follows {
			return eris.Wrapf(ErrCorrupt, "%s at byte %d of %d, %v", filepath.Base(name), off, len(data), err)
		}
		l.TornBytes = int64(len(data) - off)
		return s.truncate(name, int64(off))
	}
	return nil
}

// truncate removes a torn record from the end of a segment.
func (s *Store) truncate(name string, size int64) error {
	f, err := s.fs.Open(name)
	if err != nil {
		return eris.Wrap(err, "truncate torn record")
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return eris.Wrap(err, "truncate torn record")
	}
	return eris.Wrap(f.Sync(), "truncate torn record")
}

// replay applies a record of the log. An entry replaces all entries from its index on.
func (l *Loaded) replay(body []byte) error {
	var r record
	if err := wire.Decode(body, &r); err != nil {
		return eris.Wrap(ErrCorrupt, err.Error())
	}
	if r.State != nil {
		l.State = *r.State
	}
	for _, e := range r.Entries {
		if e.Index <= l.Snapshot.Meta.Index {
			continue
		}
		keep := e.Index - l.Snapshot.Meta.Index - 1
		if keep > uint64(len(l.Entries)) {
			return eris.Wrapf(ErrCorrupt, "entry %d follows %d entries", e.Index, len(l.Entries))
		}
		l.Entries = append(l.Entries[:keep], e)
	}
	return nil
}

func (s *Store) startSegment() error {
	if s.segment != nil && s.unsynced && !s.failed {
		if err := s.Sync(); err != nil { // only the last segment may end in a torn record
			return err
		}
	}
	s.number++
	path := filepath.Join(s.dir, segmentPrefix+leftPad(s.number)+segmentSuffix)
	f, err := s.fs.Create(path)
	if err != nil {
		return eris.Wrap(err, "create log segment")
	}
	if s.segment != nil {
		s.segment.Close()
	}
	s.segment = f
	s.size = 0
	return eris.Wrap(s.syncDir(), "create log segment")
}

func leftPad(n uint64) string {
	d := strconv.FormatUint(n, 10)
	return strings.Repeat("0", 20-len(d)) + d
}

// Append persists consensus state and entries. They are synced when it returns without an
// error.
func (s *Store) Append(state *raft.HardState, entries []raft.Entry) error {
	if err := s.write(state, entries); err != nil {
		return err
	}
	return s.Sync()
}

// AppendCommit appends consensus state of which only the commit index is new. It is not synced:
// a power loss may lose it until the next Sync or Append. A replica that restarts without it has
// an older commit index until a leader sends the current one.
func (s *Store) AppendCommit(state *raft.HardState) error {
	if err := s.write(state, nil); err != nil {
		return err
	}
	s.unsynced = true
	return nil
}

// Unsynced reports whether an appended commit index is not synced.
func (s *Store) Unsynced() bool { return s.unsynced }

// Sync syncs everything appended.
func (s *Store) Sync() error {
	if s.failed {
		return ErrFailed
	}
	if err := s.segment.Sync(); err != nil {
		s.failed = true
		return eris.Wrap(err, "sync log record")
	}
	s.unsynced = false
	return nil
}

// write appends a record without syncing it.
func (s *Store) write(state *raft.HardState, entries []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	data, err := msgpack.Marshal(&record{State: state, Entries: entries, FollowsUnsynced: s.unsynced})
	if err != nil {
		return eris.Wrap(err, "encode log record")
	}
	framed := encodeRecord(data)
	if _, err := s.segment.Write(framed); err != nil {
		s.failed = true
		return eris.Wrap(err, "write log record")
	}
	s.size += int64(len(framed))
	return nil
}

// SaveSnapshot replaces the snapshot, starts a new segment with the state and the entries
// after the snapshot, and removes the older segments.
func (s *Store) SaveSnapshot(snap raft.Snapshot, state raft.HardState, after []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	data, err := msgpack.Marshal(&snap)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	old, err := s.segments()
	if err != nil {
		return eris.Wrap(err, "list log segments")
	}
	if err := s.writeFile(snapshotFile, encodeRecord(data)); err != nil {
		s.failed = true
		return eris.Wrap(err, "write snapshot")
	}
	if err := s.startSegment(); err != nil {
		s.failed = true
		return err
	}
	if err := s.Append(&state, after); err != nil {
		return err
	}
	for _, name := range old {
		s.fs.Remove(name)
	}
	return eris.Wrap(s.syncDir(), "remove old segments")
}

// Rewrite writes the loaded state and entries to a new synced segment. After a failed write
// or sync, data that was read back may come from the page cache and not be on the disk;
// Rewrite makes it durable.
func (s *Store) Rewrite(l *Loaded) error {
	old, err := s.segments()
	if err != nil {
		return eris.Wrap(err, "list log segments")
	}
	if err := s.startSegment(); err != nil {
		return err
	}
	if err := s.Append(&l.State, l.Entries); err != nil {
		return err
	}
	for _, name := range old {
		s.fs.Remove(name)
	}
	return eris.Wrap(s.syncDir(), "remove old segments")
}

// Size returns the number of bytes in the current segment.
func (s *Store) Size() int64 { return s.size }

// Close closes the current segment.
func (s *Store) Close() error { return s.segment.Close() }
