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
	empty := map[string]uint64{}
	for _, a := range r.opt.Directory.Addresses() {
		h, err := r.hello(ctx, a)
		if err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "find group", "peer": a}).Debug("no answer")
			continue
		}
		if h.Group != 0 {
			log.WithField("group", h.Group).WithField("peer", a).WithField("step", "find group").Info("joining the group as a new member")
			r.joinGroup(h.Group, raft.Membership{})
			return
		}
		empty[a] = h.ID
	}
	r.formGroup(empty)
}

// formGroup starts the first group if none of the initial voters has one; empty maps the
// addresses of replicas without a group to their IDs. All initial voters know the same set
// and therefore derive the same group number.
func (r *Replica) formGroup(empty map[string]uint64) {
	initialVoters := r.opt.Directory.initialVoters(r.opt.Transport.Self())
	if len(initialVoters) == 0 {
		return
	}
	var members raft.Membership
	for _, a := range initialVoters {
		id, answered := empty[a]
		if !answered {
			return
		}
		members = members.With(raft.Member{ID: id, Address: a, Voter: true})
	}
	r.joinGroup(groupNumber(members), members)
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
		r.applied = snap.Meta.Index
		r.snapshotAt = snap.Meta.Index
		r.node = r.newNode(raft.HardState{Term: snap.Meta.Term, Commit: snap.Meta.Index}, snap.Meta, nil)
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
