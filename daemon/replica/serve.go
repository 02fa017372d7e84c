package replica

import (
	"context"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
)

// execute runs f in the run loop and waits for the value passed to reply.
func execute[T any](ctx context.Context, r *Replica, f func(reply func(T))) (any, error) {
	if !r.Available() {
		return nil, errUnavailable
	}
	ch := make(chan T, 1)
	if !r.enqueue(func() { f(func(v T) { ch <- v }) }) {
		return nil, errRetry
	}
	select {
	case v := <-ch:
		return &v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
		return nil, errRetry
	}
}

// linearizableRead performs a linearizable read: it returns value(), or notLeader() on a
// replica that is not the leader.
func linearizableRead[T any](ctx context.Context, r *Replica, notLeader func(redirect) T, value func() T) (any, error) {
	return execute(ctx, r, func(reply func(T)) {
		r.read(func(err error) {
			if err != nil {
				reply(notLeader(r.leaderHint(err)))
				return
			}
			reply(value())
		})
	})
}

func decode(body []byte, v any) error {
	return eris.Wrap(wire.Decode(body, v), "decode request")
}

func (r *Replica) handleHello(ctx context.Context, _ string, _ []byte) (any, error) {
	return execute(ctx, r, func(reply func(helloReply)) {
		reply(helloReply{r.store.Identity().ID, r.store.Identity().Group})
	})
}

func (r *Replica) handlePropose(ctx context.Context, _ string, body []byte) (any, error) {
	c, err := state.DecodeCommand(body)
	if err != nil {
		return nil, eris.Wrap(err, "decode command")
	}
	return execute(ctx, r, func(reply func(proposeReply)) {
		r.propose(c, func(res state.Result, err error) {
			if err != nil {
				reply(proposeReply{redirect: r.leaderHint(err)})
				return
			}
			reply(proposeReply{Result: res})
		})
	})
}

func (r *Replica) handleLease(ctx context.Context, _ string, body []byte) (any, error) {
	var req leaseRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	return linearizableRead(ctx, r,
		func(d redirect) leaseReply { return leaseReply{redirect: d} },
		func() leaseReply {
			return leaseReply{Lease: Lease{Group: r.store.Identity().Group, Update: r.machine.UpdateSince(req.Generation), Valid: LeaseLength}}
		})
}

func (r *Replica) handleStatus(ctx context.Context, _ string, _ []byte) (any, error) {
	return linearizableRead(ctx, r,
		func(d redirect) statusReply { return statusReply{redirect: d} },
		func() statusReply { return statusReply{Status: r.status()} })
}

func (r *Replica) status() api.GroupStatus {
	st := r.node.Status()
	cfg := r.machine.Config()
	out := api.GroupStatus{Group: r.store.Identity().Group, Term: st.Term, CommitIndex: st.Commit, FirstLogIndex: st.First,
		RememberedCalls: r.machine.CallCount(), Generation: cfg.Generation, Versions: r.machine.Versions(), Retired: cfg.Retired}
	if cfg.Bundle != nil {
		out.BundleVersion = cfg.Bundle.Version
		out.BundleDigest = cfg.Bundle.Digest()
	}
	for _, m := range st.Membership.Members {
		p := st.Progress[m.ID]
		self := m.ID == st.ID
		out.Members = append(out.Members, api.MemberStatus{ID: m.ID, Address: m.Address, Voter: m.Voter, Leader: self, MatchIndex: p.Match, Active: p.Active || self})
	}
	return out
}

func (r *Replica) handleAudit(ctx context.Context, _ string, body []byte) (any, error) {
	var req auditRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	return linearizableRead(ctx, r,
		func(d redirect) auditReply { return auditReply{redirect: d} },
		func() auditReply { return auditReply{Entries: r.audit.since(req.After, r.machine)} })
}

func (r *Replica) handleOrphans(ctx context.Context, _ string, body []byte) (any, error) {
	var req orphansRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	alive := make(map[string]bool, len(req.Alive))
	for _, o := range req.Alive {
		alive[o] = true
	}
	return linearizableRead(ctx, r,
		func(d redirect) orphansReply { return orphansReply{redirect: d} },
		func() orphansReply {
			list := r.machine.Orphans(func(o string) bool { return alive[o] })
			return orphansReply{Orphans: list[:min(len(list), max(0, req.Limit))]}
		})
}

func (r *Replica) handleCall(ctx context.Context, _ string, body []byte) (any, error) {
	var key state.CallKey
	if err := decode(body, &key); err != nil {
		return nil, err
	}
	return linearizableRead(ctx, r,
		func(d redirect) callReply { return callReply{redirect: d} },
		func() callReply {
			rec, ok := r.machine.Call(key)
			return callReply{Found: ok, Record: rec}
		})
}

func (r *Replica) handleSource(ctx context.Context, _ string, _ []byte) (any, error) {
	return linearizableRead(ctx, r,
		func(d redirect) sourceReply { return sourceReply{redirect: d} },
		func() sourceReply { return sourceReply{Source: r.machine.Routing().Declared.Source} })
}

func (r *Replica) handleSoftware(ctx context.Context, _ string, body []byte) (any, error) {
	var pool string
	if err := decode(body, &pool); err != nil {
		return nil, err
	}
	return linearizableRead(ctx, r,
		func(d redirect) softwareReply { return softwareReply{redirect: d} },
		func() softwareReply {
			s, known := r.machine.PoolSoftware(pool)
			return softwareReply{Known: known, Software: s}
		})
}

// handleJoin adds a replica with a new identity to the group as a learner, if the
// directory admits its address.
func (r *Replica) handleJoin(ctx context.Context, from string, body []byte) (any, error) {
	var req joinRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	if req.Address != from || !r.opt.Directory.admits(req.Address) {
		return nil, eris.Errorf("address %s may not join as a replica", req.Address)
	}
	return execute(ctx, r, func(reply func(joinReply)) {
		reply(r.admit(req))
	})
}

// admit adds a replica as a learner if this one leads. It runs in the run loop.
func (r *Replica) admit(req joinRequest) joinReply {
	st := r.node.Status()
	if st.Role != raft.Leader {
		return joinReply{redirect: r.leaderHint(nil)}
	}
	if _, ok := st.Membership.Find(req.ID); ok {
		return joinReply{}
	}
	err := r.node.ProposeMembership(st.Membership.With(raft.Member{ID: req.ID, Address: req.Address}))
	return joinReply{redirect: redirect{Retry: err != nil}}
}
