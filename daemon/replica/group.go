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

// findGroup makes a fresh replica part of a group, and keeps asking to be
// admitted until it is a member. All replicas fresh: they form the first
// group together. Any one in a group: this one joins it as a new member.
func (r *Replica) findGroup(ctx context.Context) {
	for ctx.Err() == nil {
		id, member := r.memberOf()
		switch {
		case id.Group == 0:
			r.tryFormGroup(ctx)
		case !member || r.leaderless.Load():
			r.askToJoin(ctx, id.ID)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPeriod):
		}
	}
}

type ownIdentity struct{ ID, Group uint64 }

func (r *Replica) memberOf() (ownIdentity, bool) {
	type answer struct {
		id     ownIdentity
		member bool
	}
	ch := make(chan answer, 1)
	r.do(func() {
		id := r.store.Identity()
		_, ok := r.node.Status().Membership.Find(id.ID)
		ch <- answer{ownIdentity{id.ID, id.Group}, ok}
	})
	select {
	case a := <-ch:
		return a.id, a.member
	case <-r.stopped:
		return ownIdentity{}, true
	}
}

// tryFormGroup joins the group of any replica that has one; without one it
// forms the first group, if all founders are there and empty.
func (r *Replica) tryFormGroup(ctx context.Context) {
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

// formGroup starts the first group when all founders are empty. They are the
// same set for each founder, hence so is the group's number.
func (r *Replica) formGroup(empty map[string]uint64) {
	founders := r.opt.Directory.founders(r.opt.Transport.Self())
	if len(founders) == 0 {
		return
	}
	var members raft.Membership
	for _, a := range founders {
		id, answered := empty[a]
		if !answered {
			return
		}
		members = members.With(raft.Member{ID: id, Address: a, Voter: true})
	}
	r.joinGroup(groupOf(members), members)
}

func (r *Replica) hello(ctx context.Context, address string) (helloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var h helloReply
	err := r.opt.Transport.Call(ctx, address, methodHello, struct{}{}, &h)
	return h, err
}

// groupOf derives the group's number from its first members, so that all of
// them find the same one.
func groupOf(m raft.Membership) uint64 {
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

// joinGroup starts the consensus state of a fresh replica: with the first
// members at index 1, or empty, to be filled by the leader.
func (r *Replica) joinGroup(group uint64, first raft.Membership) {
	r.do(func() {
		if r.store.Identity().Group != 0 {
			return
		}
		var snap raft.Snapshot
		if len(first.Members) > 0 {
			snap.Meta = raft.SnapshotMeta{Index: 1, Term: 1, Membership: first}
		}
		if err := r.store.Join(group, snap); err != nil {
			log.WithError(err).WithField("step", "join group").Error("storage failed")
			return
		}
		r.applied = snap.Meta.Index
		r.snapshotAt = snap.Meta.Index
		r.node = raft.New(raft.Config{ID: r.store.Identity().ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			Rand: randomInt, State: raft.HardState{Term: snap.Meta.Term, Commit: snap.Meta.Index}, Snapshot: snap.Meta})
	})
}

func (r *Replica) askToJoin(ctx context.Context, id uint64) {
	c := NewClient(r.opt.Transport, r.opt.Directory)
	ctx, cancel := context.WithTimeout(ctx, 2*joinPeriod)
	defer cancel()
	req := joinRequest{ID: id, Address: r.opt.Transport.Self()}
	if _, err := call[joinReply](ctx, c, methodJoin, &req); err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "join group").Debug("not admitted yet")
	}
}
