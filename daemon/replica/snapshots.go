package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/storage"
)

const (
	chunkBytes       = 1 << 20
	chunkTimeout     = 5 * time.Second
	maxSnapshotBytes = 1 << 30
)

// snapshotIfDue saves a snapshot and compacts the log after r.snapshotInterval entries, or when
// the log has reached the size of a segment.
func (r *Replica) snapshotIfDue() error {
	if r.applied == r.snapshotAt || (r.applied-r.snapshotAt < r.snapshotInterval && r.store.Size() < storage.SegmentBytes) {
		return nil
	}
	r.appendAudit()
	if r.audit.last < r.machine.AuditSequence() {
		return eris.New("the audit file lacks entries that a snapshot would drop from the log")
	}
	if err := r.audit.sync(); err != nil {
		return err
	}
	snap := raft.Snapshot{Meta: r.node.SnapshotMetaAt(r.applied), Data: r.machine.Snapshot()}
	hs, after := r.node.Persisted(r.applied)
	if err := r.store.SaveSnapshot(snap, hs, after); err != nil {
		return err
	}
	r.snapshotAt = r.applied
	if r.applied > r.keptEntries {
		r.node.Compact(r.applied - r.keptEntries)
	}
	return nil
}

// appendAudit writes the entries of the state machine that the audit file lacks.
func (r *Replica) appendAudit() { r.audit.append(r.machine.Audit(r.audit.last)) }

// installSnapshot replaces the state by a snapshot from the leader.
func (r *Replica) installSnapshot(rd raft.Ready) error {
	if err := r.machine.Restore(rd.Snapshot.Data); err != nil {
		return eris.Wrap(err, "restore the leader's snapshot")
	}
	hs, _ := r.node.Persisted(rd.Snapshot.Meta.Index)
	if err := r.store.SaveSnapshot(*rd.Snapshot, hs, nil); err != nil {
		return err
	}
	r.applied = rd.Snapshot.Meta.Index
	r.snapshotAt = r.applied
	r.appendAudit()
	log.WithField("index", r.applied).Info("installed a snapshot")
	return nil
}

// sendSnapshot streams the state to a replica in chunks, outside the run loop, and reports
// to the node when it is done.
func (r *Replica) sendSnapshot(m raft.Message, members raft.Membership) {
	member, ok := members.Find(m.To)
	if !ok || r.sendingTo[m.To] {
		return
	}
	// The current state is sent rather than the stored snapshot: it is newer and never
	// older than the first entry of the log.
	data := r.machine.Snapshot()
	m.Snapshot = &raft.Snapshot{Meta: r.node.SnapshotMetaAt(r.applied)}
	r.sendingTo[m.To] = true
	group := r.store.Identity().Group
	go func() {
		err := r.streamSnapshot(member.Address, group, m, data)
		if err != nil {
			log.WithError(err).WithField("step", "send snapshot").WithField("peer", member.Address).Warn("snapshot not sent; will be retried")
		}
		r.enqueue(func() {
			delete(r.sendingTo, m.To)
			r.node.ReportSnapshot(m.To)
		})
	}()
}

func (r *Replica) streamSnapshot(address string, group uint64, m raft.Message, data []byte) error {
	for off := 0; ; off += chunkBytes {
		end := min(off+chunkBytes, len(data))
		chunk := snapshotChunk{Group: group, Message: m, Offset: off, Data: data[off:end], Last: end == len(data)}
		ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
		var ok bool
		err := r.opt.Transport.Call(ctx, address, methodSnapshot, &chunk, &ok)
		cancel()
		if err != nil || chunk.Last {
			return err
		}
	}
}

func (r *Replica) handleSnapshot(ctx context.Context, _ string, body []byte) (any, error) {
	var c snapshotChunk
	if err := decode(body, &c); err != nil {
		return nil, err
	}
	if c.Message.Snapshot == nil {
		return nil, eris.New("snapshot chunk names no snapshot") // the text reaches the sender
	}
	return execute(ctx, r, func(reply func(bool)) {
		reply(r.addChunk(&c))
	})
}

// addChunk collects chunks per sender and passes the message to the node when it is
// complete. It returns false if the chunk does not fit the ones before.
func (r *Replica) addChunk(c *snapshotChunk) bool {
	if c.Group != r.store.Identity().Group {
		return false
	}
	received := r.incomingSnapshots[c.Message.From]
	if c.Offset == 0 {
		received = nil
	}
	if c.Offset != len(received) || len(received)+len(c.Data) > maxSnapshotBytes {
		delete(r.incomingSnapshots, c.Message.From)
		return false
	}
	received = append(received, c.Data...)
	if !c.Last {
		r.incomingSnapshots[c.Message.From] = received
		return true
	}
	delete(r.incomingSnapshots, c.Message.From)
	c.Message.Snapshot.Data = received
	r.node.Step(c.Message)
	return true
}
