// Package storage persists a replica's state in its data folder: an identity, created once
// with the folder, a write-ahead log of the consensus state, and the latest snapshot. A record
// is durable only once it is synced. After a failed write or sync the store is unusable, since
// the content of the disk is then unknown.
package storage

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
)

// Errors of the store.
var (
	// ErrCorrupt means that something that was synced is damaged or missing. The replica must
	// not start, since it may have lost a vote or an acknowledged entry. To recover, move the
	// data folder away; the replica then joins as a new member.
	ErrCorrupt = eris.New("data folder is damaged")
	// ErrFailed means that an earlier write or sync failed.
	ErrFailed = eris.New("storage has failed before; open it again")
)

// SegmentBytes is the segment size above which the replica saves a snapshot, which starts a new
// segment.
const SegmentBytes = 4 << 20

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       filesystem.FS
	dir      string
	newID    func() (uint64, error)
	identity Identity
	segment  filesystem.File
	number   uint64
	size     int64
	failed   bool
	// unsynced is set while an appended commit index is not synced.
	unsynced bool
}

// Open opens a data folder, which it creates if necessary. What it returns is durable: it is
// written to a new segment, since a former process may have ended between a write and its sync,
// and a sync after a failed one proves nothing. newID returns the ID of a new folder; nil means a
// random one.
func Open(fs filesystem.FS, dir string, newID func() (uint64, error)) (*Store, *Loaded, error) {
	if newID == nil {
		newID = randomID
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, eris.Wrap(err, "create data folder")
	}
	s := &Store{fs: fs, dir: dir, newID: newID}
	// A former process may have renamed a file and ended before it synced the folder. The names
	// that are read must not be lost once the new segment's name is kept.
	if err := fs.SyncDir(dir); err != nil {
		return nil, nil, eris.Wrap(err, "sync data folder")
	}
	if err := s.loadIdentity(); err != nil {
		return nil, nil, err
	}
	l, err := s.load()
	if err != nil {
		return nil, nil, err
	}
	if err := s.startSegment(l.Snapshot.Meta.Index, l.State, l.Entries); err != nil {
		return nil, nil, err
	}
	return s, l, nil
}

// Join saves the first snapshot from a group and makes the replica a part of it.
func (s *Store) Join(group uint64, first raft.Snapshot) error {
	if err := s.SaveSnapshot(first, raft.HardState{Term: first.Meta.Term, Commit: first.Meta.Index}, nil); err != nil {
		return err
	}
	return s.writeIdentity(Identity{ID: s.identity.ID, Group: group})
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

// SaveSnapshot replaces the snapshot and starts a new segment with the state and the entries
// after the snapshot.
func (s *Store) SaveSnapshot(snap raft.Snapshot, state raft.HardState, after []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	data, err := msgpack.Marshal(&snap)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := s.replaceFile(snapshotFile, encodeRecord(data)); err != nil {
		return eris.Wrap(err, "write snapshot")
	}
	return s.startSegment(snap.Meta.Index, state, after)
}

// Size returns the number of bytes in the current segment.
func (s *Store) Size() int64 { return s.size }

// Close syncs and closes the current segment.
func (s *Store) Close() error {
	if !s.failed && s.unsynced {
		if err := s.Sync(); err != nil {
			return err
		}
	}
	return eris.Wrap(s.segment.Close(), "close log segment")
}
