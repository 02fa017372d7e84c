package replica

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/storage"
)

// reopenPause is the pause before a failed data folder is opened again.
const reopenPause = 500 * time.Millisecond

// reopen reloads the data folder after a failed write, and retries until that
// succeeds. The process continues, since its other parts don't need the disk. Nothing
// is lost: data that was not persisted was not acknowledged to anyone.
func (r *Replica) reopen(ctx context.Context) error {
	r.failProposals()
	r.failReads()
	r.views.put(View{})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenPause):
		}
		err := r.tryReopen()
		if err == nil {
			log.WithField("step", "reopen storage").Info("storage is back")
			return nil
		}
		if errors.Is(err, storage.ErrCorrupt) {
			return eris.Wrap(suture.ErrTerminateSupervisorTree, err.Error())
		}
		log.WithError(err).WithField("step", "reopen storage").Warn("storage not available; will be retried")
	}
}

func (r *Replica) tryReopen() error {
	r.audit.close()
	r.store.Close()
	store, loaded, err := storage.Open(r.opt.FS, r.opt.Folder)
	if err != nil {
		return err
	}
	r.store = store
	r.machine = state.New()
	r.leading, r.incomingSnapshots = false, map[uint64][]byte{}
	return r.restore(loaded)
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
