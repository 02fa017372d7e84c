package replica

import (
	"context"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/daemon/storage"
)

// rejoinTimeout bounds the question whether the group does without this replica.
const rejoinTimeout = 2 * time.Second

// setAsideDamaged sets a damaged data folder aside if a leader confirms that a majority of the
// voters hold everything committed without this replica. It then joins as a new member, as after
// the loss of its disk: its former identity, which may have voted or acknowledged what it no longer
// knows, is never used again. Otherwise the damaged files may be the last copy, and stay; done is
// false.
func (r *Replica) setAsideDamaged(ctx context.Context) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	entry := log.WithField("step", "set damaged data folder aside")
	status, err := NewClient(r.opt.Transport, r.opt.Directory).Status(ctx)
	if err != nil {
		entry.WithError(err).Warn("no leader answers; the damaged folder stays")
		return false
	}
	if !status.HeldWithout(r.opt.Transport.Self()) {
		entry.WithField("commit", status.CommitIndex).Warn("the group may need this replica's copy; the damaged folder stays")
		return false
	}
	if err := storage.SetAside(r.opt.FS, r.opt.Folder); err != nil {
		entry.WithError(err).Error("the damaged folder can't be set aside")
		return false
	}
	entry.WithField("files", storage.DamagedPrefix+"*").Warn("the group does without the damaged files; the replica joins it as a new member")
	return true
}
