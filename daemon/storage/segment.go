package storage

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
)

// Names of the log segments, which are numbered, and of files that are not complete yet.
const (
	segmentPrefix   = "wal-"
	segmentSuffix   = ".log"
	temporarySuffix = ".tmp"
)

// startSegment starts a segment whose first record, a checkpoint, has the state and the entries
// after the snapshot at an index. The segment gets its name once the checkpoint is synced; from then on the
// older segments are not needed.
func (s *Store) startSegment(snapshot uint64, state raft.HardState, entries []raft.Entry) error {
	data, err := msgpack.Marshal(&record{Checkpoint: true, Snapshot: snapshot, State: &state, Entries: entries})
	if err != nil {
		return eris.Wrap(err, "encode checkpoint")
	}
	framed := encodeRecord(data)
	number := s.number + 1
	f, err := s.createFile(segmentPrefix+leftPad(number)+segmentSuffix, framed)
	if err != nil {
		s.failed = true
		return eris.Wrap(err, "create log segment")
	}
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			log.WithError(err).WithField("step", "close log segment").Warn("it is not needed any longer")
		}
	}
	s.segment, s.number, s.size, s.unsynced = f, number, int64(len(framed)), false
	s.removeLeftovers()
	return nil
}

// removeLeftovers removes the older segments and incomplete files. They are ignored as long as
// they are there, so a failure only costs space until the next segment.
func (s *Store) removeLeftovers() {
	names, err := s.fs.List(s.dir)
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) || isSegment(name) && segmentNumber(name) < s.number {
			err = errors.Join(err, s.fs.Remove(filepath.Join(s.dir, name)))
		}
	}
	if err != nil {
		log.WithError(err).WithField("step", "remove old log segments").Warn("files are left; the next segment removes them")
	}
}

// replaceFile replaces a file atomically: after a crash it has either the old or the new
// content.
func (s *Store) replaceFile(name string, data []byte) error {
	f, err := s.createFile(name, data)
	if err != nil {
		s.failed = true
		return err
	}
	return f.Close()
}

// createFile replaces a file atomically and leaves the new one open for further writes.
func (s *Store) createFile(name string, data []byte) (filesystem.File, error) {
	path := filepath.Join(s.dir, name)
	temporary := path + temporarySuffix
	_ = s.fs.Remove(temporary) // most often there is none; if it stays, Create fails
	f, err := s.fs.Create(temporary)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(temporary, path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// segments lists the names of the log segments, oldest first.
func (s *Store) segments() ([]string, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, eris.Wrap(err, "list log segments")
	}
	var segments []string
	for _, name := range names {
		if isSegment(name) {
			segments = append(segments, name)
		}
	}
	return segments, nil
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// segmentNumber returns the number in a segment's name, 0 if there is none.
func segmentNumber(name string) uint64 {
	n, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix), 10, 64)
	if err != nil {
		return 0 // not written by a store
	}
	return n
}

// leftPad pads a number so that names sort by it.
func leftPad(n uint64) string {
	d := strconv.FormatUint(n, 10)
	return strings.Repeat("0", 20-len(d)) + d
}
