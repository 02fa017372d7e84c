package lease

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

const (
	methodRelay = "lease.relay"
	// treeKey ranks the instances in the tree.
	treeKey = "tree/lease"
	// fanOut is the number of children per instance, and the number of instances that
	// request leases from the leader itself.
	fanOut = 16
	// minTreeSize is the minimum number of instances for which the tree is used. With fewer,
	// all of them request leases from the leader.
	minTreeSize = 24
	// relayTimeout bounds one request to a parent.
	relayTimeout = 300 * time.Millisecond
	// minRelayedValidity is the minimum remaining validity of a lease accepted from a parent.
	minRelayedValidity = 900 * time.Millisecond
)

type relayRequest struct {
	Generation uint64 `msgpack:"g"`
}

type relayReply struct {
	Lease replica.Lease `msgpack:"l"`
	Ok    bool          `msgpack:"o"`
}

// Ranker orders the instances for a key by preference; gossip.Service implements it.
type Ranker interface {
	Rank(key string) []membership.Instance
	Self() membership.Instance
}

// Relay requests leases through a tree of instances, so that the leader serves a
// bounded number of requests for any number of instances. If the parent does not
// answer or its lease is about to expire, the instance asks the replicas directly.
type Relay struct {
	transport *frame.Transport
	ranker    Ranker
	replicas  Source
}

// NewRelay returns a Relay and registers the handler that grants leases to children
// from the holder's lease.
func NewRelay(t *frame.Transport, r Ranker, replicas Source, h *Holder) *Relay {
	t.HandleRequest(methodRelay, func(_ context.Context, _ string, body []byte) (any, error) {
		var req relayRequest
		if err := wire.Decode(body, &req); err != nil {
			return nil, eris.Wrap(err, "decode lease request")
		}
		l, ok := h.Delegate(req.Generation)
		return &relayReply{l, ok}, nil
	})
	return &Relay{t, r, replicas}
}

// Lease implements Source.
func (r *Relay) Lease(ctx context.Context, generation uint64) (replica.Lease, error) {
	if parent := r.parent(); parent != "" {
		if l, ok := r.request(ctx, parent, generation); ok {
			return l, nil
		}
	}
	return r.replicas.Lease(ctx, generation)
}

// parent returns the parent's peer address, "" for the replicas' leader. The tree is
// a heap over the ranking, so all instances with the same view build the same tree.
func (r *Relay) parent() string {
	ranked := r.ranker.Rank(treeKey)
	if len(ranked) < minTreeSize {
		return ""
	}
	for position, i := range ranked {
		if i.Name != r.ranker.Self().Name {
			continue
		}
		if position < fanOut {
			return ""
		}
		return ranked[position/fanOut-1].PeerAddress
	}
	return ""
}

func (r *Relay) request(ctx context.Context, parent string, generation uint64) (replica.Lease, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply relayReply
	err := r.transport.Call(ctx, parent, methodRelay, &relayRequest{generation}, &reply)
	if err != nil || !reply.Ok || reply.Lease.Valid < minRelayedValidity {
		return replica.Lease{}, false
	}
	return reply.Lease, true
}
