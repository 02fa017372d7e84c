package replica

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"

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
	// last is the highest sequence number in the file.
	last uint64
}

func openAudit(fs filesystem.FS, path string) (*auditFile, error) {
	a := &auditFile{fs: fs, path: path}
	size, err := a.scan(func(e state.AuditEntry) { a.last = e.Sequence })
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	f, err := fs.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open audit file")
	}
	if err := f.Truncate(size); err != nil {
		return nil, eris.Wrap(err, "truncate incomplete audit line")
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return nil, eris.Wrap(err, "open audit file")
	}
	a.file = f
	return a, nil
}

// scan calls f with each entry up to the first incomplete or invalid line, and returns
// the length of the file up to there.
func (a *auditFile) scan(f func(state.AuditEntry)) (int64, error) {
	file, err := a.fs.OpenRead(a.path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	size := int64(0)
	in := bufio.NewReader(file)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return size, nil
		}
		var e state.AuditEntry
		if json.Unmarshal(line, &e) != nil {
			return size, nil
		}
		f(e)
		size += int64(len(line))
	}
}

func (a *auditFile) append(entries []state.AuditEntry) {
	for _, e := range entries {
		line, err := json.Marshal(&e)
		if err != nil {
			panic(err) // plain data; encoding to memory can't fail
		}
		if _, err := a.file.Write(append(line, '\n')); err != nil {
			log.WithError(err).WithField("step", "write audit file").Error("audit entry not written")
			return
		}
		a.last = e.Sequence
	}
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
	_, err := a.scan(func(e state.AuditEntry) {
		if e.Sequence > after && len(out) < auditPage {
			out = append(out, e)
		}
	})
	if err != nil || len(out) == 0 {
		return tail[:min(len(tail), auditPage)]
	}
	return out
}
