package replica

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/filesystem"
)

const auditName = "audit.jsonl"

// auditFile is an append-only file of all audit entries that this replica has
// applied, one JSON object per line. Entries that are not synced yet can be
// recovered from the consensus log.
type auditFile struct {
	fs   filesystem.FS
	path string
	file filesystem.File
	// size is the length of the lines that count, last the sequence number of the last one.
	size int64
	last uint64
	// misplaced is set after a failed write, which may have left a part of a line.
	misplaced bool
}

// openAudit opens the file, which it creates if necessary, and keeps the entries up to a sequence
// number, that of the snapshot: only these were synced for certain, and the log has the others.
func openAudit(fs filesystem.FS, path string, upTo uint64) (*auditFile, error) {
	a := &auditFile{fs: fs, path: path}
	size, err := a.scan(func(e state.AuditEntry) bool {
		if e.Sequence > upTo {
			return false
		}
		a.last = e.Sequence
		return true
	})
	missing := errors.Is(err, os.ErrNotExist)
	if err != nil && !missing {
		return nil, eris.Wrap(err, "read audit file")
	}
	a.size = size
	if a.file, err = fs.Open(path); err != nil {
		return nil, eris.Wrap(err, "open audit file")
	}
	if err := a.dropRest(); err != nil {
		return nil, errors.Join(err, a.file.Close())
	}
	if missing {
		if err := fs.SyncDir(filepath.Dir(path)); err != nil {
			return nil, errors.Join(eris.Wrap(err, "create audit file"), a.file.Close())
		}
	}
	return a, nil
}

// dropRest removes what follows the lines that count, and moves to their end.
func (a *auditFile) dropRest() error {
	end, err := a.file.Seek(0, io.SeekEnd)
	if err == nil && end > a.size {
		err = a.file.Truncate(a.size)
	}
	if err == nil {
		_, err = a.file.Seek(a.size, io.SeekStart)
	}
	return eris.Wrap(err, "truncate audit file")
}

// scan calls f with each entry up to the first incomplete or invalid line, or until f returns
// false, and returns the length of the file up to there.
func (a *auditFile) scan(f func(state.AuditEntry) bool) (int64, error) {
	file, err := a.fs.OpenRead(a.path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	size := int64(0)
	in := bufio.NewReader(file)
	for {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, err
		}
		var e state.AuditEntry
		if json.Unmarshal(line, &e) != nil || !f(e) {
			return size, nil
		}
		size += int64(len(line))
	}
}

// append writes entries. What can't be written is written with the next entries.
func (a *auditFile) append(entries []state.AuditEntry) {
	for _, e := range entries {
		line, err := json.Marshal(&e)
		if err != nil {
			panic(err) // plain data; encoding to memory can't fail
		}
		if err := a.write(append(line, '\n')); err != nil {
			log.WithError(err).WithField("step", "write audit file").Error("audit entry not written")
			return
		}
		a.last = e.Sequence
	}
}

func (a *auditFile) write(line []byte) error {
	if a.misplaced {
		if err := a.dropRest(); err != nil {
			return err
		}
	}
	a.misplaced = true
	if _, err := a.file.Write(line); err != nil {
		return err
	}
	a.misplaced = false
	a.size += int64(len(line))
	return nil
}

func (a *auditFile) sync() error { return eris.Wrap(a.file.Sync(), "sync audit file") }

func (a *auditFile) close() {
	if err := errors.Join(a.sync(), a.file.Close()); err != nil {
		log.WithError(err).WithField("step", "close audit file").Error("audit file may lack entries")
	}
}

// auditPage is the maximum number of entries in a reply.
const auditPage = 1000

// since returns a page of the entries after a sequence number, from the file if the
// state machine no longer holds them.
func (a *auditFile) since(after uint64, m *state.Machine) []state.AuditEntry {
	tail := m.Audit(after)
	if len(tail) == 0 || tail[0].Sequence == after+1 {
		return tail[:min(len(tail), auditPage)]
	}
	var out []state.AuditEntry
	_, err := a.scan(func(e state.AuditEntry) bool {
		if e.Sequence > after {
			out = append(out, e)
		}
		return len(out) < auditPage
	})
	if err != nil || len(out) == 0 {
		return tail[:min(len(tail), auditPage)]
	}
	return out
}
