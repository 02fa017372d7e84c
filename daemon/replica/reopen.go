package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/storage"
)

const (
	// reopenPause is the pause before a failed data folder is opened again.
	reopenPause = 500 * time.Millisecond
	// damagedPause is the same for a damaged one, between two questions to the group.
	damagedPause = 5 * time.Second
	// openTimeout is how long a start waits for the data folder. The disk may hang.
	openTimeout = time.Second
)

// errUnavailable is the reply to other instances while the data folder is not available.
var errUnavailable = eris.New("the data folder of this replica is not available")

// ErrUnusableFolder means that the settings name a data folder that can't exist or be used. A start
// can't succeed before they change.
var ErrUnusableFolder = eris.New("the data folder can't be used")

// isUnusable reports whether an error of the data folder can't go away without other settings.
func isUnusable(err error) bool {
	return errors.Is(err, os.ErrPermission) || errors.Is(err, syscall.ENOTDIR)
}

// Available reports whether the data folder is open. Safe for concurrent use.
func (r *Replica) Available() bool { return r.available.Load() }

// openFolder opens the data folder and restores the replica from it.
func (r *Replica) openFolder() error {
	store, loaded, err := storage.Open(r.opt.FS, r.opt.Folder, r.opt.NewID)
	if err != nil {
		return err
	}
	r.store = store
	r.machine = state.New()
	r.leading, r.incomingSnapshots = false, map[uint64][]byte{}
	if err := r.restore(loaded); err != nil {
		r.closeFolder()
		return err
	}
	log.WithFields(log.Fields{"step": "open storage", "replica": store.Identity().ID, "group": store.Identity().Group, "term": loaded.State.Term,
		"snapshot": loaded.Snapshot.Meta.Index, "entries": len(loaded.Entries), "commit": loaded.State.Commit, "segments": loaded.Segments,
		"torn_bytes": loaded.TornBytes}).Info("opened the data folder")
	r.available.Store(true)
	return nil
}

// restore sets the state machine, the audit file and the node to what was loaded.
func (r *Replica) restore(l *storage.Loaded) error {
	if len(l.Snapshot.Data) > 0 {
		if err := r.machine.Restore(l.Snapshot.Data); err != nil {
			return eris.Wrapf(storage.ErrCorrupt, "restore snapshot: %v", err)
		}
	}
	var err error
	if r.audit, err = openAudit(r.opt.FS, filepath.Join(r.opt.Folder, auditName), r.machine.AuditSequence()); err != nil {
		return err
	}
	r.startNode(l.State, l.Snapshot.Meta, l.Entries)
	return nil
}

// startNode begins the consensus state of this replica, at a snapshot that the state machine has.
func (r *Replica) startNode(s raft.HardState, snapshot raft.SnapshotMeta, entries []raft.Entry) {
	r.applied, r.snapshotAt = snapshot.Index, snapshot.Index
	r.node = raft.New(raft.Config{ID: r.store.Identity().ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Rand: r.rand, State: s, Snapshot: snapshot, Entries: entries})
}

// closeFolder closes the files of the data folder. What was acknowledged is synced already.
func (r *Replica) closeFolder() {
	r.available.Store(false)
	if r.audit != nil {
		r.audit.close()
		r.audit = nil
	}
	if r.store != nil {
		if err := r.store.Close(); err != nil {
			log.WithError(err).WithField("step", "close storage").Warn("a commit index may be lost")
		}
		r.store = nil
	}
}

// reopen opens the data folder again after a failure, and retries until that succeeds. The
// process continues, since its other parts don't need the disk. Nothing is lost: data that was
// not persisted was not acknowledged to anyone.
func (r *Replica) reopen(ctx context.Context) error {
	r.failProposals()
	r.failReads()
	r.views.put(View{})
	r.closeFolder()
	pause := reopenPause
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		err := r.openFolder()
		if err == nil {
			log.WithField("step", "reopen storage").Info("storage is back")
			return nil
		}
		pause = r.logUnavailable(err)
		if errors.Is(err, storage.ErrCorrupt) && r.setAsideDamaged(ctx) {
			pause = reopenPause
		}
	}
}

// logUnavailable logs why the data folder can't be opened, and returns the pause before the next
// attempt.
func (r *Replica) logUnavailable(err error) time.Duration {
	entry := log.WithError(err).WithField("step", "open storage")
	if errors.Is(err, storage.ErrCorrupt) {
		entry.Error("the data folder is damaged; the replica is out of service until the group does without it or the folder is moved away")
		return damagedPause
	}
	entry.Warn("storage not available; will be retried")
	return reopenPause
}

// failReads ends all open reads with errRetry.
func (r *Replica) failReads() {
	for context, done := range r.reads {
		delete(r.reads, context)
		done(errRetry)
	}
	for _, read := range r.confirmed {
		read.done(errRetry)
	}
	r.confirmed = nil
}
