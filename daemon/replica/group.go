package replica

import (
	"context"
	"encoding/binary"
	"sort"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/raft"
)

const (
	helloTimeout = 400 * time.Millisecond
	joinPeriod   = 500 * time.Millisecond
)

// findGroup makes this replica a member of a group. If any reachable replica belongs
// to a group, a replica without one joins it as a new member; if all initial voters
// are without a group, they form it. A replica that is not a member, or has no leader,
// repeats its request to join.
func (r *Replica) findGroup(ctx context.Context) {
	for ctx.Err() == nil {
		id, member := r.identity()
		switch {
		case id.Group == 0:
			r.joinOrFormGroup(ctx)
		case !member || r.leaderless.Load():
			r.requestJoin(ctx, id.ID)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPeriod):
		}
	}
}

type replicaIdentity struct{ ID, Group uint64 }

func (r *Replica) identity() (replicaIdentity, bool) {
	type answer struct {
		id     replicaIdentity
		member bool
	}
	ch := make(chan answer, 1)
	r.enqueue(func() {
		id := r.store.Identity()
		_, ok := r.node.Status().Membership.Find(id.ID)
		ch <- answer{replicaIdentity{id.ID, id.Group}, ok}
	})
	select {
	case a := <-ch:
		return a.id, a.member
	case <-r.stopped:
		return replicaIdentity{}, true
	}
}

// joinOrFormGroup joins the group of any replica that has one. Otherwise it forms the
// first group if all initial voters are reachable and have no group.
func (r *Replica) joinOrFormGroup(ctx context.Context) {
	initialVoters := r.opt.Directory.initialVoters(r.opt.Transport.Self())
	replies := map[string]helloReply{}
	for _, a := range r.opt.Directory.Addresses() {
		h, err := r.hello(ctx, a)
		if err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "find group", "peer": a}).Debug("no answer")
			continue
		}
		replies[a] = h
		if h.Group != 0 && len(initialVoters) == 0 {
			break
		}
	}
	group, initial := chooseGroup(replies, initialVoters)
	if group == 0 {
		return
	}
	log.WithFields(log.Fields{"step": "find group", "group": group, "initial_members": len(initial.Members)}).Info("joining the group")
	r.joinGroup(group, initial)
}

// chooseGroup returns the group to join, 0 for none, given the replies by address. The membership is
// empty if the leader has to tell it. All initial voters derive the same first group from their IDs;
// one that comes after the others starts with the same membership, so that the loss of a disk leaves
// others that know it.
func chooseGroup(replies map[string]helloReply, initialVoters []string) (group uint64, initial raft.Membership) {
	for _, h := range replies {
		if h.Group != 0 {
			group = h.Group
		}
	}
	for _, a := range initialVoters {
		h, answered := replies[a]
		if !answered {
			return group, raft.Membership{}
		}
		initial = initial.With(raft.Member{ID: h.ID, Address: a, Voter: true})
	}
	if len(initialVoters) == 0 || group != 0 && group != groupNumber(initial) {
		return group, raft.Membership{}
	}
	return groupNumber(initial), initial
}

func (r *Replica) hello(ctx context.Context, address string) (helloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var h helloReply
	err := r.opt.Transport.Call(ctx, address, methodHello, struct{}{}, &h)
	return h, err
}

// groupNumber derives the group's number from the IDs of its initial members, so that all
// of them compute the same one.
func groupNumber(m raft.Membership) uint64 {
	var ids []uint64
	for _, x := range m.Members {
		ids = append(ids, x.ID)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	var data []byte
	for _, id := range ids {
		data = binary.BigEndian.AppendUint64(data, id)
	}
	return xxhash.Sum64(data) | 1
}

// joinGroup initializes the consensus state of a replica without a group: with the
// initial members at index 1, or empty, to be filled by the leader.
func (r *Replica) joinGroup(group uint64, initial raft.Membership) {
	r.enqueue(func() {
		if r.store.Identity().Group != 0 {
			return
		}
		var snap raft.Snapshot
		if len(initial.Members) > 0 {
			snap.Meta = raft.SnapshotMeta{Index: 1, Term: 1, Membership: initial}
		}
		if err := r.store.Join(group, snap); err != nil {
			r.failure = eris.Wrap(err, "join group")
			return
		}
		r.startNode(raft.HardState{Term: snap.Meta.Term, Commit: snap.Meta.Index}, snap.Meta, nil)
	})
}

func (r *Replica) requestJoin(ctx context.Context, id uint64) {
	c := NewClient(r.opt.Transport, r.opt.Directory)
	ctx, cancel := context.WithTimeout(ctx, 2*joinPeriod)
	defer cancel()
	req := joinRequest{ID: id, Address: r.opt.Transport.Self()}
	if _, err := call[joinReply](ctx, c, methodJoin, &req); err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "join group").Debug("not admitted yet")
	}
}
